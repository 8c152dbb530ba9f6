use std::path;
use std::sync;

use carawaycleat_net as net;

use super::options;
use super::signal;
use crate::log;
use crate::settings;

/// A daemon as its program sees it.
pub(super) trait Daemon: Sized {
    /// The name of the program.
    const PROGRAM: &'static str;

    /// The settings.
    type Settings;

    /// Reads the settings file at `path`.
    fn load(path: &path::Path) -> settings::Result<Self::Settings>;

    /// Returns the settings of the log.
    fn log_settings(settings: &Self::Settings) -> &settings::Log;

    /// Starts the daemon, or returns what is wrong.
    fn start(executor: sync::Arc<net::Executor>, settings: Self::Settings) -> Result<Self, String>;

    /// Returns what the daemon listens on, for the log.
    fn describe_addresses(&self) -> String;

    /// Stops the daemon gracefully and returns the number of requests that were cut.
    async fn stop(&self) -> usize;

    /// Ends the daemon at once and returns the number of requests that were cut.
    fn abort(&self) -> usize;
}

/// Runs a daemon until it is told to stop, and returns the exit code.
pub(super) fn run<D: Daemon>(options: &options::Options) -> u8 {
    let settings = match D::load(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return settings::EXIT_INVALID;
        }
    };
    if options.check {
        return 0;
    }
    if let Err(error) = log::install(D::log_settings(&settings), D::PROGRAM) {
        eprintln!("{error}");
        return super::EXIT_FAILED;
    }
    let executor = sync::Arc::new(net::Executor::new());
    async_io::block_on(executor.clone().run(serve::<D>(executor, settings)))
}

async fn serve<D: Daemon>(executor: sync::Arc<net::Executor>, settings: D::Settings) -> u8 {
    let mut stop = match signal::Stop::register() {
        Ok(stop) => stop,
        Err(error) => {
            log::error(&format!("cannot handle signals: {error}"));
            return super::EXIT_FAILED;
        }
    };
    let daemon = match D::start(executor, settings) {
        Ok(daemon) => daemon,
        Err(error) => {
            log::error(&error);
            return super::EXIT_FAILED;
        }
    };
    log::info(&format!("listening for {}", daemon.describe_addresses()));
    stop.wait().await;
    let graceful = async { daemon.stop().await };
    let forced = async {
        stop.wait().await;
        daemon.abort()
    };
    let cut = futures_lite::future::or(graceful, forced).await;
    log::info("stopped");
    if cut == 0 { 0 } else { super::EXIT_FAILED }
}
