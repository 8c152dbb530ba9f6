use std::time;

/// A lease granted by the store. Keys bound to it are deleted when it expires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// The identifier.
    pub id: i64,
    /// The time until the lease expires, counted from when the call was sent.
    pub lifetime: time::Duration,
}
