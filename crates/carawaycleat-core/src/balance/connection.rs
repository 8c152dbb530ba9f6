use crate::clock;

/// An open connection of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    /// When the connection was accepted.
    pub accepted: clock::Instant,
    /// A random number of the connection from 0 up to 1, which spreads the connections over [`super::Options::spread`].
    pub draw: f64,
}
