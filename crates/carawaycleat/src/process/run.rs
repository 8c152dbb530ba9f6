use std::path;
use std::sync;

use carawaycleat_net as net;

use super::options;
use super::signal;
use crate::log;
use crate::settings;

/// A daemon that [`run()`] can start and stop.
pub(super) trait Daemon: Sized {
    /// The name of the program, on the command line and in the log.
    const PROGRAM: &'static str;

    /// The settings that the daemon is started with.
    type Settings;

    /// Reads the settings file at `path`.
    fn load(path: &path::Path) -> settings::Result<Self::Settings>;

    /// Returns the log section of the settings.
    fn log_settings(settings: &Self::Settings) -> &settings::Log;

    /// Starts the daemon, or returns a message that says why it cannot start.
    fn start(executor: sync::Arc<net::Executor>, settings: Self::Settings) -> Result<Self, String>;

    /// Describes the addresses that the daemon listens on, for the log.
    fn describe_addresses(&self) -> String;

    /// Stops the daemon gracefully and returns the number of interrupted requests.
    async fn stop(&self) -> usize;

    /// Stops the daemon immediately and returns the number of interrupted requests.
    fn abort(&self) -> usize;
}

/// Runs a daemon until a signal stops it, and returns the exit code. A second signal stops it immediately.
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
    let interrupted = futures_lite::future::or(graceful, forced).await;
    log::info("stopped");
    if interrupted == 0 {
        0
    } else {
        super::EXIT_FAILED
    }
}
