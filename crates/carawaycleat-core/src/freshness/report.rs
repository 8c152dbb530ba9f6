use std::time;

use crate::clock;
use crate::name;

/// A peer's response in an exchange.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The host of the peer.
    pub host: name::Name,
    /// The incarnation of the peer's process; a later process has a higher one.
    pub incarnation: u64,
    /// The revision of its cached configuration; 0 while that is not confirmed.
    pub revision: u64,
    /// The age of its last store contact, or none before the first.
    pub store_age: Option<time::Duration>,
    /// The time at which this host sent the exchange that the report responds to.
    ///
    /// With the time of receipt, a delayed response would count as a recent one.
    pub sent_at: clock::Instant,
}
