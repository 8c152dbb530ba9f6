use carawaycleat_net as net;

quick_error! {
    /// An error that occurs when an entry host starts.
    #[derive(Debug)]
    pub enum Error {
        /// An address cannot be bound.
        Bind(what: &'static str, source: net::Error) {
            display("cannot listen for {what}: {source}")
            source(source)
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
