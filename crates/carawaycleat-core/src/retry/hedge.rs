use std::time;

use crate::clock;

/// A request that waits for the first part of its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pending {
    /// Whether the operation may run more than once.
    pub idempotent: bool,
    /// The number of attempts that are running_attempts.
    pub running_attempts: u32,
    /// Whether a part of the answer has arrived.
    pub has_response: bool,
    /// When the request was sent.
    pub sent: clock::Instant,
    /// The time within which 95 in 100 requests of this kind get their first part.
    pub first_part_p95: time::Duration,
    /// The point in time after which the answer is of no use.
    pub deadline: clock::Instant,
}

/// Returns whether a second copy of the request is sent to another upstream now.
///
/// Only an idempotent request is ever hedged, at most once, and out of the same budget as retries.
pub fn hedge(now: clock::Instant, pending: &Pending, budget: &mut super::Budget) -> bool {
    pending.idempotent
        && pending.running_attempts == 1
        && !pending.has_response
        && now < pending.deadline
        && now.since(pending.sent) > pending.first_part_p95
        && budget.take(now)
}
