/// How far a request has come on its way to the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// No kept connection can be used: a new one is about to be made.
    Connecting,
    /// There is a new connection, and the first byte is about to be written. Not reported for kept connections.
    Connected,
    /// The first byte has been sent.
    Sent,
}
