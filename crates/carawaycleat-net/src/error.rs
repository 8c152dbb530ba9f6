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
        /// The peer did not respond in time.
        Timeout {
            display("the peer did not respond in time")
        }
        /// A message is truncated, or the end of its body cannot be distinguished from a lost connection.
        Incomplete {
            display("the message is incomplete")
        }
        /// The message is not valid HTTP/1.1 or not a valid event stream.
        Malformed(reason: String) {
            display("malformed message: {reason}")
        }
        /// A head, a body or an event is longer than the limit in bytes.
        TooLong(limit: usize) {
            display("longer than the limit of {limit} bytes")
        }
        /// The account of memory has too little left for a message.
        Memory {
            display("no memory is left for the message")
        }
        /// The receiving end of a stream has been dropped.
        Closed {
            display("the receiver is closed")
        }
        /// As many connections to the server are open as may be.
        NoConnection {
            display("no further connection to the server is permitted")
        }
        /// The request was withdrawn before its first byte was sent.
        Withdrawn {
            display("the request was withdrawn")
        }
        /// The channel of a stream is full.
        Full {
            display("the stream is full")
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
