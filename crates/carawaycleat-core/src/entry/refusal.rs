use std::time;

use crate::outcome;

/// An error status that ends a request without a complete response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Machine-readable reason, which determines the HTTP status.
    pub reason: outcome::Reason,
    /// Outcome of the request.
    pub outcome: outcome::Outcome,
    /// Human-readable description.
    pub message: String,
    /// Time after which a retry may succeed; none if no retry is advised.
    pub retry_after: Option<time::Duration>,
}

impl Refusal {
    /// Returns a refusal of a request that did not run and can no longer start.
    pub fn not_run(reason: outcome::Reason, message: impl Into<String>) -> Self {
        Self::new(reason, outcome::Outcome::NotRun, message)
    }

    /// Returns a refusal with `outcome`. It advises a retry after one second if the reason is temporary and the request
    /// did not run.
    pub fn new(
        reason: outcome::Reason,
        outcome: outcome::Outcome,
        message: impl Into<String>,
    ) -> Self {
        let is_retryable = reason.is_temporary() && outcome == outcome::Outcome::NotRun;
        Self {
            reason,
            outcome,
            message: message.into(),
            retry_after: is_retryable.then_some(time::Duration::from_secs(1)),
        }
    }

    /// Sets the time after which a retry may succeed, and returns the refusal.
    #[must_use]
    pub fn retry_after(mut self, delay: time::Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
