use std::path;
use std::sync;

use carawaycleat_net as net;

use super::run;
use crate::settings;
use crate::side;

impl run::Daemon for side::Daemon {
    const PROGRAM: &'static str = "carawaycleat-side";

    type Settings = settings::Side;

    fn load(path: &path::Path) -> settings::Result<Self::Settings> {
        settings::Side::load(path)
    }

    fn log_settings(settings: &Self::Settings) -> &settings::Log {
        &settings.log
    }

    fn start(executor: sync::Arc<net::Executor>, settings: Self::Settings) -> Result<Self, String> {
        Self::start(executor, settings).map_err(|error| error.to_string())
    }

    fn describe_addresses(&self) -> String {
        format!("work on {}", self.local_address())
    }

    async fn stop(&self) -> usize {
        self.stop().await
    }

    fn abort(&self) -> usize {
        self.abort()
    }
}
