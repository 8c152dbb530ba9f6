use std::collections;
use std::time;

use super::model;
use crate::coordinator::engine;
use crate::coordinator::plan;
use crate::name;
use crate::relay::traffic::MAX_URGENCY;

/// The utilization up to which replicas carry the requests of their models. Above it, arrivals that come together fill the
/// slots of an engine and wait.
pub(super) const TARGET_UTILIZATION: f64 = 0.5;
/// The utilization up to which other replicas can take the requests in progress at one that is unloaded.
const MAX_UTILIZATION: f64 = 0.95;
/// The part of the requests that an engine reports that counts as its load where more are reported than estimated. The
/// report is of one moment, and includes the queue.
const MEASURED_WEIGHT: f64 = 0.7;
/// The passes over the models in which their load is distributed among engines.
const ALLOCATION_PASSES: usize = 4;
/// The slots below which a replica is not worth distributing load to.
const MIN_SHARE: f64 = 0.05;
/// The class of waiting requests whose host does not report their patience: up to 3 s.
const DEFAULT_CLASS: usize = 2;

/// Where an engine loads weights from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Source {
    pub(super) time: time::Duration,
    pub(super) from_store: bool,
}

/// An engine and its expected load.
#[derive(Debug)]
pub(super) struct Engine<'a> {
    pub(super) engine: &'a engine::Engine,
    /// The slots that requests may occupy.
    pub(super) slots: f64,
    /// The slots that its requests are expected to occupy.
    pub(super) load: f64,
    pub(super) free_mb: f64,
    /// Whether it takes an order and further replicas.
    pub(super) is_available: bool,
    /// The model that is to be loaded into memory that has been freed for it, by index.
    pub(super) replacement: Option<usize>,
    /// The models that it holds or loads, by index.
    pub(super) models: Vec<usize>,
    /// The models whose weights are in host memory or on disk, by index, and the times of their loads.
    pub(super) cached: Vec<(usize, time::Duration)>,
}

impl Engine<'_> {
    /// Returns the slots up to the target utilization that other load than `own` leaves.
    pub(super) fn room(&self, own: f64) -> f64 {
        (self.slots * TARGET_UTILIZATION - (self.load - own).max(0.0)).max(0.0)
    }

    /// Returns the slots that are not in use.
    pub(super) fn spare(&self) -> f64 {
        (self.slots * MAX_UTILIZATION - self.load).max(0.0)
    }
}

/// The engines and models of a service, with the steps of the current decision applied.
#[derive(Debug)]
pub(super) struct Board<'a> {
    pub(super) engines: Vec<Engine<'a>>,
    pub(super) models: Vec<model::Model<'a>>,
    /// The loads from the weight store that may still begin, less those that unloads in progress are for.
    pub(super) store_loads: i64,
}

impl<'a> Board<'a> {
    pub(super) fn new(planner: &'a plan::Planner<'a>) -> Self {
        let index: collections::HashMap<&name::Name, usize> =
            planner.models.keys().copied().zip(0..).collect();
        let mut board = Self {
            engines: Vec::with_capacity(planner.engines.len()),
            models: planner
                .models
                .values()
                .map(|base| model::Model::new(planner, base))
                .collect(),
            store_loads: planner
                .state
                .available_store_loads(planner.spec.loads_per_second),
        };
        for demand in planner.state.recent_demands(planner.now, planner.service) {
            let Some(model) = index.get(&demand.model).filter(|_| demand.waiting > 0) else {
                continue;
            };
            let waiting = &mut board.models[*model].waiting;
            if demand.traffic.waiting.is_empty() {
                waiting[DEFAULT_CLASS].requests += f64::from(demand.waiting);
                waiting[DEFAULT_CLASS].urgency += f64::from(demand.waiting) / 2.0;
            }
            for (class, (requests, urgency)) in waiting.iter_mut().zip(&demand.traffic.waiting) {
                class.requests += f64::from(*requests);
                class.urgency += *urgency as f64 / f64::from(MAX_URGENCY);
            }
        }
        for engine in &planner.engines {
            board.add_engine(planner, engine, &index);
        }
        board.allocate();
        board.count_measured_requests();
        for model in 0..board.models.len() {
            board.update_room(model);
        }
        board
    }

    fn add_engine(
        &mut self,
        planner: &plan::Planner<'_>,
        engine: &'a engine::Engine,
        index: &collections::HashMap<&name::Name, usize>,
    ) {
        let number = self.engines.len();
        let is_suspect = planner.state.is_suspect(&engine.registration.id);
        let accepts_orders = engine.accepts_orders(planner.now);
        let mut models = Vec::new();
        for name in engine.served_models() {
            let Some(model) = index.get(name).copied() else {
                continue;
            };
            let loaded_at = engine.models.get(name).map(|replica| replica.loaded_at);
            if let Some(next) = engine.replacement.as_ref().filter(|next| *next == name)
                && loaded_at.is_none()
                && engine.load_time(next, self.models[model].base.spec).1
            {
                self.store_loads -= 1;
            }
            models.push(model);
            if !is_suspect {
                let spec = self.models[model].base.spec;
                let ready_in = match engine.loading() {
                    _ if loaded_at.is_some() => time::Duration::ZERO,
                    Some((loading, ready_at)) if loading == name => ready_at.since(planner.now),
                    _ => engine.load_time(name, spec).0,
                };
                let holder = model::Holder {
                    engine: number,
                    share: 0.0,
                    loaded_at,
                    ready_in,
                };
                self.models[model].holders.push(holder);
            }
        }
        let is_available = accepts_orders && !is_suspect;
        let mut cached: Vec<(usize, time::Duration)> = Vec::new();
        for (names, in_memory) in [(&engine.in_memory, true), (&engine.on_disk, false)] {
            for number in names.iter().filter_map(|name| index.get(name).copied()) {
                if cached.iter().any(|(model, _)| *model == number) {
                    continue;
                }
                let model = &mut self.models[number];
                let (time, engines) = if in_memory {
                    let spec = model.base.spec;
                    (spec.memory_load_time, &mut model.cached_engines.0)
                } else {
                    let spec = model.base.spec;
                    (spec.disk_load_time, &mut model.cached_engines.1)
                };
                *engines += u32::from(is_available);
                cached.push((number, time));
            }
        }
        self.engines.push(Engine {
            engine,
            slots: f64::from(engine.slots(planner.spec)) * planner.capacity(engine),
            load: 0.0,
            free_mb: engine.free_mb(planner.spec),
            is_available,
            replacement: engine
                .replacement
                .as_ref()
                .and_then(|name| index.get(name).copied())
                .filter(|_| accepts_orders),
            models,
            cached,
        });
    }

    /// Distributes the offered load of each model among its replicas, in proportion to the room that the other models leave
    /// there.
    fn allocate(&mut self) {
        let Self {
            engines, models, ..
        } = self;
        for model in models.iter_mut() {
            let count = model.holders.len().max(1) as f64;
            for holder in &mut model.holders {
                holder.share = model.offered / count;
                engines[holder.engine].load += holder.share;
            }
        }
        for _ in 0..ALLOCATION_PASSES {
            for model in models.iter_mut().filter(|model| model.holders.len() > 1) {
                let room = |holder: &model::Holder| {
                    let engine: &Engine<'_> = &engines[holder.engine];
                    engine.room(holder.share).max(MIN_SHARE)
                };
                let rooms: Vec<_> = model.holders.iter().map(room).collect();
                let total: f64 = rooms.iter().sum();
                for (holder, room) in model.holders.iter_mut().zip(rooms) {
                    let share = model.offered * room / total;
                    engines[holder.engine].load += share - holder.share;
                    holder.share = share;
                }
            }
        }
    }

    /// Raises the load of engines that report more requests than estimated, as for a coordinator that has just begun, and
    /// that of the models that they hold with it.
    fn count_measured_requests(&mut self) {
        for (number, engine) in self.engines.iter_mut().enumerate() {
            let measured = f64::from(engine.engine.requests) * MEASURED_WEIGHT;
            if measured <= engine.load {
                continue;
            }
            let load = engine.load;
            let held = engine.models.len().max(1) as f64;
            engine.load = measured;
            for model in &engine.models {
                let model = &mut self.models[*model];
                for holder in model.holders.iter_mut().filter(|h| h.engine == number) {
                    holder.share = if load > MIN_SHARE {
                        holder.share * measured / load
                    } else {
                        measured / held
                    };
                }
            }
        }
        for model in &mut self.models {
            let shares: f64 = model.holders.iter().map(|holder| holder.share).sum();
            model.offered = model.offered.max(shares);
        }
    }

    /// Returns where an engine loads a model from.
    pub(super) fn source(&self, engine: usize, model: usize) -> Source {
        let mut cached = self.engines[engine].cached.iter();
        match cached.find(|(cached, _)| *cached == model) {
            Some((_, time)) => Source {
                time: *time,
                from_store: false,
            },
            None => Source {
                time: self.models[model].base.spec.store_load_time,
                from_store: true,
            },
        }
    }

    /// Computes the room of a model anew after a change of its replicas or of the load of their engines.
    pub(super) fn update_room(&mut self, model: usize) {
        let engines = &self.engines;
        let room = |holder: &model::Holder| engines[holder.engine].room(holder.share);
        let max_room = |holder: &model::Holder| engines[holder.engine].spare() + holder.share;
        let holders = &self.models[model].holders;
        let (room, max_room) = (
            holders.iter().map(room).sum(),
            holders.iter().map(max_room).sum(),
        );
        self.models[model].room = room;
        self.models[model].max_room = max_room;
    }

    /// Adds a replica of `model` that serves requests after `ready_in`.
    pub(super) fn add_replica(&mut self, engine: usize, model: usize, ready_in: time::Duration) {
        let wanted = self.models[model].deficit() + self.models[model].backlog();
        let target = &mut self.engines[engine];
        let share = target.room(0.0).min(wanted);
        target.is_available = false;
        for (cached, time) in &target.cached {
            let model = &mut self.models[*cached];
            let engines = if *time == model.base.spec.memory_load_time {
                &mut model.cached_engines.0
            } else {
                &mut model.cached_engines.1
            };
            *engines = engines.saturating_sub(1);
        }
        target.load += share;
        target.free_mb -= self.models[model].base.spec.weights_mb;
        target.models.push(model);
        self.models[model].holders.push(model::Holder {
            engine,
            share,
            loaded_at: None,
            ready_in,
        });
        for model in self.engines[engine].models.clone() {
            self.update_room(model);
        }
    }

    /// Removes the replica of `model` from an engine and gives its load to the others.
    pub(super) fn remove_replica(&mut self, engine: usize, model: usize) {
        let Some(share) = self.share(engine, model) else {
            return;
        };
        let target = &mut self.engines[engine];
        target.models.retain(|held| *held != model);
        target.load -= share;
        if target
            .engine
            .models
            .contains_key(self.models[model].base.name)
        {
            target.free_mb += self.models[model].base.spec.weights_mb;
        }
        let holders = &mut self.models[model].holders;
        holders.retain(|holder| holder.engine != engine);
        let part = share / holders.len().max(1) as f64;
        for holder in holders {
            holder.share += part;
            self.engines[holder.engine].load += part;
        }
        self.update_room(model);
    }

    /// Returns the slots that the requests of a model are expected to occupy at an engine that holds it.
    pub(super) fn share(&self, engine: usize, model: usize) -> Option<f64> {
        let mut holders = self.models[model].holders.iter();
        let holder = holders.find(|holder| holder.engine == engine)?;
        Some(holder.share)
    }
}
