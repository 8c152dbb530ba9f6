//! Replicas beyond those that demand calls for, which are there before demand rises.

use super::Placement;
use super::board;
use super::value;
use crate::coordinator::plan;

/// The part of the room of a model's replicas in use from which it gets another one in free memory from the weight store.
const STORE_FILL_UTILIZATION: f64 = 0.7;
/// The part in use from which it gets one from the engine's disk or host memory.
const CACHED_FILL_UTILIZATION: f64 = 0.1;
/// The ratio of the slots for each replica, from which a model with more of them gets the place of a replica of one with
/// less. Well above one, so that replicas do not alternate.
const BALANCE_RATIO: f64 = 2.5;
/// The slots for each replica from which a model gets another one in this way.
const MIN_BALANCED_SLOTS: f64 = 3.0;
/// The part of the room of a model's replicas in use from which it gets another one in this way.
const BALANCED_UTILIZATION: f64 = 0.7;
/// One in this many engines may be changed at the same time while replicas are balanced.
const BALANCED_DIVISOR: usize = 16;

impl plan::Planner<'_> {
    /// Uses free memory for further replicas. Loads from the weight store leave half of the engines and of the loads that the
    /// store allows for models that lack capacity.
    pub(super) fn fill(
        &self,
        board: &mut board::Board<'_>,
        max: usize,
        placements: &mut Vec<Placement>,
    ) {
        let allowed = self.spec.loads_per_second * self.state.options.load_window.as_secs_f64();
        let busy = board.engines.iter().filter(|e| !e.is_available).count();
        let mut store_loads = (board.engines.len() / 2).saturating_sub(busy);
        for number in 0..board.engines.len() {
            if placements.len() >= max {
                return;
            }
            let engine = &board.engines[number];
            if !engine.is_available {
                continue;
            }
            let may_use_store = store_loads > 0 && board.store_loads as f64 > allowed / 2.0;
            let utilization =
                |model: &board::Model<'_>| model.offered / model.room.max(f64::MIN_POSITIVE);
            let models = board.models.iter().enumerate();
            let useful = models.filter(|(model, wanted)| {
                let source = engine.sources[*model];
                let min_utilization = match (source.from_store, engine.models.is_empty()) {
                    (true, _) => STORE_FILL_UTILIZATION,
                    (false, false) => CACHED_FILL_UTILIZATION,
                    (false, true) => 0.0,
                };
                wanted.is_asked_for()
                    && engine.free_mb >= wanted.base.spec.weights_mb
                    && !engine.models.contains(model)
                    && (may_use_store || !source.from_store)
                    && utilization(wanted) >= min_utilization
            });
            let is_cached = |model: &usize| !engine.sources[*model].from_store;
            let best = useful.max_by(|(one, a), (other, b)| {
                let by_source = is_cached(one).cmp(&is_cached(other));
                by_source.then(utilization(a).total_cmp(&utilization(b)))
            });
            let Some((model, wanted)) = best else {
                continue;
            };
            let source = engine.sources[model];
            let candidate =
                value::Candidate::in_free_memory(number, source.time, utilization(wanted));
            store_loads -= usize::from(source.from_store);
            placements.push(self.place(board, model, candidate));
        }
    }

    /// Gives the places of replicas that are not needed to models with much more demand for each replica, at few engines at the
    /// same time.
    pub(super) fn balance(
        &self,
        board: &mut board::Board<'_>,
        max: usize,
        placements: &mut Vec<Placement>,
    ) {
        let allowed = self.spec.loads_per_second * self.state.options.load_window.as_secs_f64();
        let busy = board.engines.iter().filter(|e| !e.is_available).count();
        let mut changes = board
            .engines
            .len()
            .div_ceil(BALANCED_DIVISOR)
            .saturating_sub(busy);
        for number in 0..board.engines.len() {
            if changes == 0 || placements.len() >= max {
                return;
            }
            let engine = &board.engines[number];
            if !engine.is_available {
                continue;
            }
            let may_use_store = board.store_loads as f64 > allowed / 2.0;
            let per_replica =
                |model: &board::Model<'_>, replicas: usize| model.offered / replicas.max(1) as f64;
            let models = board.models.iter().enumerate();
            let wanting = models.filter(|(model, wanted)| {
                !engine.models.contains(model)
                    && (may_use_store || !engine.sources[*model].from_store)
                    && per_replica(wanted, wanted.holders.len()) >= MIN_BALANCED_SLOTS
                    && wanted.offered >= wanted.room * BALANCED_UTILIZATION
            });
            let most = wanting.max_by(|(_, one), (_, other)| {
                let slots = |model: &board::Model<'_>| per_replica(model, model.holders.len());
                slots(one).total_cmp(&slots(other))
            });
            let Some((model, wanted)) = most else {
                continue;
            };
            let slots = per_replica(wanted, wanted.holders.len());
            let unneeded = engine.models.iter().filter_map(|held| {
                let other = &board.models[*held];
                let fits =
                    engine.free_mb + other.base.spec.weights_mb >= wanted.base.spec.weights_mb;
                let after = per_replica(other, other.holders.len().saturating_sub(1));
                if !fits || after * BALANCE_RATIO > slots || !other.is_served_beside(number) {
                    return None;
                }
                let loss = value::loss(board, self, number, *held, wanted)?;
                (loss <= value::SLOT_LOSS * engine.slots).then_some((*held, loss))
            });
            let Some((held, loss)) = unneeded.min_by(|(_, one), (_, other)| one.total_cmp(other))
            else {
                continue;
            };
            let candidate =
                value::Candidate::in_free_memory(number, engine.sources[model].time, slots)
                    .in_place_of(held, loss);
            changes -= 1;
            placements.push(self.place(board, model, candidate));
        }
    }
}
