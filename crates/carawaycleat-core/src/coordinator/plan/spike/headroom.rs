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
        let busy = board.engines.iter().filter(|e| !e.is_available).count();
        let mut store_loads = (board.engines.len() / 2).saturating_sub(busy);
        let from_store: Vec<_> = (0..board.models.len())
            .filter(|model| board.models[*model].used_room() >= STORE_FILL_UTILIZATION)
            .collect();
        for number in 0..board.engines.len() {
            let engine = &board.engines[number];
            if placements.len() >= max {
                return;
            }
            if !engine.is_available {
                continue;
            }
            let is_useful = |model: &usize, min_used: f64| {
                let wanted = &board.models[*model];
                wanted.is_asked_for()
                    && engine.free_mb >= wanted.base.spec.weights_mb
                    && !engine.models.contains(model)
                    && wanted.used_room() >= min_used
            };
            let min_used = if engine.models.is_empty() {
                0.0
            } else {
                CACHED_FILL_UTILIZATION
            };
            let used = |model: &usize| board.models[*model].used_room();
            let by_use = |one: &usize, other: &usize| used(one).total_cmp(&used(other));
            let cached = engine.cached.iter().map(|(model, _)| *model);
            let cached = cached.filter(|model| is_useful(model, min_used));
            let best = cached.max_by(by_use).or_else(|| {
                let models = from_store.iter().copied();
                let models = models.filter(|model| is_useful(model, STORE_FILL_UTILIZATION));
                let may_use_store = store_loads > 0 && self.has_spare_store_loads(board);
                models.max_by(by_use).filter(|_| may_use_store)
            });
            let Some(model) = best else {
                continue;
            };
            let source = board.source(number, model);
            let candidate = value::Candidate::in_free_memory(number, source.time, used(&model));
            store_loads -= usize::from(source.from_store);
            placements.push(self.place(board, model, candidate));
        }
    }

    /// Returns whether the weight store allows half of its loads still.
    fn has_spare_store_loads(&self, board: &board::Board<'_>) -> bool {
        let allowed = self.spec.loads_per_second * self.state.options.load_window.as_secs_f64();
        board.store_loads as f64 > allowed / 2.0
    }

    /// Gives the places of replicas that are not needed to models with much more demand for each replica, at few engines at the
    /// same time.
    pub(super) fn balance(
        &self,
        board: &mut board::Board<'_>,
        max: usize,
        placements: &mut Vec<Placement>,
    ) {
        let busy = board.engines.iter().filter(|e| !e.is_available).count();
        let changes = board.engines.len().div_ceil(BALANCED_DIVISOR);
        let mut changes = changes.saturating_sub(busy);
        let wanting: Vec<_> = (0..board.models.len())
            .filter(|model| board.models[*model].used_room() >= BALANCED_UTILIZATION)
            .collect();
        for number in 0..board.engines.len() {
            if changes == 0 || placements.len() >= max {
                return;
            }
            if !board.engines[number].is_available {
                continue;
            }
            let may_use_store = self.has_spare_store_loads(board);
            let slots = |model: &usize| board.models[*model].slots_per_replica(0);
            let wanting = wanting.iter().copied().filter(|model| {
                !board.engines[number].models.contains(model)
                    && slots(model) >= MIN_BALANCED_SLOTS
                    && (may_use_store || !board.source(number, *model).from_store)
            });
            let most = wanting.max_by(|one, other| slots(one).total_cmp(&slots(other)));
            let Some(model) = most else {
                continue;
            };
            let Some((unneeded, loss)) = self.unneeded_replica(board, number, model) else {
                continue;
            };
            let time = board.source(number, model).time;
            let candidate = value::Candidate::in_free_memory(number, time, slots(&model))
                .in_place_of(unneeded, loss);
            changes -= 1;
            placements.push(self.place(board, model, candidate));
        }
    }

    /// Returns the model whose replica at an engine is needed least, if `model` may take its place, and the loss from that.
    fn unneeded_replica(
        &self,
        board: &board::Board<'_>,
        number: usize,
        model: usize,
    ) -> Option<(usize, f64)> {
        let (engine, wanted) = (&board.engines[number], &board.models[model]);
        let unneeded = engine.models.iter().filter_map(|held| {
            let other = &board.models[*held];
            let fits = engine.free_mb + other.base.spec.weights_mb >= wanted.base.spec.weights_mb;
            let slots = other.slots_per_replica(1) * BALANCE_RATIO;
            if !fits || slots > wanted.slots_per_replica(0) || !other.is_served_beside(number) {
                return None;
            }
            let loss = value::loss(board, self, number, *held, wanted)?;
            (loss <= value::SLOT_LOSS * engine.slots).then_some((*held, loss))
        });
        unneeded.min_by(|(_, one), (_, other)| one.total_cmp(other))
    }
}
