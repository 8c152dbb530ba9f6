//! The log of a process, written to standard error.
//!
//! A line is written for a change of state, not for each request; requests are counted in metrics instead.

use std::io;
use std::sync;

use spdlog::formatter;
use spdlog::sink;

use carawaycleat_core::request;

use crate::settings;

/// The maximum number of requests listed in one line; with 32 digits each, the line stays under 4 KiB.
const MAX_LISTED_IDS: usize = 100;

quick_error! {
    /// An error that occurs when the log is set up.
    #[derive(Debug)]
    pub enum Error {
        /// The logging library rejected the configuration.
        Library(source: spdlog::Error) {
            display("cannot set up the log: {source}")
            source(source)
            from()
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Sets up the log of the process.
///
/// The macros of the `spdlog` crate write to it from then on.
///
/// # Errors
///
/// Returns an error when the logging library rejects the configuration.
pub fn install(settings: &settings::Log, program: &str) -> Result<()> {
    let logger = logger(settings, program, io::stderr())?;
    spdlog::set_default_logger(sync::Arc::new(logger));
    Ok(())
}

/// Returns a logger that writes to `target`.
///
/// # Errors
///
/// Returns an error when the logging library rejects the configuration.
pub fn logger(
    settings: &settings::Log,
    program: &str,
    target: impl io::Write + Send + 'static,
) -> Result<spdlog::Logger> {
    let sink = sink::WriteSink::builder()
        .formatter(formatter(settings.format))
        .target(target)
        .build()?;
    let logger = spdlog::Logger::builder()
        .name(program)
        .level_filter(filter(settings.level))
        // Each line is flushed, because buffered lines would be lost when the process is killed.
        .flush_level_filter(spdlog::LevelFilter::All)
        .sink(sync::Arc::new(sink))
        .build()?;
    Ok(logger)
}

/// Logs a change of state.
pub fn info(text: &str) {
    spdlog::info!("{text}");
}

/// Logs a fault that the process handles by itself.
pub fn warn(text: &str) {
    spdlog::warn!("{text}");
}

/// Logs a fault that needs attention.
pub fn error(text: &str) {
    spdlog::error!("{text}");
}

/// Logs a detail for debugging; `text` is called only when the level is enabled.
pub fn debug(text: impl FnOnce() -> String) {
    let logger = spdlog::default_logger();
    if logger.should_log(spdlog::Level::Debug) {
        spdlog::debug!(logger: logger, "{}", text());
    }
}

/// Formats request identifiers for a log line; those beyond [`MAX_LISTED_IDS`] are only counted.
pub(crate) fn format_ids(mut ids: Vec<request::Id>) -> String {
    ids.sort_unstable();
    let omitted = ids.len().saturating_sub(MAX_LISTED_IDS);
    ids.truncate(MAX_LISTED_IDS);
    let listed: Vec<_> = ids.iter().map(request::Id::to_string).collect();
    let listed = listed.join(", ");
    if omitted > 0 {
        format!("{listed} and {omitted} more")
    } else {
        listed
    }
}

fn formatter(format: settings::Format) -> Box<dyn formatter::Formatter> {
    match format {
        settings::Format::Text => Box::new(formatter::FullFormatter::new()),
        settings::Format::Json => Box::new(formatter::JsonFormatter::new()),
    }
}

fn filter(level: settings::Level) -> spdlog::LevelFilter {
    spdlog::LevelFilter::MoreSevereEqual(match level {
        settings::Level::Error => spdlog::Level::Error,
        settings::Level::Warn => spdlog::Level::Warn,
        settings::Level::Info => spdlog::Level::Info,
        settings::Level::Debug => spdlog::Level::Debug,
        settings::Level::Trace => spdlog::Level::Trace,
    })
}
