use std::sync;
use std::time;

use super::config;
use super::history;
use super::origin;
use super::policy;
use super::summary;
use crate::clock;
use crate::contention;
use crate::name;
use crate::work;

/// Whether a request waits or an attempt is in progress.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// It waits for an upstream.
    Waiting,
    /// An attempt has been sent.
    Sent {
        /// The number of the attempt.
        attempt: u32,
        upstream: name::Name,
        sent: clock::Instant,
        /// When the request left for the upstream; none while its connection is being made.
        departed: Option<clock::Instant>,
        last_progress: clock::Instant,
        /// Whether its connection is being made, so that nothing of it has left.
        is_connecting: bool,
        /// Whether the head of a stream has arrived.
        head_received: bool,
        /// Whether a whole event of a stream has arrived.
        event_received: bool,
        /// Whether a byte of the response to this attempt has arrived.
        first_byte_received: bool,
        /// The process that it was sent to.
        life: origin::Life,
    },
}

impl Phase {
    /// Returns whether the connection of the attempt in progress is being made.
    pub(super) fn is_connecting(&self) -> bool {
        matches!(
            self,
            Self::Sent {
                is_connecting: true,
                ..
            }
        )
    }

    /// Returns the number of the attempt in progress.
    pub(super) fn attempt(&self) -> Option<u32> {
        match self {
            Self::Waiting => None,
            Self::Sent { attempt, .. } => Some(*attempt),
        }
    }

    /// Returns when the request left for the upstream of the attempt in progress.
    pub(super) fn departed_at(&self) -> Option<clock::Instant> {
        match self {
            Self::Waiting => None,
            Self::Sent { departed, .. } => *departed,
        }
    }

    /// Returns when the attempt in progress was sent.
    pub(super) fn sent_at(&self) -> Option<clock::Instant> {
        match self {
            Self::Waiting => None,
            Self::Sent { sent, .. } => Some(*sent),
        }
    }
}

/// The shortest time without a response after which callers of streams disconnect. The time is the longest of this one
/// and of multiples of the latency objective and of the gap objective.
const MIN_ABANDONMENT_TIME: time::Duration = time::Duration::from_millis(2_000);
/// The multiple of the latency objective.
const ABANDONMENT_OBJECTIVES: u32 = 4;
/// The multiple of the gap objective.
const ABANDONMENT_GAPS: u32 = 8;

/// The attempts in a row that broke off without an event after which the response may be what crashes upstreams.
const SUSPICIOUS_EVENTLESS_ATTEMPTS: u32 = 2;
/// The attempts in a row that broke off without an event after which there is no further one.
const MAX_EVENTLESS_ATTEMPTS: u32 = 4;

/// How long before the end of the caller's timeout an attempt ends, so that a refusal arrives in time.
const RETURN_TIME: time::Duration = time::Duration::from_millis(40);
/// An attempt ends early by at most the timeout divided by this.
const MIN_TIMEOUT_PARTS: u32 = 8;
/// How long before the deadline an upstream may end an attempt because of it: its clock may run slightly faster. The
/// tolerance is at most the time given to the upstream divided by [`MIN_TIMEOUT_PARTS`].
const MAX_LIMIT_TOLERANCE: time::Duration = time::Duration::from_millis(25);

/// The delay of a waiting request in the queue for each priority level below the most urgent one.
const PRIORITY_DELAY: time::Duration = time::Duration::from_millis(300);

/// A request that has no complete response yet.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) request_id: String,
    pub(super) route: sync::Arc<config::Route>,
    pub(super) service: name::Name,
    /// The service as it was when the request was admitted; none if the configuration did not have it.
    pub(super) admitted_service: Option<sync::Arc<config::Service>>,
    pub(super) model: Option<name::Name>,
    pub(super) adapter: Option<name::Name>,
    /// The shared parts of the prompt.
    pub(super) prompt: Vec<name::Name>,
    /// A digest of the target and the body, with the workspace.
    pub(super) fingerprint: name::Name,
    pub(super) workspace: Option<name::Name>,
    /// Whether it was admitted by its key, so that it needs a recent configuration.
    pub(super) requires_key: bool,
    /// The priority; 0 is the most urgent.
    pub(super) priority: u8,
    /// The prompt tokens and the maximum of output tokens; none when the caller gives none.
    pub(super) tokens: Option<(u64, u64)>,
    /// The tokens charged to the workspace.
    pub(super) cost: u64,
    /// Whether the tokens have been taken from the allowance or granted by the coordinator.
    pub(super) has_tokens: bool,
    pub(super) arrived_at: clock::Instant,
    /// The queueing policy.
    pub(super) queue: policy::Queue,
    /// Its place among the waiting requests, where the load is measured by work.
    pub(super) rank: Option<clock::Instant>,
    /// The time for which its caller has waited at hosts that refused it.
    pub(super) waited_before: time::Duration,
    /// Why it is refused for lack of a slot.
    pub(super) verdict: Option<contention::Verdict>,
    /// Whether its next attempt has yet to be charged to the retry budget.
    pub(super) awaits_budget: bool,
    /// When the final response is due.
    pub(super) deadline: clock::Instant,
    /// Whether the last tick has found its limit reached while an attempt is in progress. The limit takes effect when what
    /// had arrived by then has been handled.
    pub(super) is_overdue: bool,
    /// The end of the time that was given to the upstream of the last attempt; the deadline before the first one.
    pub(super) upstream_limit: clock::Instant,
    /// The end of the caller's own timeout, which may be later than the deadline.
    pub(super) caller_deadline: clock::Instant,
    /// Whether it waits because no usable upstream holds its model or adapter, and not for a free slot.
    pub(super) is_unplaced: bool,
    /// When it was first sent to an upstream.
    pub(super) first_sent_at: Option<clock::Instant>,
    /// When the first byte of a response arrived.
    pub(super) first_byte_at: Option<clock::Instant>,
    /// The time to the first event that was expected of the last attempt; none where requests are counted.
    pub(super) expected_first: Option<time::Duration>,
    /// The number of the last attempt, counted from 1; 0 before the first one.
    pub(super) attempt: u32,
    /// The attempts that may have reached an upstream.
    pub(super) sent_attempts: u32,
    /// The ended attempts that may have run.
    pub(super) possible_executions: u32,
    /// Those of the possible executions that certainly did not run, because they were ended while their connections were being
    /// made.
    pub(super) unsent_executions: u32,
    /// The ended attempts that this host gave up for another one, because their upstreams were silent.
    pub(super) abandoned_attempts: u32,
    /// The attempts in a row that broke off before they brought an event.
    pub(super) eventless_attempts: u32,
    /// The attempts.
    pub(super) history: history::History,
    /// The attempts that an upstream rejected without running them.
    pub(super) rejections: u32,
    pub(super) phase: Phase,
    /// The other attempts in progress, which go on when the one in [`Self::phase`] ends without an answer.
    pub(super) standbys: Vec<Phase>,
    /// Whether a part of the response has been passed on.
    pub(super) response_started: bool,
    /// Whether its caller does not take the events that have arrived, so that its upstream may look silent.
    pub(super) is_caller_blocked: bool,
    /// The identifier of the last event of the stream that has been passed on.
    pub(super) last_event: Option<u64>,
    pub(super) stream: origin::Stream,
}

impl Pending {
    /// Returns what the length of its response depends on.
    pub(super) fn subject(&self) -> work::Subject<'_> {
        work::Subject {
            service: &self.service,
            route: &self.route.name,
            model: self.model.as_ref(),
            adapter: self.adapter.as_ref(),
            workspace: self.workspace.as_ref(),
        }
    }

    /// Returns whether the time that an upstream was given for the attempt that was sent at `sent` is over, so that it may end
    /// the attempt.
    pub(super) fn is_at_limit(&self, now: clock::Instant, sent: clock::Instant) -> bool {
        let given = self.upstream_limit.since(sent);
        now + MAX_LIMIT_TOLERANCE.min(given / MIN_TIMEOUT_PARTS) >= self.upstream_limit
    }

    /// Returns when attempts have to end, so that the final response of a host that takes `delay` for it arrives in time. The
    /// caller's timeout began when the request was sent. No refusal follows a response that has begun, so it may go on until
    /// the deadline.
    pub(super) fn limit(&self, delay: time::Duration) -> clock::Instant {
        if self.response_started {
            return self.deadline;
        }
        let timeout = self.deadline.since(self.arrived_at);
        let spare = self.caller_deadline.since(self.deadline);
        let lead = (delay + RETURN_TIME.saturating_sub(spare)).min(timeout / MIN_TIMEOUT_PARTS);
        self.arrived_at + (timeout - lead)
    }

    /// Returns when an upstream that is sent the request now has to end its response.
    pub(super) fn response_limit(&self, delay: time::Duration) -> clock::Instant {
        match self.route.kind {
            config::Kind::Streaming => self.deadline,
            config::Kind::Idempotent | config::Kind::NonIdempotent => self.limit(delay),
        }
    }

    /// Returns the time by which the response should begin: the latency objective, or a quarter of the caller's timeout
    /// if that is shorter.
    pub(super) fn target_time(&self) -> clock::Instant {
        let timeout = self.caller_deadline.since(self.arrived_at);
        self.arrived_at + self.route.objective.min(timeout / 4)
    }

    /// Returns the key by which waiting requests are ordered: the target time plus a delay for each priority level, or
    /// the arrival under [`policy::Queue::FirstIn`]. A take-up precedes the new requests of its kind that still have a caller,
    /// because the events that its caller has would be lost with it.
    pub(super) fn queue_key(&self) -> clock::Instant {
        if let Some(rank) = self.rank {
            return rank;
        }
        if self.queue == policy::Queue::FirstIn {
            return self.arrived_at;
        }
        let wanted_at = if self.is_take_up() {
            self.arrived_at
        } else {
            self.target_time() + MIN_ABANDONMENT_TIME
        };
        wanted_at + PRIORITY_DELAY * u32::from(self.priority)
    }

    /// Returns whether the caller goes on with a stream that broke off.
    pub(super) const fn is_take_up(&self) -> bool {
        self.stream.resumption.is_some()
    }

    /// Returns the time at which the caller of a waiting request has disconnected if no event arrives; the deadline if the
    /// response has begun, which may go on until then.
    pub(super) fn abandonment_time(&self) -> clock::Instant {
        if self.route.kind != config::Kind::Streaming || self.response_started {
            return self.deadline;
        }
        let max_wait = MIN_ABANDONMENT_TIME
            .max(self.route.objective * ABANDONMENT_OBJECTIVES)
            .max(self.route.gap_objective * ABANDONMENT_GAPS);
        self.deadline.min(self.arrived_at + max_wait)
    }

    /// Returns the summary of a request that ends now.
    pub(super) fn summary(
        &self,
        now: clock::Instant,
        outcome: summary::Outcome,
    ) -> summary::Summary {
        let since_arrival = |at: clock::Instant| at.since(self.arrived_at);
        summary::Summary {
            kind: self.route.kind,
            outcome,
            is_take_up: self.is_take_up(),
            queue_time: since_arrival(self.first_sent_at.unwrap_or(now)),
            time_to_first_byte: self.first_byte_at.map(since_arrival),
            upstream_time: self.first_sent_at.map(|sent| now.since(sent)),
            forecast_error: self.forecast_error(),
        }
    }

    fn forecast_error(&self) -> Option<time::Duration> {
        let expected = self.expected_first.filter(|_| self.attempt == 1)?;
        let actual = self.first_byte_at?.since(self.first_sent_at?);
        Some(actual.abs_diff(expected))
    }

    /// Returns whether an ended attempt may have run.
    pub(super) const fn may_have_run(&self) -> bool {
        self.possible_executions > self.unsent_executions
    }

    /// Returns whether no attempt is in progress.
    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::Waiting)
    }

    /// Returns whether the head of the response to the attempt in progress has arrived.
    pub(super) fn is_head_received(&self) -> bool {
        matches!(
            self.phase,
            Phase::Sent {
                head_received: true,
                ..
            }
        )
    }

    /// Returns whether the response has begun, but no event of it is complete.
    pub(super) fn has_just_begun(&self) -> bool {
        let has_event = |phase: &Phase| {
            matches!(
                phase,
                Phase::Sent {
                    event_received: true,
                    ..
                }
            )
        };
        self.is_head_received()
            && self.last_event.is_none()
            && !has_event(&self.phase)
            && !self.standbys.iter().any(has_event)
    }

    /// Returns whether no event of the response to the attempt in progress is complete; for a response that is no stream,
    /// whether it has not arrived.
    pub(super) fn is_without_event(&self) -> bool {
        matches!(
            self.phase,
            Phase::Sent {
                event_received: false,
                ..
            }
        )
    }

    /// Returns whether another attempt may be sent after one that may have run. A caller who has a part of the response would
    /// lose it, so that only upstreams that have answered count, and not those whose responses were lost.
    pub(super) fn may_repeat(&self) -> bool {
        let failures = if self.has_received_part() {
            u32::try_from(self.history.answering_upstreams()).unwrap_or(u32::MAX)
        } else {
            self.possible_executions - self.abandoned_attempts
        };
        self.route.is_repeatable()
            && failures < self.route.max_attempts
            && self.eventless_attempts < MAX_EVENTLESS_ATTEMPTS
    }

    /// Returns whether the caller has a part of the response, which a refusal would lose: the response has begun, or the
    /// caller goes on with a stream that broke off.
    pub(super) const fn has_received_part(&self) -> bool {
        self.response_started || self.is_take_up()
    }

    /// Returns whether the response has shown that it crashes no upstream: events of it have arrived, and attempts since have
    /// not broken off before their first event in a row.
    pub(super) fn is_harmless(&self) -> bool {
        self.response_started
            && self.last_event.is_some()
            && self.eventless_attempts < SUSPICIOUS_EVENTLESS_ATTEMPTS
    }
}
