use std::sync;
use std::time;

use super::config;
use super::policy;
use super::summary;
use crate::clock;
use crate::name;

/// Where a request is.
#[derive(Clone, Debug)]
pub(super) enum Place {
    /// It waits for an upstream.
    Waiting,
    /// It has been sent.
    At {
        upstream: name::Name,
        sent: clock::Instant,
        progress: clock::Instant,
        /// Whether a byte of an answer has arrived from there.
        answered: bool,
    },
}

/// Callers of streams leave when nothing has arrived for this time, or for these multiples of the objective and of the
/// longest pause between events, whichever is longest.
const ABANDON_TIME: time::Duration = time::Duration::from_millis(2_000);
const ABANDON_OBJECTIVES: u32 = 4;
const ABANDON_GAPS: u32 = 8;

/// How much later a waiting request is sent for each rank below the most urgent one.
const HANDICAP: time::Duration = time::Duration::from_millis(300);

/// A request that has no complete answer yet.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) name: String,
    pub(super) route: sync::Arc<config::Route>,
    pub(super) service: name::Name,
    pub(super) model: Option<name::Name>,
    pub(super) adapter: Option<name::Name>,
    pub(super) workspace: Option<name::Name>,
    pub(super) keyed: bool,
    pub(super) priority: u8,
    /// The tokens charged to the workspace.
    pub(super) cost: u64,
    /// Whether it has the tokens that it costs.
    pub(super) has_tokens: bool,
    pub(super) arrived: clock::Instant,
    /// The order of waiting requests that it takes part in.
    pub(super) queue: policy::Queue,
    /// When the final answer is due.
    pub(super) due: clock::Instant,
    /// When the caller stops waiting.
    pub(super) patience: clock::Instant,
    /// Whether it waits for a model or adapter that no upstream holds, and not for room.
    pub(super) unplaced: bool,
    /// When it was first sent to an upstream.
    pub(super) sent: Option<clock::Instant>,
    /// When the first byte of an answer arrived.
    pub(super) answered: Option<clock::Instant>,
    pub(super) attempt: u32,
    /// The attempts of which a byte may have left.
    pub(super) arrivals: u32,
    /// The attempts that may have run.
    pub(super) runs: u32,
    /// The upstreams that an attempt was sent to.
    pub(super) tried: Vec<name::Name>,
    /// The upstreams that could not run it.
    pub(super) rejected: u32,
    pub(super) place: Place,
    /// Whether a part of the answer has been passed on.
    pub(super) delivered: bool,
    /// The last event that the caller has received.
    pub(super) after: Option<u64>,
}

impl Pending {
    /// Returns the time until which an answer that begins is on time.
    pub(super) fn wanted(&self) -> clock::Instant {
        let patience = self.patience.since(self.arrived);
        self.arrived + self.route.objective.min(patience / 4)
    }

    /// Returns the order in which waiting requests are sent: by the time at which the answer is wanted, with a
    /// handicap for each rank.
    pub(super) fn urgency(&self) -> clock::Instant {
        if self.queue == policy::Queue::FirstIn {
            return self.arrived;
        }
        self.wanted() + HANDICAP * u32::from(self.priority)
    }

    /// Returns the time after which the caller is no longer there for the beginning of an answer.
    pub(super) fn abandoned(&self) -> clock::Instant {
        if self.route.kind != config::Kind::Streaming {
            return self.due;
        }
        let patience = ABANDON_TIME
            .max(self.route.objective * ABANDON_OBJECTIVES)
            .max(self.route.gap_objective * ABANDON_GAPS);
        self.due.min(self.arrived + patience)
    }

    /// Returns its times at its end.
    pub(super) fn summary(
        &self,
        now: clock::Instant,
        outcome: summary::Outcome,
    ) -> summary::Summary {
        let since_arrival = |at: clock::Instant| at.since(self.arrived);
        summary::Summary {
            kind: self.route.kind,
            outcome,
            queue_time: since_arrival(self.sent.unwrap_or(now)),
            time_to_first_byte: self.answered.map(since_arrival),
            upstream_time: self.sent.map(|sent| now.since(sent)),
        }
    }

    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.place, Place::Waiting)
    }

    /// Returns whether another attempt may be sent after one that may have run.
    pub(super) fn may_repeat(&self) -> bool {
        self.route.is_repeatable() && self.runs < self.route.max_attempts
    }
}
