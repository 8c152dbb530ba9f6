use carawaycleat::entry;
use carawaycleat::side;
use carawaycleat_net as http;

quick_error! {
    /// An error of a set-up.
    #[derive(Debug)]
    pub enum Error {
        /// A stand-in or a call failed.
        Net(source: http::Error) {
            display("{source}")
            source(source)
            from()
        }
        /// A call was not answered.
        Call(source: http::Failure) {
            display("{source}")
            source(source)
            from()
        }
        /// An entry host could not start.
        Entry(source: entry::Error) {
            display("{source}")
            source(source)
            from()
        }
        /// A sidecar could not start.
        Side(source: side::Error) {
            display("{source}")
            source(source)
            from()
        }
        /// A resource was refused.
        Refused(answer: String) {
            display("refused: {answer}")
        }
        /// A condition did not come true in time.
        Late(what: &'static str) {
            display("waited too long until {what}")
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
