//! Settings of the entry host and sidecar daemons, read from TOML files.
//!
//! Parsing collects all problems of a file before it fails. Each problem names its line and the allowed values.

mod engine;
mod entry;
mod hosts;
mod limits;
mod listen;
mod log;
mod placement;
mod rates;
mod read;
mod shutdown;
mod side;
mod store;
mod timeline;

use std::io;
use std::path;

pub use crate::document::Problem;
pub use engine::Engine;
pub use engine::Kind;
pub use entry::Entry;
pub use hosts::Hosts;
pub use limits::Limits;
pub use listen::Advertise;
pub use listen::Listen;
pub use listen::SideListen;
pub use log::Format;
pub use log::Level;
pub use log::Log;
pub use placement::Placement;
pub use rates::Rates;
pub use shutdown::Shutdown;
pub use side::Side;
pub use store::Store;
pub use timeline::Timeline;

quick_error! {
    /// An error that occurs while reading a settings file.
    #[derive(Debug)]
    pub enum Error {
        /// The file cannot be read from disk.
        Read(path: path::PathBuf, source: io::Error) {
            display("cannot read {}: {source}", path.display())
            source(source)
        }
        /// The file has syntax errors, unknown keys or invalid values.
        Invalid(path: path::PathBuf, problems: Vec<Problem>) {
            display("{}", format_problems(path, problems))
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// The exit code of a daemon whose settings file cannot be read or is invalid.
pub const EXIT_INVALID: u8 = 2;

/// Formats `problems` as one line each, prefixed with the path of the file.
pub(crate) fn format_problems(path: &path::Path, problems: &[Problem]) -> String {
    let lines: Vec<_> = problems
        .iter()
        .map(|problem| format!("{}: {problem}", path.display()))
        .collect();
    lines.join("\n")
}
