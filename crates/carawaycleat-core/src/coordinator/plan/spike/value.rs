use std::time;

use super::board;
use super::model;
use crate::clock;
use crate::coordinator::plan;

/// The time over which a replica is valued. It is the time within which demand shifts, and longer than a load from the
/// weight store.
const HORIZON: time::Duration = time::Duration::from_secs(10);
/// The value of a slot up to the target utilization, relative to one without which requests are not served. Between the two
/// they are served, but some wait for their first event.
const COMFORT_VALUE: f64 = 0.2;
/// The slots to the target utilization that a model may lack.
const MIN_DEFICIT: f64 = 1.0;
/// The further slots that it may lack, as a part of those that its arrivals occupy. Estimates vary as much.
const DEFICIT_TOLERANCE: f64 = 0.1;
/// The factor for a model without a replica, whose requests are not served at all.
const UNSERVED_FACTOR: f64 = 3.0;
/// The value of a replica of a model without one that is not asked for.
const IDLE_VALUE: f64 = 0.02;
/// The loss from the last replica of a model that is idle and may have to be loaded again.
const LAST_REPLICA_LOSS: f64 = 0.1;
/// The loss for each slot in use, which selects the least used among replicas that are not needed.
pub(super) const SLOT_LOSS: f64 = 0.02;
/// The value at or below which a further replica of a model is not worth an unload, in urgent requests.
const MIN_GAIN: f64 = 2.0;
/// The same where memory is free.
pub(super) const MIN_FREE_GAIN: f64 = 0.1;
/// The ratio of gain to loss above which a replica takes the place of another one. It keeps two models of nearly the same
/// demand from replacing each other.
const GAIN_RATIO: f64 = 1.3;
/// The time for which a replica stays. It is twice the time within which reports, views and statuses show its effect.
const MIN_RESIDENCY: time::Duration = time::Duration::from_secs(3);
/// The slots up to which requests in progress need not find room elsewhere.
const NEGLIGIBLE_SLOTS: f64 = 0.5;
/// The duration of an unload without requests in progress.
pub(super) const UNLOAD_TIME: time::Duration = time::Duration::from_millis(50);
/// The preference for an idle engine over one whose slots are all in use, in urgent requests.
const UTILIZATION_COST: f64 = 0.1;
/// The preference for the shorter of two loads of the same value, in urgent requests a second.
const LOAD_TIME_COST: f64 = 0.01;

/// A load that is considered.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) engine: usize,
    /// The models that make way, the first of them first; none where memory is free.
    pub(super) evicted: [Option<usize>; 2],
    /// The urgent requests that the replica serves within the horizon.
    pub(super) gain: f64,
    /// The urgent requests that the replica that makes way would serve and no other one can.
    pub(super) loss: f64,
    /// The time until the replica serves requests.
    pub(super) delay: time::Duration,
    /// What candidates are compared by.
    score: f64,
}

impl Candidate {
    /// Returns a load in the place of a replica that is not needed.
    pub(super) const fn in_place_of(self, evicted: usize, loss: f64) -> Self {
        Self {
            evicted: [Some(evicted), None],
            loss,
            ..self
        }
    }

    /// Returns a load that takes no other replica's place.
    pub(super) const fn in_free_memory(engine: usize, delay: time::Duration, gain: f64) -> Self {
        Self {
            engine,
            evicted: [None, None],
            gain,
            loss: 0.0,
            delay,
            score: gain,
        }
    }
}

/// Returns the value of a replica with `room` slots for the model that serves requests after `delay`.
pub(super) fn gain(model: &model::Model<'_>, room: f64, delay: time::Duration) -> f64 {
    let slot_time = model.estimate.slot_time;
    let carried = model.deficit().min(room);
    let served_time = HORIZON.saturating_sub(delay).as_secs_f64();
    let served = worth(model, model.deficit(), model.shortage(), room);
    let arrivals = served / slot_time * model.estimate.urgency * served_time;
    let staying = model.waiting_after(delay);
    // Replicas that have room for more than the arrivals also serve those that wait.
    let drained = (model.room - model.offered).max(0.0) / slot_time * delay.as_secs_f64();
    let left = (staying.requests - drained).max(0.0);
    let taken = left.min((room - carried) * (1.0 / slot_time).max(1.0));
    let waiting = if staying.requests > 0.0 {
        staying.urgency * taken / staying.requests
    } else {
        0.0
    };
    let value = arrivals + waiting;
    if let Some(ready_in) = model.ready_in() {
        // A load that is in progress may end later, as when an engine comes back with the weights on its disk.
        let lead = ready_in.saturating_sub(delay).as_secs_f64();
        let meanwhile = model.offered.min(room) / slot_time * model.estimate.urgency * lead;
        return value + meanwhile;
    }
    let idle = if model.base.is_reclaimable {
        0.0
    } else {
        IDLE_VALUE
    };
    value * UNSERVED_FACTOR + idle
}

/// Returns what `room` slots are worth to a model that lacks `deficit` slots to the target utilization, of which `shortage`
/// to the highest one.
fn worth(model: &model::Model<'_>, deficit: f64, shortage: f64, room: f64) -> f64 {
    let tolerated = MIN_DEFICIT + model.offered * DEFICIT_TOLERANCE;
    let shortage = shortage.min(room);
    let comfort = (deficit - tolerated).min(room) - shortage;
    shortage + comfort.max(0.0) * COMFORT_VALUE
}

/// Returns the loss from the unload of `model` at an engine for `replacement`, or none if it may not be unloaded.
pub(super) fn loss(
    board: &board::Board<'_>,
    planner: &plan::Planner<'_>,
    engine: usize,
    model: usize,
    replacement: &model::Model<'_>,
) -> Option<f64> {
    let model = &board.models[model];
    let holder = model.holders.iter().find(|h| h.engine == engine)?;
    let loaded_at = holder.loaded_at?;
    if model.base.waiting > 0 || !has_stayed(planner, loaded_at) {
        return None;
    }
    if !model.is_served_beside(engine) {
        let may_evict = model.base.is_reclaimable && replacement.is_asked_for();
        return may_evict.then_some(LAST_REPLICA_LOSS);
    }
    let is_urgent = replacement.holders.is_empty() && replacement.base.waiting > 0;
    if !is_urgent && !planner.is_demand_observed() {
        return None;
    }
    let others = model.holders.iter().filter(|h| h.engine != engine);
    let others = others.filter(|h| h.loaded_at.is_some());
    let spare: f64 = others.map(|h| board.engines[h.engine].spare()).sum();
    if holder.share > NEGLIGIBLE_SLOTS.max(spare) {
        return None;
    }
    let place = &board.engines[engine];
    let room = model.room - place.room(holder.share);
    let max_room = model.max_room - place.spare() - holder.share;
    let deficit = (model.offered - room).max(0.0) - model.deficit();
    let shortage = (model.offered - max_room).max(0.0) - model.shortage();
    let lacking = worth(model, deficit, shortage, f64::INFINITY);
    let estimate = &model.estimate;
    let unserved = lacking / estimate.slot_time * estimate.urgency * HORIZON.as_secs_f64();
    Some(unserved + SLOT_LOSS * holder.share)
}

/// Returns whether a replica has stayed for the minimum residency. Those that were there when the coordinator was elected
/// have, because their age is not known.
fn has_stayed(planner: &plan::Planner<'_>, loaded_at: clock::Instant) -> bool {
    let residency = planner.state.options.min_residency.max(MIN_RESIDENCY);
    let is_older_than_term = planner.state.elected_at.is_some_and(|at| loaded_at <= at);
    is_older_than_term || planner.now.since(loaded_at) >= residency
}

/// Returns the best load of a model, if one is worthwhile.
pub(super) fn best_candidate(
    board: &board::Board<'_>,
    planner: &plan::Planner<'_>,
    model: usize,
) -> Option<Candidate> {
    let candidates = (0..board.engines.len())
        .filter_map(|engine| best_candidate_at(board, planner, model, engine));
    candidates.max_by(|one, other| one.score.total_cmp(&other.score))
}

/// Returns the best load of a model at one engine, if one is worthwhile.
pub(super) fn best_candidate_at(
    board: &board::Board<'_>,
    planner: &plan::Planner<'_>,
    model: usize,
    number: usize,
) -> Option<Candidate> {
    let engine = &board.engines[number];
    let is_allowed = board.store_loads > 0 || !board.source(number, model).from_store;
    if !engine.is_available || !is_allowed || engine.models.contains(&model) {
        return None;
    }
    let weights = |model: usize| board.models[model].base.spec.weights_mb;
    let missing = weights(model) - engine.free_mb;
    let evaluate = |evicted| candidate(board, planner, model, number, evicted);
    if missing <= 0.0 {
        return evaluate([None, None]);
    }
    let held = || engine.models.iter().copied();
    let single = held().filter(|one| weights(*one) >= missing);
    let best = |one: &Candidate, other: &Candidate| one.score.total_cmp(&other.score);
    let single = single
        .filter_map(|one| evaluate([Some(one), None]))
        .max_by(best);
    if single.is_some() {
        return single;
    }
    // Weights of different sizes may leave no single model whose memory is enough.
    let pairs = held().flat_map(|one| {
        held()
            .filter(move |other| one < *other)
            .map(move |other| (one, other))
    });
    let pairs = pairs.filter(|(one, other)| {
        weights(*one).max(weights(*other)) < missing && weights(*one) + weights(*other) >= missing
    });
    pairs
        .filter_map(|(one, other)| evaluate([Some(one), Some(other)]))
        .max_by(best)
}

fn candidate(
    board: &board::Board<'_>,
    planner: &plan::Planner<'_>,
    model: usize,
    number: usize,
    evicted: [Option<usize>; 2],
) -> Option<Candidate> {
    let (wanted, engine) = (&board.models[model], &board.engines[number]);
    let mut delay = board.source(number, model).time;
    let mut freed = 0.0;
    let mut cost = 0.0;
    for evicted in evicted.into_iter().flatten() {
        cost += loss(board, planner, number, evicted, wanted)?;
        let share = board.share(number, evicted)?;
        freed += share;
        // The requests in progress end before the weights are unloaded.
        let slot_time = board.models[evicted].estimate.slot_time;
        delay += UNLOAD_TIME + time::Duration::from_secs_f64(slot_time * share.clamp(0.0, 1.0));
    }
    // A model without a replica is served at a full engine too, rather than not at all.
    let mut room = engine.room(freed);
    if wanted.holders.is_empty() {
        room = room.max(1.0);
    }
    let gain = gain(wanted, room, delay);
    let is_worthwhile = match (wanted.holders.is_empty(), evicted[0]) {
        (true, None) => gain > 0.0,
        (true, Some(_)) => gain > cost,
        (false, None) => gain > MIN_FREE_GAIN,
        (false, Some(_)) => gain > MIN_GAIN && gain > cost * GAIN_RATIO,
    };
    let utilization = (engine.load - freed) / engine.slots.max(1.0);
    let score = gain - cost - UTILIZATION_COST * utilization - LOAD_TIME_COST * delay.as_secs_f64();
    is_worthwhile.then_some(Candidate {
        engine: number,
        evicted,
        gain,
        loss: cost,
        delay,
        score,
    })
}
