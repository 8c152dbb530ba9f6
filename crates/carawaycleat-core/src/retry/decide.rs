use crate::clock;
use crate::outcome;

/// The maximum number of attempts at a request.
const MAX_ATTEMPTS: u32 = 3;

/// What is done with a request after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// The request is sent to another upstream, which runs it from the start.
    Retry,
    /// The response is resumed at another upstream.
    Resume {
        /// The number of tokens already delivered to the caller.
        position: u64,
    },
    /// The response has begun, and is resumed once the budget allows it.
    Wait,
    /// The request fails.
    Fail {
        /// The combined execution outcome of all attempts.
        outcome: outcome::Outcome,
        /// The reason of the last failure.
        reason: outcome::Reason,
    },
}

/// Decides what is done with a request after a failed attempt.
///
/// A non-idempotent request is retried only if no attempt can have run. If a part of the response has been delivered,
/// the request is resumed, waits for the budget, or fails, because running it from the start would deliver that part again.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::{clock, outcome, retry};
///
/// let mut budget = retry::Budget::default();
/// let booking = retry::Attempt {
///     outcome: outcome::Outcome::Unknown,
///     reason: outcome::Reason::UpstreamFailed,
///     sent: true,
///     idempotent: false,
///     attempts: 1,
///     earlier_outcome: outcome::Outcome::NotRun,
///     delivered: 0,
///     resumable: false,
///     deadline: clock::Instant::from_millis(9_000),
/// };
/// let now = clock::Instant::from_millis(1);
/// assert!(matches!(retry::decide(now, &booking, &mut budget), retry::Action::Fail { .. }));
/// let lookup = retry::Attempt { idempotent: true, ..booking };
/// assert_eq!(retry::decide(now, &lookup, &mut budget), retry::Action::Retry);
/// ```
pub fn decide(now: clock::Instant, attempt: &super::Attempt, budget: &mut super::Budget) -> Action {
    let outcome = attempt.total_outcome();
    let fail = Action::Fail {
        outcome,
        reason: attempt.reason,
    };
    let may_run_again = attempt.idempotent || outcome == outcome::Outcome::NotRun;
    let is_continuable = attempt.delivered == 0 || attempt.resumable;
    let is_within_limits = now < attempt.deadline && permits_attempt(attempt.attempts);
    if !(may_run_again && is_continuable && is_within_limits && is_retryable(attempt.reason)) {
        return fail;
    }
    // An upstream that is leaving, which accepts no new requests before its planned shutdown, refuses a request before
    // any work, so the retry adds no load. A planned shutdown must not use up the budget.
    let is_free = attempt.reason == outcome::Reason::UpstreamLeaving;
    if !is_free && !budget.take(now) {
        return match attempt.delivered {
            0 => fail,
            _ => Action::Wait,
        };
    }
    match attempt.delivered {
        0 => Action::Retry,
        position => Action::Resume { position },
    }
}

/// Returns whether a request may be sent once more after `attempts` attempts.
#[must_use]
pub const fn permits_attempt(attempts: u32) -> bool {
    attempts < MAX_ATTEMPTS
}

/// Returns whether a request that failed for `reason` may succeed at another upstream.
const fn is_retryable(reason: outcome::Reason) -> bool {
    matches!(
        reason,
        outcome::Reason::QueueFull
            | outcome::Reason::ShuttingDown
            | outcome::Reason::NoUpstream
            | outcome::Reason::UpstreamLeaving
            | outcome::Reason::UpstreamFailed
            | outcome::Reason::UpstreamIncomplete
            | outcome::Reason::UpstreamTimeout
    )
}
