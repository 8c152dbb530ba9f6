//! Selection of the upstream for a request.

mod connection;
pub(super) mod expected;

use std::time;

use super::capacity;
use super::config;
use super::origin;
use super::pending;
use super::policy;
use super::upstream;
use crate::clock;
use crate::name;

/// The result of a selection.
#[derive(Debug)]
pub(super) enum Selection {
    /// The upstream to send to.
    Upstream(name::Name),
    /// The upstreams that hold what the request needs have no free slot.
    NoFreeSlot,
    /// Of the upstreams that hold what the request needs, one or more are silent and expected to go on, and the others are
    /// ejected.
    Silent,
    /// The upstreams that hold what the request needs are ejected because attempts failed.
    Ejected,
    /// No upstream holds what the request needs, or as many have run the request as may do so, and none of these holds it.
    Unplaced,
}

/// How many upstreams could serve a request but for their present state.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Census {
    /// Those that accept requests and hold what the request needs.
    pub(super) holders: usize,
    /// The holders that are ejected.
    pub(super) ejected: usize,
    /// The holders that asked for a pause.
    pub(super) paused: usize,
}

/// The cost of an upstream in another availability zone, in the unit of load: the fraction of slots in use.
const REMOTE_ZONE_COST: f64 = 0.04;
/// The cost of a failure rate of 1, in the unit of load.
const FAILURE_COST: f64 = 3.0;
/// The upper bound of the ratio between the latency of an upstream and that of the fastest one.
const MAX_LATENCY_RATIO: f64 = 8.0;

/// Selects upstreams of one service.
#[derive(Debug)]
pub(super) struct Selector<'a> {
    pub(super) now: clock::Instant,
    pub(super) zone: &'a name::Name,
    pub(super) service: &'a config::Service,
    pub(super) removal_grace: time::Duration,
    pub(super) policy: policy::Policy,
    /// A number that grows with each attempt sent; the position for [`policy::Routing::RoundRobin`].
    pub(super) sequence: u64,
    /// The longest time for which an upstream with requests in progress may have been silent; none means any.
    pub(super) max_silence: Option<time::Duration>,
    /// The versions of the service at which no stream may begin.
    pub(super) unrecorded: Vec<origin::Origin>,
    /// What the choice under [`config::Balancing::Work`] is based on.
    pub(super) knowledge: expected::Knowledge<'a>,
    /// What the request leaves free for urgent ones; none if it may use all slots.
    pub(super) yielding: Option<capacity::Yielding<'a>>,
}

impl Selector<'_> {
    /// Returns the slots of an upstream; those of its service when its registration gives none.
    pub(super) fn slots(&self, upstream: &upstream::Upstream) -> u32 {
        match &self.service.engine {
            Some(engine) if upstream.registration.slots == 0 => engine.slots,
            _ => upstream.registration.slots,
        }
    }

    /// Returns whether the expected work decides. The other policies are baselines for measurements.
    fn is_by_work(&self) -> bool {
        self.service.balancing == config::Balancing::Work
            && self.policy.routing == policy::Routing::Cost
    }

    /// Selects the upstream for a request. Upstreams that no attempt has been sent to take precedence.
    pub(super) fn select(
        &self,
        upstreams: &upstream::Table,
        request: &pending::Pending,
    ) -> Selection {
        let max_upstreams = request.route.max_attempts;
        let history = &request.history;
        let is_exhausted = history.is_exhausted(self.now, upstreams, max_upstreams);
        let may_run = |upstream: &upstream::Upstream| {
            (!is_exhausted || history.has_run_at(upstream))
                && (self.max_silence.is_none()
                    || !history.includes(&upstream.registration.id)
                    || request.has_received_part() && history.permits_return(self.now, upstream))
        };
        let holders: Vec<_> = upstreams
            .values()
            .filter(|upstream| self.is_eligible(upstream, request) && may_run(upstream))
            .collect();
        if holders.is_empty() {
            return Selection::Unplaced;
        }
        let untried: Vec<_> = holders
            .iter()
            .copied()
            .filter(|upstream| !history.includes(&upstream.registration.id))
            .collect();
        if untried.is_empty() {
            return self.select_among(holders, true, request);
        }
        let selection = self.select_among(untried, false, request);
        if matches!(selection, Selection::Upstream(_)) || !request.has_received_part() {
            return selection;
        }
        let tried: Vec<_> = holders
            .into_iter()
            .filter(|upstream| history.includes(&upstream.registration.id))
            .filter(|upstream| !upstream.is_ejected(self.now))
            .collect();
        match self.select_among(tried, true, request) {
            Selection::Upstream(upstream) => Selection::Upstream(upstream),
            _ => selection,
        }
    }

    /// Selects one of `candidates`. `are_tried` means that attempts were sent to them.
    fn select_among(
        &self,
        candidates: Vec<&upstream::Upstream>,
        are_tried: bool,
        request: &pending::Pending,
    ) -> Selection {
        let mut silent = candidates.iter();
        let unavailable = match silent.any(|upstream| upstream.is_ejected_for_silence(self.now)) {
            true => Selection::Silent,
            false => Selection::Ejected,
        };
        let healthy: Vec<_> = candidates
            .iter()
            .copied()
            .filter(|upstream| !upstream.is_ejected(self.now) && !self.is_too_silent(upstream))
            .collect();
        // A request that may run only once does not probe whether a suspect upstream is healthy.
        let unsuspected: Vec<_> = healthy
            .iter()
            .copied()
            .filter(|upstream| request.route.is_repeatable() || !upstream.is_suspect())
            .collect();
        let healthy = if unsuspected.is_empty() {
            healthy
        } else {
            unsuspected
        };
        if healthy.is_empty() && are_tried && !request.has_received_part() {
            return unavailable;
        }
        // When all are ejected, one request at a time probes whether an upstream has recovered.
        let candidates: Vec<_> = match healthy.is_empty() {
            true => candidates
                .into_iter()
                .filter(|upstream| upstream.own_requests == 0)
                .collect(),
            false => healthy,
        };
        if candidates.is_empty() {
            return unavailable;
        }
        let available: Vec<_> = candidates
            .into_iter()
            .filter(|upstream| {
                upstream.has_free_slot(self.now, self.open_slots(upstream))
                    && !request
                        .history
                        .is_resting(self.now, &upstream.registration.id)
            })
            .collect();
        let available = self.narrow(available);
        if self.is_by_work() {
            let candidates: Vec<_> = available
                .iter()
                .map(|upstream| (*upstream, self.slots(upstream)))
                .collect();
            let chosen =
                self.knowledge
                    .choose(self.now, self.zone, request, &candidates, self.sequence);
            return chosen.map_or(Selection::NoFreeSlot, |upstream| {
                Selection::Upstream(upstream.registration.id.clone())
            });
        }
        let fastest = available
            .iter()
            .filter_map(|upstream| upstream.mean_latency())
            .fold(f64::INFINITY, f64::min);
        let cheapest_by = |cost: &dyn Fn(&upstream::Upstream) -> f64| {
            available
                .iter()
                .min_by(|one, other| cost(one).total_cmp(&cost(other)))
        };
        let cheapest = match self.policy.routing {
            policy::Routing::Cost => cheapest_by(&|upstream| self.cost(upstream, fastest)),
            policy::Routing::LeastLoad => {
                cheapest_by(&|upstream| upstream.load(self.slots(upstream)))
            }
            policy::Routing::RoundRobin => {
                let index = self.sequence.checked_rem(available.len() as u64);
                index.and_then(|index| available.get(usize::try_from(index).unwrap_or(0)))
            }
        };
        cheapest.map_or(Selection::NoFreeSlot, |upstream| {
            Selection::Upstream(upstream.registration.id.clone())
        })
    }

    /// Returns when the first upstream takes requests again, if all that hold what the request needs have asked for a pause.
    pub(super) fn pause_end(
        &self,
        upstreams: &upstream::Table,
        request: &pending::Pending,
    ) -> Option<clock::Instant> {
        let mut holders = upstreams
            .values()
            .filter(|upstream| self.is_eligible(upstream, request));
        let first = holders.next()?.paused_until(self.now)?;
        holders.try_fold(first, |earliest, upstream| {
            Some(earliest.min(upstream.paused_until(self.now)?))
        })
    }

    /// Counts the upstreams that hold what the request needs.
    pub(super) fn census(&self, upstreams: &upstream::Table, request: &pending::Pending) -> Census {
        let mut census = Census::default();
        for upstream in upstreams.values() {
            if self.is_eligible(upstream, request) {
                census.holders += 1;
                census.ejected += usize::from(upstream.is_ejected(self.now));
                census.paused += usize::from(upstream.paused_until(self.now).is_some());
            }
        }
        census
    }

    /// Returns whether an upstream accepts requests and holds the model and adapter of the request.
    pub(super) fn is_eligible(
        &self,
        upstream: &upstream::Upstream,
        request: &pending::Pending,
    ) -> bool {
        upstream.registration.service == request.service
            && upstream.accepts_requests(self.now, self.removal_grace)
            && request.stream.permits(&upstream.registration)
            && !self.is_unrecorded(upstream, request)
            && request
                .model
                .as_ref()
                .filter(|_| self.service.engine.is_some())
                .is_none_or(|model| upstream.can_serve(self.now, model, request.adapter.as_ref()))
    }

    fn is_too_silent(&self, upstream: &upstream::Upstream) -> bool {
        let silence = upstream.silence(self.now);
        self.max_silence.is_some_and(|max| silence > max)
    }

    /// Returns whether a request would begin a stream at a version at which none may begin yet.
    fn is_unrecorded(&self, upstream: &upstream::Upstream, request: &pending::Pending) -> bool {
        let registration = &upstream.registration;
        request.route.kind == config::Kind::Streaming
            && request.stream.pin == origin::Pin::Free
            && self.unrecorded.iter().any(|origin| {
                origin.version == registration.version && origin.service == registration.service
            })
    }

    /// Returns the cost of sending a request to an upstream. `fastest` is the lowest mean latency in seconds.
    fn cost(&self, upstream: &upstream::Upstream, fastest: f64) -> f64 {
        let slots = self.slots(upstream);
        let latency_ratio = upstream.mean_latency().map_or(1.0, |latency| {
            (latency / fastest.max(0.001)).clamp(1.0, MAX_LATENCY_RATIO)
        });
        let zone_cost = if upstream.registration.zone == *self.zone {
            0.0
        } else {
            REMOTE_ZONE_COST
        };
        // An upstream without a measured latency counts as fast, and its load limits how many requests try it at once.
        upstream.load(slots) * latency_ratio.sqrt()
            + zone_cost
            + FAILURE_COST * upstream.failure_rate(self.now)
            + (latency_ratio - 1.0) * 0.1
    }
}
