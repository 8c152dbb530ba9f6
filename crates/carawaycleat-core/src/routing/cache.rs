/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cache {
    /// The prefix with this hash was stored.
    Stored(u64),
    /// The prefix with this hash was evicted.
    Evicted(u64),
}
