use std::sync;

use carawaycleat_net as net;

use super::options;
use super::signal;
use crate::log;
use crate::settings;
use crate::side;

pub(super) fn run(options: &options::Options) -> u8 {
    let settings = match settings::Side::load(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return settings::EXIT_INVALID;
        }
    };
    if options.check {
        return 0;
    }
    if let Err(error) = log::install(&settings.log, "carawaycleat-side") {
        eprintln!("{error}");
        return super::EXIT_FAILED;
    }
    let executor = sync::Arc::new(net::Executor::new());
    async_io::block_on(executor.clone().run(serve(executor, settings)))
}

async fn serve(executor: sync::Arc<net::Executor>, settings: settings::Side) -> u8 {
    let mut stop = match signal::Stop::register() {
        Ok(stop) => stop,
        Err(error) => {
            log::error(&format!("cannot handle signals: {error}"));
            return super::EXIT_FAILED;
        }
    };
    let daemon = match side::Daemon::start(executor, settings) {
        Ok(daemon) => daemon,
        Err(error) => {
            log::error(&error.to_string());
            return super::EXIT_FAILED;
        }
    };
    log::info(&format!("listening for work on {}", daemon.local_address()));
    stop.wait().await;
    let graceful = async { daemon.stop().await };
    let second = async {
        stop.wait().await;
        daemon.abort()
    };
    let cut = futures_lite::future::or(graceful, second).await;
    log::info("stopped");
    if cut == 0 { 0 } else { super::EXIT_FAILED }
}
