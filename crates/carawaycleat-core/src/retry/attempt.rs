use crate::clock;
use crate::outcome;

/// A failed attempt at a request, with the history of the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// The outcome that the upstream or its sidecar stated, or [`Unknown`](outcome::Outcome::Unknown) without one.
    pub outcome: outcome::Outcome,
    /// Why the attempt failed.
    pub reason: outcome::Reason,
    /// Whether the first byte of the request had been sent.
    pub sent: bool,
    /// Whether the operation may be executed more than once.
    pub idempotent: bool,
    /// The number of attempts so far, including this one.
    pub attempts: u32,
    /// The combined outcome of all earlier attempts; `NotRun` when there was none.
    pub earlier_outcome: outcome::Outcome,
    /// The number of tokens or body bytes already delivered to the caller.
    pub delivered: u64,
    /// Whether the response can be resumed at a position.
    pub resumable: bool,
    /// The time after which the response is of no use to the caller.
    pub deadline: clock::Instant,
}

impl Attempt {
    /// Returns the combined execution outcome of all attempts.
    ///
    /// A request that was never sent did not run. One that has delivered a part of its response has at least started.
    pub const fn total_outcome(&self) -> outcome::Outcome {
        let current = match self.outcome {
            outcome::Outcome::Ran => outcome::Outcome::Ran,
            _ if self.delivered > 0 => outcome::Outcome::Unknown,
            outcome::Outcome::Unknown if self.sent => outcome::Outcome::Unknown,
            _ => outcome::Outcome::NotRun,
        };
        match (self.earlier_outcome, current) {
            (outcome::Outcome::Ran, _) | (_, outcome::Outcome::Ran) => outcome::Outcome::Ran,
            (outcome::Outcome::NotRun, outcome::Outcome::NotRun) => outcome::Outcome::NotRun,
            _ => outcome::Outcome::Unknown,
        }
    }
}
