//! Chooses the replicas of a service that is balanced by work: each load is valued by the requests that it serves before
//! their callers leave.

mod board;
mod headroom;
mod model;
mod value;

use std::collections;
use std::time;

use super::Planner;
use super::Step;
use crate::coordinator::order;
use crate::timeline;

/// The part of the room of a model's replicas in use from which it still gets the one that memory was freed for. Demand that
/// varies does not make an unload useless.
const MIN_USED_ROOM: f64 = 0.5;
/// The time added to that of a load when the values of models are compared. An order and its confirmation take as long.
const ORDER_TIME: time::Duration = time::Duration::from_millis(300);

/// A step towards the replicas that demand calls for, and the decision for the log.
#[derive(Clone, Debug)]
pub(in crate::coordinator) struct Placement {
    pub(in crate::coordinator) step: Step,
    pub(in crate::coordinator) decision: timeline::Decision,
}

/// A model in the order of the values of its next replica.
#[derive(Clone, Copy, Debug)]
struct Ranked {
    value: f64,
    model: usize,
}

impl Ord for Ranked {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        let by_value = self.value.total_cmp(&other.value);
        by_value.then(other.model.cmp(&self.model))
    }
}

impl PartialOrd for Ranked {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Ranked {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Ranked {}

impl Planner<'_> {
    /// Returns the steps that the replicas of all models need now, at most `max` of them and one for each engine. Each takes
    /// the ones before it into account.
    pub(in crate::coordinator) fn placements(&self, max: usize) -> Vec<Placement> {
        let may_order = |engine: &&super::engine::Engine| engine.accepts_orders(self.now);
        if !self.engines.iter().any(may_order) {
            return Vec::new();
        }
        let mut board = board::Board::new(self);
        let mut placements = Vec::new();
        self.replace(&mut board, max, &mut placements);
        // Each model is considered once, and again after each replica that it gets.
        let mut ranked: collections::BinaryHeap<_> = (0..board.models.len())
            .filter_map(|model| self.rank(&board, model))
            .collect();
        while let Some(next) = ranked.pop() {
            if placements.len() >= max {
                return placements;
            }
            // Engines that were available when the model was ranked may have got other models since.
            match self.rank(&board, next.model) {
                Some(current) if current.value < next.value => {
                    ranked.push(current);
                    continue;
                }
                Some(_) => {}
                None => continue,
            }
            let Some(candidate) = value::best_candidate(&board, self, next.model) else {
                continue;
            };
            placements.push(self.place(&mut board, next.model, candidate));
            ranked.extend(self.rank(&board, next.model));
        }
        if self.state.options.rebalances && self.is_demand_observed() {
            self.fill(&mut board, max, &mut placements);
            self.balance(&mut board, max, &mut placements);
        }
        placements
    }

    /// Loads the models for which memory has been freed, as long as they are of use and the weight store allows it. The
    /// engines of the others are available for any model.
    fn replace(&self, board: &mut board::Board<'_>, max: usize, placements: &mut Vec<Placement>) {
        for number in 0..board.engines.len() {
            let engine = &board.engines[number];
            let Some(model) = engine.replacement.filter(|_| engine.is_available) else {
                continue;
            };
            let source = board.source(number, model);
            if source.from_store {
                // The load has been counted already.
                board.store_loads += 1;
            }
            board.remove_replica(number, model);
            let (wanted, engine) = (&board.models[model], &board.engines[number]);
            let room = engine.room(0.0).max(1.0);
            let gain = value::gain(wanted, room, source.time);
            let is_useful =
                gain > value::MIN_FREE_GAIN || wanted.offered > wanted.room * MIN_USED_ROOM;
            let is_allowed = board.store_loads > 0 || !source.from_store;
            if !is_useful || !is_allowed || placements.len() >= max {
                continue;
            }
            let candidate = if engine.free_mb >= wanted.base.spec.weights_mb {
                Some(value::Candidate::in_free_memory(number, source.time, gain))
            } else {
                value::best_candidate_at(board, self, model, number)
            };
            if let Some(candidate) = candidate {
                placements.push(self.place(board, model, candidate));
            }
        }
    }

    /// Applies a load to the board and returns its first step: the load itself, or the unload of the model that makes way.
    fn place(
        &self,
        board: &mut board::Board<'_>,
        model: usize,
        candidate: value::Candidate,
    ) -> Placement {
        let (wanted, engine) = (&board.models[model], &board.engines[candidate.engine]);
        let id = engine.engine.registration.id.clone();
        let source = board.source(candidate.engine, model);
        let evicted = candidate.evicted[0].map(|model| &board.models[model]);
        let decision = timeline::Decision::new("replicas")
            .with_subject(id.clone())
            .with("model", wanted.base.name)
            .with_some("evicted", evicted.map(|model| model.base.name))
            .with("replicas", wanted.holders.len() as u64)
            .with("offered", format!("{:.2}", wanted.offered))
            .with("room", format!("{:.2}", wanted.room))
            .with("waiting", wanted.base.waiting)
            .with("arrivals", format!("{:.2}", wanted.estimate.arrivals))
            .with("slot_time", format!("{:.3}", wanted.estimate.slot_time))
            .with("urgency", format!("{:.2}", wanted.estimate.urgency))
            .with("gain", format!("{:.2}", candidate.gain))
            .with("loss", format!("{:.2}", candidate.loss))
            .with("delay_ms", timeline::Value::millis(candidate.delay))
            .with("from_store", source.from_store)
            .with("engine_load", format!("{:.1}", engine.load));
        let name = wanted.base.name.clone();
        let step = match evicted {
            None => Step {
                engine: id,
                operation: order::Operation::Load,
                model: name,
                adapter: None,
                replacement: None,
                duration: source.time,
                from_store: source.from_store,
            },
            Some(evicted) => Step {
                engine: id,
                operation: order::Operation::Unload,
                model: evicted.base.name.clone(),
                adapter: None,
                replacement: Some(name),
                duration: value::UNLOAD_TIME,
                from_store: false,
            },
        };
        if source.from_store {
            board.store_loads -= 1;
        }
        for evicted in candidate.evicted.into_iter().flatten() {
            board.remove_replica(candidate.engine, evicted);
        }
        board.add_replica(candidate.engine, model, candidate.delay);
        Placement { step, decision }
    }

    /// Returns the rank of the next replica of a model at an idle engine, none if it has no value.
    fn rank(&self, board: &board::Board<'_>, model: usize) -> Option<Ranked> {
        let wanted = &board.models[model];
        if !wanted.holders.is_empty() && !self.state.options.rebalances {
            return None;
        }
        let delay = wanted.shortest_load();
        let room = f64::from(self.spec.slots) * board::TARGET_UTILIZATION;
        let gain = value::gain(wanted, room, delay);
        let value = gain / (delay + ORDER_TIME).as_secs_f64();
        (value > 0.0).then_some(Ranked { value, model })
    }
}
