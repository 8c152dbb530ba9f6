use std::time;

use crate::clock;

/// A request that waits for the first part of its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Wait {
    /// Whether the operation may run more than once.
    pub idempotent: bool,
    /// The number of attempts that are running.
    pub running: u32,
    /// Whether a part of the answer has arrived.
    pub answered: bool,
    /// When the request was sent.
    pub sent: clock::Instant,
    /// The time within which 95 in 100 requests of this kind get their first part.
    pub usual: time::Duration,
    /// The point in time after which the answer is of no use.
    pub deadline: clock::Instant,
}

/// Returns whether a second copy of the request is sent to another upstream now.
///
/// Only an idempotent request is ever hedged, at most once, and out of the same budget as retries.
pub fn hedge(now: clock::Instant, wait: &Wait, budget: &mut super::Budget) -> bool {
    wait.idempotent
        && wait.running == 1
        && !wait.answered
        && now < wait.deadline
        && now.since(wait.sent) > wait.usual
        && budget.take(now)
}
