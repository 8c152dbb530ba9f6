//! Changes of an engine's prefix cache.

/// A change of the cache, as the engine reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The prefix with this hash was stored.
    Stored(u64),
    /// The prefix with this hash was evicted.
    Evicted(u64),
}
