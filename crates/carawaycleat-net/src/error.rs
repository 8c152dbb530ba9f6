use std::io;

quick_error! {
    /// An error of the server or the client.
    #[derive(Debug)]
    pub enum Error {
        /// The socket failed.
        Io(source: io::Error) {
            display("input or output failed: {source}")
            source(source)
            from()
        }
        /// The peer did not answer in time.
        Timeout {
            display("the peer did not answer in time")
        }
        /// A body is shorter than declared, or its end cannot be told from a lost connection.
        Incomplete {
            display("the body is incomplete")
        }
        /// The message is not valid HTTP/1.1 or not a valid event stream.
        Malformed(reason: String) {
            display("malformed message: {reason}")
        }
        /// The body or the event is longer than the limit in bytes.
        TooLong(limit: usize) {
            display("longer than the limit of {limit} bytes")
        }
        /// The receiving side of a stream is gone.
        Closed {
            display("the receiver is gone")
        }
        /// The channel of a stream has no room.
        Full {
            display("the stream has no room for another chunk")
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    pub(crate) fn malformed(reason: impl ToString) -> Self {
        Self::Malformed(reason.to_string())
    }
}
