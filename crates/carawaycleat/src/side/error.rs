use carawaycleat_net as net;

quick_error! {
    /// An error that prevents a sidecar from starting.
    #[derive(Debug)]
    pub enum Error {
        /// The listen address cannot be bound.
        Bind(source: net::Error) {
            display("cannot listen for work: {source}")
            source(source)
            from()
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
