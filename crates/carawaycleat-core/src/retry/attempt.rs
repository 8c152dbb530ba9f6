use crate::clock;
use crate::outcome;

/// A failed attempt at a request, and what came before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// What the upstream or its sidecar said, or [`Unknown`](outcome::Outcome::Unknown) when it said nothing.
    pub outcome: outcome::Outcome,
    /// Why the attempt failed.
    pub reason: outcome::Reason,
    /// Whether the first byte of the request had left.
    pub sent: bool,
    /// Whether the operation may run more than once.
    pub idempotent: bool,
    /// The number of attempts so far, this one included.
    pub attempts: u32,
    /// What is known about all earlier attempts together; `NotRun` when there was none.
    pub earlier_outcome: outcome::Outcome,
    /// The number of tokens or body bytes that the caller already has.
    pub delivered: u64,
    /// Whether the answer can continue at a position.
    pub resumable: bool,
    /// The point in time after which the answer is of no use.
    pub deadline: clock::Instant,
}

impl Attempt {
    /// Returns what is known about the execution over all attempts.
    ///
    /// A request that was never sent did not run, and one that delivered a part of its answer has at least started.
    pub const fn total_outcome(&self) -> outcome::Outcome {
        let this = match self.outcome {
            outcome::Outcome::Ran => outcome::Outcome::Ran,
            _ if self.delivered > 0 => outcome::Outcome::Unknown,
            outcome::Outcome::Unknown if self.sent => outcome::Outcome::Unknown,
            _ => outcome::Outcome::NotRun,
        };
        match (self.earlier_outcome, this) {
            (outcome::Outcome::Ran, _) | (_, outcome::Outcome::Ran) => outcome::Outcome::Ran,
            (outcome::Outcome::NotRun, outcome::Outcome::NotRun) => outcome::Outcome::NotRun,
            _ => outcome::Outcome::Unknown,
        }
    }
}
