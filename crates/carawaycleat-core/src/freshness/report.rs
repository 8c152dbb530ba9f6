use std::time;

use crate::clock;
use crate::name;

/// What a peer answered in an exchange.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The peer.
    pub host: name::Name,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// The revision of its copy; 0 while the copy is not confirmed.
    pub revision: u64,
    /// The age of its last store contact, or none before the first.
    pub store_age: Option<time::Duration>,
    /// The time at which this host sent the exchange that the report answers.
    ///
    /// The time of receipt would let a delayed answer pass as a recent one.
    pub sent_at: clock::Instant,
}
