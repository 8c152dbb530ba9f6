use std::path;
use std::sync;

use carawaycleat_net as net;

use super::run;
use crate::entry;
use crate::settings;

impl run::Daemon for entry::Daemon {
    const PROGRAM: &'static str = "carawaycleat-entry";

    type Settings = settings::Entry;

    fn load(path: &path::Path) -> settings::Result<Self::Settings> {
        settings::Entry::load(path)
    }

    fn log_settings(settings: &Self::Settings) -> &settings::Log {
        &settings.log
    }

    fn start(executor: sync::Arc<net::Executor>, settings: Self::Settings) -> Result<Self, String> {
        Self::start(executor, settings).map_err(|error| error.to_string())
    }

    fn describe_addresses(&self) -> String {
        let addresses = self.addresses();
        format!(
            "callers on {}, operators on {}, peers on {}",
            addresses.callers, addresses.operators, addresses.peers
        )
    }

    async fn stop(&self) -> usize {
        self.stop().await
    }

    fn abort(&self) -> usize {
        self.abort()
    }
}
