//! The choice of an upstream.

use super::config;
use super::pending;
use super::policy;
use super::upstream;
use crate::clock;
use crate::name;

/// What choosing an upstream led to.
#[derive(Debug)]
pub(super) enum Choice {
    /// The upstream to send to.
    Upstream(name::Name),
    /// Upstreams hold what is needed, and none has room.
    Full,
    /// No upstream holds what is needed.
    Unplaced,
}

/// The cost of an upstream in another availability zone, in units of load.
const ZONE_COST: f64 = 0.04;
/// The cost of a failure rate of one.
const FAILURE_COST: f64 = 3.0;
/// The most that latency counts against an upstream, relative to the fastest one.
const MAX_PACE: f64 = 8.0;

/// What the choice goes by besides the upstreams.
#[derive(Debug)]
pub(super) struct Context<'a> {
    pub(super) now: clock::Instant,
    pub(super) zone: &'a name::Name,
    pub(super) service: &'a config::Service,
    pub(super) lapse: std::time::Duration,
    pub(super) policy: policy::Policy,
    /// A number that grows with each choice.
    pub(super) turn: u64,
}

impl Context<'_> {
    fn slots(&self, upstream: &upstream::Upstream) -> u32 {
        match &self.service.engine {
            Some(engine) if upstream.registration.slots == 0 => engine.slots,
            _ => upstream.registration.slots,
        }
    }

    /// Chooses the upstream for a request, one that was not tried before where there is one.
    pub(super) fn pick(&self, table: &upstream::Table, request: &pending::Pending) -> Choice {
        let holders: Vec<_> = table
            .values()
            .filter(|upstream| self.suits(upstream, request))
            .collect();
        if holders.is_empty() {
            return Choice::Unplaced;
        }
        let untried: Vec<_> = holders
            .iter()
            .copied()
            .filter(|upstream| !request.tried.contains(&upstream.registration.id))
            .collect();
        let (candidates, repeated) = match untried.is_empty() {
            true => (holders, true),
            false => (untried, false),
        };
        let sound: Vec<_> = candidates
            .iter()
            .copied()
            .filter(|upstream| !upstream.is_avoided(self.now))
            .collect();
        // What may run once only is not used to find out whether an upstream is sound.
        let certain: Vec<_> = sound
            .iter()
            .copied()
            .filter(|upstream| request.route.is_repeatable() || !upstream.is_doubtful())
            .collect();
        let sound = if certain.is_empty() { sound } else { certain };
        if sound.is_empty() && repeated {
            return Choice::Unplaced;
        }
        // Where all are avoided, one request at a time finds out whether an upstream is back.
        let candidates: Vec<_> = match sound.is_empty() {
            true => candidates
                .into_iter()
                .filter(|upstream| upstream.running == 0)
                .collect(),
            false => sound,
        };
        if candidates.is_empty() {
            return Choice::Unplaced;
        }
        let open: Vec<_> = candidates
            .into_iter()
            .filter(|upstream| upstream.has_room(self.now, self.slots(upstream)))
            .collect();
        let fastest = open
            .iter()
            .filter_map(|upstream| upstream.latency())
            .fold(f64::INFINITY, f64::min);
        let by = |cost: &dyn Fn(&upstream::Upstream) -> f64| {
            open.iter()
                .min_by(|one, other| cost(one).total_cmp(&cost(other)))
        };
        let cheapest = match self.policy.routing {
            policy::Routing::Cost => by(&|upstream| self.cost(upstream, fastest)),
            policy::Routing::LeastLoad => by(&|upstream| upstream.load(self.slots(upstream))),
            policy::Routing::RoundRobin => {
                let turn = self.turn.checked_rem(open.len() as u64);
                turn.and_then(|turn| open.get(usize::try_from(turn).unwrap_or(0)))
            }
        };
        cheapest.map_or(Choice::Full, |upstream| {
            Choice::Upstream(upstream.registration.id.clone())
        })
    }

    fn suits(&self, upstream: &upstream::Upstream, request: &pending::Pending) -> bool {
        upstream.registration.service == request.service
            && upstream.is_open(self.now, self.lapse)
            && request
                .model
                .as_ref()
                .filter(|_| self.service.engine.is_some())
                .is_none_or(|model| upstream.holds(self.now, model, request.adapter.as_ref()))
    }

    fn cost(&self, upstream: &upstream::Upstream, fastest: f64) -> f64 {
        let slots = self.slots(upstream);
        let pace = upstream.latency().map_or(1.0, |latency| {
            (latency / fastest.max(0.001)).clamp(1.0, MAX_PACE)
        });
        let zone = if upstream.registration.zone == *self.zone {
            0.0
        } else {
            ZONE_COST
        };
        // An upstream that has not answered yet is tried, but not by everything at once.
        upstream.load(slots) * pace.sqrt()
            + zone
            + FAILURE_COST * upstream.failure_rate(self.now)
            + (pace - 1.0) * 0.1
    }
}
