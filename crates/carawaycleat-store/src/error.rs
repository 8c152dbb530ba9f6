use std::string;

use carawaycleat_net as net;

quick_error! {
    /// An error of a call to the store.
    #[derive(Debug)]
    pub enum Error {
        /// No endpoint answered.
        Unavailable(sent: bool, source: net::Error) {
            display("the store does not answer: {source}")
            source(source)
        }
        /// The store refused the call.
        Refused(status: u16, message: String) {
            display("the store answered with status {status}: {message}")
        }
        /// The answer is not what the protocol prescribes.
        Malformed(what: String) {
            display("unexpected answer of the store: {what}")
            from(e: serde_json::Error) -> (e.to_string())
            from(e: base64::DecodeError) -> (e.to_string())
            from(e: string::FromUtf8Error) -> (e.to_string())
        }
        /// The revision to watch from has been compacted.
        Compacted(revision: u64) {
            display("the store no longer has the changes before revision {revision}")
        }
        /// The lease does not exist or has ended.
        LeaseNotFound {
            display("the lease has ended")
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Returns whether a write with this error may have taken effect.
    ///
    /// Such a write is settled by reading back, never by writing again.
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::Unavailable(sent, _) => *sent,
            // A server error can come from a proxy in front of the store after the write took effect.
            Self::Refused(status, _) => *status >= 500,
            Self::Malformed(_) => true,
            Self::Compacted(_) | Self::LeaseNotFound => false,
        }
    }
}
