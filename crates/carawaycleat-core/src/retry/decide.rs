use crate::clock;
use crate::outcome;

const MAX_ATTEMPTS: u32 = 3;

/// What happens to a request after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// The request is sent to another upstream from the start.
    Retry,
    /// The answer continues at another upstream.
    Resume {
        /// The number of tokens that the caller already has.
        position: u64,
    },
    /// The request fails.
    Fail {
        /// What is known about its execution over all attempts.
        outcome: outcome::Outcome,
        /// The reason of the last failure.
        reason: outcome::Reason,
    },
}

/// Decides what happens after a failed attempt.
///
/// A non-idempotent request is sent again only when no attempt can have run. A request of which the caller has a part
/// is continued or fails, because sending it from the start would repeat that part.
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
    let may_continue = attempt.delivered == 0 || attempt.resumable;
    let is_in_time = now < attempt.deadline && attempt.attempts < MAX_ATTEMPTS;
    if !(may_run_again && may_continue && is_in_time && helps_elsewhere(attempt.reason)) {
        return fail;
    }
    // A leaving upstream refuses before any work, so the retry adds no load; a planned stop must not use up the budget.
    let is_free = attempt.reason == outcome::Reason::UpstreamLeaving;
    if !is_free && !budget.take(now) {
        return fail;
    }
    match attempt.delivered {
        0 => Action::Retry,
        position => Action::Resume { position },
    }
}

/// Returns whether another upstream may succeed where this one failed.
const fn helps_elsewhere(reason: outcome::Reason) -> bool {
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
