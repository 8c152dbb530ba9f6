use std::io;
use std::net;

use crate::manifest;

quick_error! {
    /// The error of a command.
    #[derive(Debug)]
    pub enum Error {
        /// The arguments are invalid or contradict each other, or an input file cannot be read or lacks the request.
        Usage(text: String) {
            display("{text}")
        }
        /// A manifest is invalid.
        Manifest(source: manifest::Error) {
            display("{source}")
            source(source)
            from()
        }
        /// The server refused the request.
        Refused(status: u16, text: String) {
            display("refused with status {status}: {text}")
        }
        /// The resource has changed, exists, or is in use.
        Conflict(text: String, revision: u64) {
            display("conflict: {text} (current revision {revision})")
        }
        /// The server could not be reached.
        Unreachable(server: net::SocketAddr, text: String) {
            display("cannot reach {server}: {text}")
        }
        /// A write was sent, but no response arrived, so that its outcome is unknown.
        NoResponse(server: net::SocketAddr, text: String) {
            display("no response from {server}: {text}; the write may have taken effect, check with `carawaycleat get`")
        }
        /// Responses were cut before their time limit.
        Cut(count: usize) {
            display("cut responses: {count} before their time limit")
        }
        /// Some of several servers or processes could not be reached, or left lines out of their logs.
        Partial(failed: Vec<String>) {
            display("the output is incomplete:\n{}", failed.join("\n"))
        }
        /// The response of the server is malformed or incomplete.
        InvalidResponse(text: String) {
            display("unexpected response from the server: {text}")
        }
        /// The output cannot be written.
        Output(source: io::Error) {
            display("cannot write the output: {source}")
            source(source)
            from()
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Returns the exit code.
    pub const fn code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::Manifest(_) => super::EXIT_USAGE,
            Self::Refused(..) | Self::InvalidResponse(_) | Self::Output(_) | Self::Cut(_) => {
                super::EXIT_FAILED
            }
            Self::Conflict(..) => super::EXIT_CONFLICT,
            Self::Unreachable(..) | Self::NoResponse(..) | Self::Partial(_) => {
                super::EXIT_UNREACHABLE
            }
        }
    }
}

impl From<serde_json::Error> for Error {
    fn from(error: serde_json::Error) -> Self {
        Self::InvalidResponse(error.to_string())
    }
}
