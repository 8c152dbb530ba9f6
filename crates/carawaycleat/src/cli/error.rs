use std::io;
use std::net;

use crate::manifest;

quick_error! {
    /// An error of a command.
    #[derive(Debug)]
    pub enum Error {
        /// The arguments do not fit together.
        Usage(text: String) {
            display("{text}")
        }
        /// A manifest is invalid.
        Manifest(source: manifest::Error) {
            display("{source}")
            source(source)
            from()
        }
        /// The server refused.
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
        /// A write was sent and its answer was lost.
        NoResponse(server: net::SocketAddr, text: String) {
            display("no answer from {server}: {text}; the write may have taken effect, check with `carawaycleat get`")
        }
        /// Some of several servers could not be reached.
        Partial(failed: Vec<String>) {
            display("the output is incomplete:\n{}", failed.join("\n"))
        }
        /// The answer of the server cannot be understood.
        InvalidResponse(text: String) {
            display("unexpected answer of the server: {text}")
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
            Self::Refused(..) | Self::InvalidResponse(_) | Self::Output(_) => super::EXIT_FAILED,
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
