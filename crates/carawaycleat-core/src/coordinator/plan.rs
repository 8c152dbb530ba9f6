//! Which engine should get or give up which weights.

mod adapter;

use std::collections;
use std::time;

use super::engine;
use super::order;
use super::reducer;
use crate::clock;
use crate::name;
use crate::relay;

/// A step that brings the placement closer to the demand.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Step {
    pub(super) engine: name::Name,
    pub(super) operation: order::Operation,
    pub(super) model: name::Name,
    pub(super) adapter: Option<name::Name>,
    /// The model that takes the place of one that is unloaded.
    pub(super) successor: Option<name::Name>,
    /// The time until its effect.
    pub(super) time: time::Duration,
    /// Whether it is a load from the weight store.
    pub(super) from_store: bool,
}

/// The pressure of a model above the average that justifies moving another model away.
const MOVE_PRESSURE: f64 = 1.3;
/// The pressure of a model, relative to the average, that justifies another copy where there is room.
const COPY_PRESSURE: f64 = 0.7;
/// The time since the last request after which an adapter may make way for another one.
const ADAPTER_IDLE: time::Duration = time::Duration::from_millis(700);

/// A model as the plan sees it.
#[derive(Clone, Debug)]
struct Model<'a> {
    name: &'a name::Name,
    spec: &'a relay::Model,
    demand: f64,
    waiting: u32,
    /// Whether nothing has asked for it for some time and a copy of its weights is close to an engine.
    is_spare: bool,
    /// The part of the slots in use on the engines that hold it.
    load: f64,
    /// The engines that hold it or load it.
    copies: usize,
}

impl Model<'_> {
    /// Returns the demand that each copy carries.
    fn pressure(&self) -> f64 {
        self.demand / self.copies.max(1) as f64
    }

    /// Returns the demand of each copy after one has gone.
    fn pressure_without(&self) -> f64 {
        match self.copies {
            0 | 1 => f64::INFINITY,
            copies => self.demand / (copies - 1) as f64,
        }
    }
}

/// The state of one service that a plan is made for.
#[derive(Debug)]
pub(super) struct Plan<'a> {
    now: clock::Instant,
    state: &'a reducer::Reducer,
    service: &'a name::Name,
    spec: &'a relay::EngineSpec,
    /// The engines of the service that take orders.
    engines: Vec<&'a engine::Engine>,
    models: collections::BTreeMap<&'a name::Name, Model<'a>>,
}

impl<'a> Plan<'a> {
    pub(super) fn new(
        now: clock::Instant,
        state: &'a reducer::Reducer,
        service: &'a name::Name,
        spec: &'a relay::EngineSpec,
    ) -> Self {
        let engines = state.engines.values().filter(|engine| {
            engine.sighting.service == *service && engine.sighting.state == relay::State::Ready
        });
        let mut plan = Self {
            now,
            state,
            service,
            spec,
            engines: engines.collect(),
            models: collections::BTreeMap::new(),
        };
        plan.models = plan.survey();
        plan
    }

    /// Returns what is known of each model, from one pass over the engines.
    fn survey(&self) -> collections::BTreeMap<&'a name::Name, Model<'a>> {
        let waiting = self.state.waiting_for_models(self.now, self.service);
        let mut at_hand = collections::HashSet::new();
        let mut holders = collections::HashMap::<&name::Name, (usize, u32)>::new();
        for engine in &self.engines {
            at_hand.extend(engine.in_memory.iter().chain(&engine.on_disk));
            if self.state.is_suspect(&engine.sighting.id) {
                continue;
            }
            for model in engine.serves() {
                let (copies, running) = holders.entry(model).or_default();
                *copies += 1;
                *running += engine.running;
            }
        }
        let model = |(name, spec): (&'a name::Name, &'a relay::Model)| {
            let key = (self.service.clone(), name.clone());
            let waiting = waiting.get(name).copied().unwrap_or(0);
            let (copies, running) = holders.get(name).copied().unwrap_or_default();
            let slots = f64::from(self.spec.slots.max(1)) * copies.max(1) as f64;
            let model = Model {
                name,
                spec,
                demand: self.state.models.rate(self.now, &key),
                waiting,
                is_spare: waiting == 0 && at_hand.contains(name) && self.is_idle(&key),
                load: f64::from(running) / slots,
                copies,
            };
            (name, model)
        };
        self.spec.models.iter().map(model).collect()
    }

    /// Returns whether a model has not been asked for lately.
    fn is_idle(&self, key: &(name::Name, name::Name)) -> bool {
        let observed = self.state.asked.unwrap_or(self.now);
        let last = self.state.models.last_added(key).unwrap_or(observed);
        self.now.since(last.max(observed)) >= self.idle_time()
    }

    /// Returns the time without requests after which a model may make way.
    fn idle_time(&self) -> time::Duration {
        let options = &self.state.options;
        let (least, most) = (*options.idle_timeout.start(), *options.idle_timeout.end());
        let seconds =
            options.loads_per_idle_timeout / self.spec.loads_per_second.max(f64::MIN_POSITIVE);
        let seconds = seconds.clamp(least.as_secs_f64(), most.as_secs_f64());
        time::Duration::from_secs_f64(seconds)
    }

    fn engines(&self) -> impl Iterator<Item = &'a engine::Engine> {
        self.engines.iter().copied()
    }

    /// Returns the models that are asked for as `name=copies/demand/waiting` words.
    pub(super) fn summary(&self) -> String {
        let asked = self
            .models
            .values()
            .filter(|model| model.demand >= 1.0 || model.waiting > 0 || model.copies == 0);
        let words = asked.map(|model| {
            let (copies, demand, waiting) = (model.copies, model.demand, model.waiting);
            format!("{}={copies}/{demand:.0}/{waiting}", model.name)
        });
        words.collect::<Vec<_>>().join(" ")
    }

    /// Returns the load of a model whose place has been freed, if there is one.
    fn successor_step(&self) -> Option<Step> {
        self.engines().find_map(|engine| {
            let model = self.models.get(engine.successor.as_ref()?)?;
            let fits = engine.free_mb(self.spec) >= model.spec.weights_mb;
            let step = self.load(engine, model);
            let allowed =
                !step.from_store || self.state.loads_left(self.now, self.spec.loads_per_second);
            (engine.is_free(self.now) && fits && allowed).then_some(step)
        })
    }

    /// Returns a load for an engine that holds nothing, as after a restart, of weights that are close to it. A load
    /// from the weight store would leave the engine without work for several times as long.
    fn refill_step(&self) -> Option<Step> {
        let mut empty = self.engines().filter(|engine| {
            engine.models.is_empty()
                && engine.successor.is_none()
                && engine.is_free(self.now)
                && !self.state.is_suspect(&engine.sighting.id)
        });
        empty.find_map(|engine| {
            let close = engine.in_memory.iter().chain(&engine.on_disk);
            let model = close
                .filter_map(|name| self.models.get(name))
                .filter(|model| model.demand > 0.0 || model.waiting > 0)
                .filter(|model| engine.free_mb(self.spec) >= model.spec.weights_mb)
                .max_by(|one, other| one.pressure().total_cmp(&other.pressure()))?;
            Some(self.load(engine, model))
        })
    }

    /// Returns the load of a model at an engine that has room for it.
    fn load(&self, engine: &engine::Engine, model: &Model<'_>) -> Step {
        let (time, from_store) = engine.load_time(model.name, model.spec);
        Step {
            engine: engine.sighting.id.clone(),
            operation: order::Operation::Load,
            model: model.name.clone(),
            adapter: None,
            successor: None,
            time,
            from_store,
        }
    }

    /// Returns the next step for models, if one is worth it.
    pub(super) fn model_step(&self) -> Option<Step> {
        if let Some(step) = self.successor_step().or_else(|| self.refill_step()) {
            return Some(step);
        }
        let places: usize = self.models.values().map(|model| model.copies).sum();
        let demand: f64 = self.models.values().map(|model| model.demand).sum();
        let average = demand / places.max(1) as f64;
        let mut receivers: Vec<_> = self.models.values().collect();
        receivers.sort_by(|one, other| {
            let rank =
                |model: &Model<'_>| (model.copies == 0, model.copies == 0 && model.waiting > 0);
            rank(other)
                .cmp(&rank(one))
                .then(other.pressure().total_cmp(&one.pressure()))
        });
        receivers
            .into_iter()
            .filter(|model| {
                let busy = self.is_observed()
                    && model.demand > 0.0
                    && model.pressure() >= average * COPY_PRESSURE;
                let lost = model.copies == 0 && !model.is_spare;
                lost || (busy && self.state.options.rebalances)
            })
            .find_map(|model| self.add_copy(model, average))
    }

    /// Returns whether demand has been observed for long enough to tell busy models from others. The first requests
    /// say little, and an engine that loads weights takes no other order for seconds.
    fn is_observed(&self) -> bool {
        let asked = self.state.asked;
        asked.is_some_and(|asked| self.now.since(asked) >= self.state.options.observation_period)
    }

    fn add_copy(&self, model: &Model<'_>, average: f64) -> Option<Step> {
        let free: Vec<_> = self
            .engines()
            .filter(|engine| {
                engine.is_free(self.now)
                    && engine
                        .successor
                        .as_ref()
                        .is_none_or(|next| next == model.name)
                    && !engine.models.contains_key(model.name)
                    && !self.state.is_suspect(&engine.sighting.id)
            })
            .collect();
        let loads_left = self.state.loads_left(self.now, self.spec.loads_per_second);
        let load = |engine: &engine::Engine| engine.load_time(model.name, model.spec);
        let allowed = |engine: &engine::Engine| loads_left || !load(engine).1;
        let with_room = free
            .iter()
            .filter(|engine| engine.free_mb(self.spec) >= model.spec.weights_mb && allowed(engine))
            .min_by_key(|engine| (load(engine).0, engine.running));
        if let Some(engine) = with_room {
            return Some(self.load(engine, model));
        }
        let pressed = self.is_observed()
            && model.pressure() >= average * MOVE_PRESSURE
            && model.load >= self.state.options.loaded_utilization;
        if model.copies > 0 && !pressed {
            return None;
        }
        free.iter()
            .filter(|engine| allowed(engine))
            .filter_map(|engine| {
                let donor = self.donor(engine, model)?;
                Some((engine, donor))
            })
            .min_by(|(one, a), (other, b)| {
                let cost = |engine: &engine::Engine, donor: &Model<'_>| {
                    let share = self.price(donor) / model.pressure().max(1.0);
                    let busy = f64::from(engine.running) / f64::from(self.spec.slots.max(1));
                    share + load(engine).0.as_secs_f64() / 3.0 + busy
                };
                cost(one, a).total_cmp(&cost(other, b))
            })
            .map(|(engine, donor)| Step {
                engine: engine.sighting.id.clone(),
                operation: order::Operation::Unload,
                model: donor.name.clone(),
                adapter: None,
                successor: Some(model.name.clone()),
                time: time::Duration::from_millis(50),
                from_store: false,
            })
    }

    /// Returns the model that an engine can give up for `receiver`.
    fn donor(&self, engine: &engine::Engine, receiver: &Model<'_>) -> Option<&Model<'a>> {
        let options = &self.state.options;
        let room = engine.free_mb(self.spec);
        engine
            .models
            .iter()
            .filter(|(_, held)| self.now.since(held.since) >= options.min_residency)
            .filter_map(|(name, _)| self.models.get(name))
            .filter(|model| {
                let enough = room + model.spec.weights_mb >= receiver.spec.weights_mb;
                let worth = match (receiver.copies, model.copies) {
                    (0, 1) => model.is_spare && receiver.waiting > 0,
                    (_, 1) => model.is_spare && receiver.load >= options.saturated_utilization,
                    (0, _) => true,
                    _ => self.price(model) <= receiver.pressure() * options.eviction_pressure_ratio,
                };
                enough && worth
            })
            .min_by(|one, other| self.price(one).total_cmp(&self.price(other)))
    }

    /// Returns the demand that each copy of a model carries after one has gone.
    fn price(&self, model: &Model<'_>) -> f64 {
        if model.is_spare {
            return 0.0;
        }
        model.pressure_without()
    }

    /// Returns the next step for adapters, if one is needed.
    pub(super) fn adapter_step(&self) -> Option<Step> {
        let wanted = self.state.waiting_for_adapters(self.now, self.service);
        wanted
            .iter()
            .find_map(|(model, adapter)| self.place_adapter(model, adapter))
    }

    fn place_adapter(&self, model: &name::Name, adapter: &name::Name) -> Option<Step> {
        let key = (model.clone(), adapter.clone());
        let spec = self.spec.models.get(model)?;
        let holders: Vec<_> = self
            .engines()
            .filter(|engine| {
                engine.models.contains_key(model)
                    && engine.unloading() != Some(model)
                    && !self.state.is_suspect(&engine.sighting.id)
            })
            .collect();
        let is_placed = holders.iter().any(|engine| {
            engine.adapters.contains_key(&key)
                || engine.coming.contains_key(&key)
                || engine.adapter_orders.iter().any(|open| {
                    open.order.model == *model && open.order.adapter.as_ref() == Some(adapter)
                })
        });
        if is_placed || spec.adapter_mb <= 0.0 {
            return None;
        }
        let ready: Vec<_> = holders
            .into_iter()
            .filter(|engine| engine.is_free(self.now))
            .collect();
        let with_room = ready
            .iter()
            .filter(|engine| {
                let used = engine.adapters.len() + engine.coming.len();
                used < self.spec.adapter_slots && engine.coming.len() < engine::MAX_COMING
            })
            .min_by_key(|engine| (engine.adapters.len() / 3, engine.running));
        if let Some(engine) = with_room {
            return Some(Step {
                engine: engine.sighting.id.clone(),
                operation: order::Operation::Load,
                model: model.clone(),
                adapter: Some(adapter.clone()),
                successor: None,
                time: time::Duration::from_millis(10),
                from_store: false,
            });
        }
        let (engine, (model, adapter)) = self.idle_adapter(&ready)?;
        Some(Step {
            engine: engine.sighting.id.clone(),
            operation: order::Operation::Unload,
            model: model.clone(),
            adapter: Some(adapter.clone()),
            successor: None,
            time: time::Duration::ZERO,
            from_store: false,
        })
    }

    /// Returns the adapter that was asked for least recently, on the engines that have no place left.
    fn idle_adapter(
        &self,
        engines: &[&'a engine::Engine],
    ) -> Option<(&'a engine::Engine, &'a (name::Name, name::Name))> {
        let last = |(model, adapter): &(name::Name, name::Name)| {
            let key = (self.service.clone(), model.clone(), adapter.clone());
            self.state.adapters.last_added(&key).unwrap_or_default()
        };
        engines
            .iter()
            .filter(|engine| engine.adapters.len() + engine.coming.len() >= self.spec.adapter_slots)
            .flat_map(|engine| engine.adapters.iter().map(|(key, at)| (*engine, key, *at)))
            .map(|(engine, key, at)| (engine, key, at.max(last(key))))
            .filter(|(_, _, used)| self.now.since(*used) >= ADAPTER_IDLE)
            .min_by_key(|(_, _, used)| *used)
            .map(|(engine, key, _)| (engine, key))
    }
}

/// The requests that wait for each model.
pub(super) type Waiting = collections::HashMap<name::Name, u32>;
