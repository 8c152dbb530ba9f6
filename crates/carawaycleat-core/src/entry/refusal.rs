use std::time;

use crate::outcome;

/// The end of a request without a complete answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub reason: outcome::Reason,
    /// What is known about the execution.
    pub outcome: outcome::Outcome,
    /// A sentence for people.
    pub message: String,
    /// The time after which it is worth trying again.
    pub retry_after: Option<time::Duration>,
}

impl Refusal {
    /// Returns a refusal of a request that did not run and can no longer start.
    pub fn not_run(reason: outcome::Reason, message: impl Into<String>) -> Self {
        Self::new(reason, outcome::Outcome::NotRun, message)
    }

    /// Returns a refusal with `outcome`.
    pub fn new(
        reason: outcome::Reason,
        outcome: outcome::Outcome,
        message: impl Into<String>,
    ) -> Self {
        let is_worth_retrying = reason.is_temporary() && outcome == outcome::Outcome::NotRun;
        Self {
            reason,
            outcome,
            message: message.into(),
            retry_after: is_worth_retrying.then_some(time::Duration::from_secs(1)),
        }
    }

    /// Sets the time after which it is worth trying again, and returns the refusal.
    #[must_use]
    pub fn retry_after(mut self, span: time::Duration) -> Self {
        self.retry_after = Some(span);
        self
    }
}
