use std::io;

use carawaycleat_net as http;

use crate::setup;

quick_error! {
    /// An error of the demonstration.
    #[derive(Debug)]
    pub enum Error {
        /// Something could not start or did not answer.
        Setup(source: setup::Error) {
            display("{source}")
            source(source)
            from()
        }
        /// An answer was cut.
        Net(source: http::Error) {
            display("{source}")
            source(source)
            from()
        }
        /// The output could not be written.
        Output(source: io::Error) {
            display("cannot write the output: {source}")
            source(source)
            from()
        }
        /// An answer was not the right one.
        Wrong(what: String) {
            display("{what}")
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
