use std::string;

use carawaycleat_net as net;

quick_error! {
    /// An error of a call to the store.
    #[derive(Debug)]
    pub enum Error {
        /// No complete response was received. `sent` tells whether any byte of the call may have been sent.
        Unavailable(sent: bool, source: net::Error) {
            display("the store does not respond: {source}")
            source(source)
        }
        /// The store refused the call or ended a watch. The status is 200 if the error came in the body.
        Refused(status: u16, message: String) {
            display("the store responded with status {status}: {message}")
        }
        /// The response does not conform to the protocol.
        Malformed(reason: String) {
            display("invalid response from the store: {reason}")
            from(e: serde_json::Error) -> (e.to_string())
            from(e: base64::DecodeError) -> (e.to_string())
            from(e: string::FromUtf8Error) -> (e.to_string())
        }
        /// The changes from the requested revision on have been compacted. The value is the first revision that is still
        /// available.
        Compacted(revision: u64) {
            display("the store no longer has the changes before revision {revision}")
        }
        /// The lease does not exist or has expired.
        LeaseNotFound {
            display("the lease does not exist or has expired")
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Returns whether a write that failed with this error may have taken effect.
    ///
    /// The outcome of such a write must be resolved by reading the keys back, never by writing again.
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::Unavailable(sent, _) => *sent,
            // A proxy in front of the store may return a server error after the write took effect.
            Self::Refused(status, _) => *status >= 500,
            Self::Malformed(_) => true,
            Self::Compacted(_) | Self::LeaseNotFound => false,
        }
    }
}
