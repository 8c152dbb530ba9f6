use std::fmt;
use std::io;

use crate::error;

/// The error numbers of a process or a machine without free descriptors (`EMFILE`, `ENFILE`) and of a machine without
/// free memory or ports for connections (`ENOMEM`, `ENOBUFS`, `EADDRNOTAVAIL`).
const LOCAL_ERRORS: [i32; 5] = [24, 23, 12, 105, 99];

/// What a failure says about the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// A byte of the request may have been sent.
    Sent,
    /// Nothing was sent: the server refused or reset the connection.
    Refused,
    /// Nothing was sent: there was no connection in time.
    Unconnected,
    /// Nothing was sent: as many connections to the server are open as may be.
    Limited,
    /// Nothing was sent: this process could not open a connection, or the request is invalid.
    Local,
}

/// Why a request got no response.
#[derive(Debug)]
pub struct Failure {
    /// Whether any byte of the request may have been sent. Only if false, the request certainly did not run.
    pub sent: bool,
    /// The error.
    pub error: error::Error,
}

impl Failure {
    /// Returns what the failure says about the server.
    #[must_use]
    pub fn cause(&self) -> Cause {
        match &self.error {
            _ if self.sent => Cause::Sent,
            error::Error::Timeout => Cause::Unconnected,
            error::Error::NoConnection => Cause::Limited,
            error::Error::Io(error) => match error.kind() {
                io::ErrorKind::ConnectionRefused
                | io::ErrorKind::ConnectionReset
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::BrokenPipe
                | io::ErrorKind::NotConnected => Cause::Refused,
                _ if error
                    .raw_os_error()
                    .is_some_and(|code| LOCAL_ERRORS.contains(&code)) =>
                {
                    Cause::Local
                }
                // The network does not reach the server.
                _ => Cause::Unconnected,
            },
            _ => Cause::Local,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sent = if self.sent { "after" } else { "before" };
        write!(
            formatter,
            "failed {sent} the request was sent: {}",
            self.error
        )
    }
}

impl std::error::Error for Failure {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.error)
    }
}
