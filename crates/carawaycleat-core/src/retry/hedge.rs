use std::time;

use crate::clock;

/// A request that is waiting for the first part of its response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pending {
    /// Whether the operation may be executed more than once.
    pub idempotent: bool,
    /// The number of attempts in progress.
    pub running_attempts: u32,
    /// Whether a part of the response has arrived.
    pub has_response: bool,
    /// When the request was sent.
    pub sent: clock::Instant,
    /// The 95th percentile of the time to the first part of the response, for requests of this kind.
    pub first_part_p95: time::Duration,
    /// The time after which the response is of no use to the caller.
    pub deadline: clock::Instant,
}

/// Returns whether the request is to be hedged, that is, sent to a second upstream as well.
///
/// Only an idempotent request is hedged, at most once, and from the same budget as retries.
pub fn hedge(now: clock::Instant, pending: &Pending, budget: &mut super::Budget) -> bool {
    pending.idempotent
        && pending.running_attempts == 1
        && !pending.has_response
        && now < pending.deadline
        && now.since(pending.sent) > pending.first_part_p95
        && budget.take(now)
}
