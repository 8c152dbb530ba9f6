//! The entry points of the two daemons, with their options, settings, signals and exit codes.

mod entry;
mod options;
mod run;
mod side;
mod signal;

use std::process;

use run::Daemon as _;

/// Runs an entry host until a signal stops it.
///
/// The exit code is 0 after a graceful shutdown, 1 when the host could not start or requests were interrupted, and 2
/// when the settings are invalid.
pub fn entry() -> process::ExitCode {
    type Daemon = crate::entry::Daemon;
    run::run::<Daemon>(&options::parse(Daemon::PROGRAM, "Runs an entry host")).into()
}

/// Runs a sidecar until a signal stops it.
///
/// The exit codes are those of [`entry`].
pub fn side() -> process::ExitCode {
    type Daemon = crate::side::Daemon;
    let options = options::parse(Daemon::PROGRAM, "Runs the sidecar of an upstream");
    run::run::<Daemon>(&options).into()
}

/// The exit code of a process that could not start, or that interrupted requests when it stopped.
const EXIT_FAILED: u8 = 1;
