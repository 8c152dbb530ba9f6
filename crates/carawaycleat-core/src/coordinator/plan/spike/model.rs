use std::time;

use crate::clock;
use crate::coordinator::plan;
use crate::coordinator::traffic;
use crate::relay::traffic::PATIENCE_LIMITS_MS;

/// The patience assumed of callers in the last class.
const MAX_PATIENCE: time::Duration = time::Duration::from_secs(20);
/// The longest time ahead for which arrivals are estimated. Demand shifts within eight seconds, so that a rise does not
/// last longer.
const MAX_LEAD: time::Duration = time::Duration::from_secs(3);

/// Waiting requests whose callers have about the same patience.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Waiting {
    pub(super) requests: f64,
    /// The sum of their urgencies, each up to 1.
    pub(super) urgency: f64,
}

/// A replica of a model.
#[derive(Clone, Copy, Debug)]
pub(super) struct Holder {
    /// The index of its engine.
    pub(super) engine: usize,
    /// The slots that its requests are expected to occupy.
    pub(super) share: f64,
    /// When it was loaded; none while it is being loaded.
    pub(super) loaded_at: Option<clock::Instant>,
    /// The time until it serves requests.
    pub(super) ready_in: time::Duration,
}

/// A model, what is asked of it and what its replicas can carry.
#[derive(Debug)]
pub(super) struct Model<'a> {
    pub(super) base: &'a plan::Model<'a>,
    pub(super) estimate: traffic::Estimate,
    /// The slots that its arrivals occupy.
    pub(super) offered: f64,
    /// The waiting requests by the patience of their callers.
    pub(super) waiting: [Waiting; PATIENCE_LIMITS_MS.len() + 1],
    pub(super) holders: Vec<Holder>,
    /// The slots up to the target utilization that its replicas have for it.
    pub(super) room: f64,
    /// The slots up to the highest utilization that its replicas have for it.
    pub(super) max_room: f64,
    /// The available engines that have its weights in host memory, and on disk only.
    pub(super) cached_engines: (u32, u32),
}

impl<'a> Model<'a> {
    pub(super) fn new(planner: &plan::Planner<'a>, base: &'a plan::Model<'a>) -> Self {
        let key = (planner.service.clone(), base.name.clone());
        let lead = base.spec.store_load_time.min(MAX_LEAD);
        let estimate = planner.state.traffic.estimate(planner.now, &key, lead);
        Self {
            base,
            estimate,
            offered: estimate.arrivals * estimate.slot_time,
            waiting: Default::default(),
            holders: Vec::new(),
            room: 0.0,
            max_room: 0.0,
            cached_engines: (0, 0),
        }
    }

    /// Returns the slots that its replicas lack for its arrivals.
    pub(super) fn deficit(&self) -> f64 {
        (self.offered - self.room).max(0.0)
    }

    /// Returns the slots that its replicas lack for its arrivals at the highest utilization.
    pub(super) fn shortage(&self) -> f64 {
        (self.offered - self.max_room).max(0.0)
    }

    /// Returns the time until its first replica serves requests; none without a replica.
    pub(super) fn ready_in(&self) -> Option<time::Duration> {
        self.holders.iter().map(|holder| holder.ready_in).min()
    }

    /// Returns the time of the shortest load at an available engine.
    pub(super) fn shortest_load(&self) -> time::Duration {
        let spec = self.base.spec;
        match self.cached_engines {
            (1.., _) => spec.memory_load_time,
            (0, 1..) => spec.disk_load_time,
            (0, 0) => spec.store_load_time,
        }
    }

    /// Returns the number of waiting requests.
    pub(super) fn backlog(&self) -> f64 {
        self.waiting.iter().map(|class| class.requests).sum()
    }

    /// Returns the waiting requests whose callers are still there after `delay`.
    pub(super) fn waiting_after(&self, delay: time::Duration) -> Waiting {
        let last = (MAX_PATIENCE.as_millis() as u64).max(PATIENCE_LIMITS_MS[3]);
        let limits = PATIENCE_LIMITS_MS.iter().copied().chain([last]);
        let delay_ms = delay.as_secs_f64() * 1_000.0;
        let mut lower = 0.0;
        let mut sum = Waiting::default();
        for (class, limit) in self.waiting.iter().zip(limits) {
            let upper = limit as f64;
            // Callers of a class leave evenly between its limits.
            let staying = ((upper - delay_ms) / (upper - lower)).clamp(0.0, 1.0);
            sum.requests += class.requests * staying;
            sum.urgency += class.urgency * staying;
            lower = upper;
        }
        sum
    }

    /// Returns the part of the room of its replicas that its arrivals use; more than 1 if they lack room.
    pub(super) fn used_room(&self) -> f64 {
        self.offered / self.room.max(f64::MIN_POSITIVE)
    }

    /// Returns the slots that its arrivals occupy at each replica when there are `fewer` of them.
    pub(super) fn slots_per_replica(&self, fewer: usize) -> f64 {
        self.offered / self.holders.len().saturating_sub(fewer).max(1) as f64
    }

    /// Returns whether there are requests for it.
    pub(super) fn is_asked_for(&self) -> bool {
        self.estimate.arrivals > 0.01 || self.base.waiting > 0
    }

    /// Returns whether an engine other than that with index `engine` serves it now.
    pub(super) fn is_served_beside(&self, engine: usize) -> bool {
        let mut others = self.holders.iter().filter(|h| h.engine != engine);
        others.any(|holder| holder.loaded_at.is_some())
    }
}
