use std::time;

/// A lease that the store granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// The identifier.
    pub id: i64,
    /// The time that the lease lasts, counted from when the call was sent.
    pub lifetime: time::Duration,
}
