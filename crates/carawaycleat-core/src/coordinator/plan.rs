//! Decides which engine should load or unload which weights.

mod adapter;
mod spike;

use std::collections;
use std::time;

use super::engine;
use super::order;
use super::reducer;
use crate::clock;
use crate::name;
use crate::relay;

/// An operation on one engine that brings the placement closer to the demand.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Step {
    pub(super) engine: name::Name,
    pub(super) operation: order::Operation,
    pub(super) model: name::Name,
    pub(super) adapter: Option<name::Name>,
    /// The model for which another one is unloaded, to be loaded next.
    pub(super) replacement: Option<name::Name>,
    /// The expected time until the operation is complete.
    pub(super) duration: time::Duration,
    /// Whether it is a load from the weight store.
    pub(super) from_store: bool,
}

/// The demand per replica of a model, relative to the average, at or above which another model is evicted for it.
const EVICTION_DEMAND_RATIO: f64 = 1.3;
/// The demand per replica of a model, relative to the average, at or above which it gets another replica where memory
/// is free.
const REPLICA_DEMAND_RATIO: f64 = 0.7;
/// The lowest capacity of an engine that limits its requests, relative to one without a limit.
const MIN_CAPACITY: f64 = 0.05;
/// The capacity from which an engine gets further replicas, relative to an engine without a limit on requests.
const REPLICA_CAPACITY: f64 = 0.5;
/// The fraction of slots in use up to which an engine gets further replicas while other engines limit their requests.
const MAX_REPLICA_UTILIZATION: f64 = 0.8;
/// The time since the last request after which an adapter may be evicted for another one.
const ADAPTER_IDLE_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// The longest load from the weight store for which replicas follow spikes of demand. Callers of urgent streams wait 2 s, so
/// that a slower load serves none of those for whom it is begun, while its engine serves fewer meanwhile.
const MAX_SPIKE_LOAD_TIME: time::Duration = time::Duration::from_millis(2_200);
/// The fraction of slots in use from which no replica of a model is evicted, where load is measured by work.
const PROTECTED_UTILIZATION: f64 = 0.7;

/// The demand for a model and its placement.
#[derive(Clone, Debug)]
struct Model<'a> {
    name: &'a name::Name,
    spec: &'a relay::Model,
    /// The requested tokens per second.
    demand: f64,
    /// The number of requests that wait for it.
    waiting: u32,
    /// Whether its last replica may be evicted: it has had no requests for the idle timeout, and an engine has its
    /// weights in host memory or on disk.
    is_reclaimable: bool,
    /// The fraction of slots in use on the engines that hold it.
    utilization: f64,
    /// The number of engines that hold or load it.
    replicas: usize,
    /// The sum of the capacities of these engines, relative to an engine without a limit on requests.
    capacity: f64,
}

impl Model<'_> {
    /// Returns the demand per replica at engines without a limit on requests, in tokens per second.
    fn demand_per_replica(&self) -> f64 {
        match self.replicas {
            0 => self.demand,
            _ => self.demand / self.capacity,
        }
    }

    /// Returns the demand per replica without a replica at an engine of the given capacity, or infinity when none would
    /// remain.
    fn demand_per_replica_after_eviction(&self, capacity: f64) -> f64 {
        match self.replicas {
            0 | 1 => f64::INFINITY,
            _ => self.demand / (self.capacity - capacity).max(MIN_CAPACITY),
        }
    }
}

/// The state of one service from which the next steps are chosen.
#[derive(Debug)]
pub(super) struct Planner<'a> {
    now: clock::Instant,
    state: &'a reducer::Reducer,
    service: &'a name::Name,
    spec: &'a relay::EngineSpec,
    /// The engines of the service that take new work.
    engines: Vec<&'a engine::Engine>,
    /// The average time for which a request occupies an engine with a limit on requests, in seconds; none without
    /// requests at such engines.
    limited_service_time: Option<f64>,
    models: collections::BTreeMap<&'a name::Name, Model<'a>>,
}

impl<'a> Planner<'a> {
    pub(super) fn new(
        now: clock::Instant,
        state: &'a reducer::Reducer,
        service: &'a name::Name,
        spec: &'a relay::EngineSpec,
    ) -> Self {
        let engines = state.engines.values().filter(|engine| {
            engine.registration.service == *service
                && engine.registration.state == relay::State::Ready
                && !state.is_evacuated(engine)
        });
        let mut planner = Self {
            now,
            state,
            service,
            spec,
            engines: engines.collect(),
            limited_service_time: None,
            models: collections::BTreeMap::new(),
        };
        planner.limited_service_time = planner.measure_service_time();
        planner.models = planner.collect_models();
        planner
    }

    /// Returns the value of [`Self::limited_service_time`].
    fn measure_service_time(&self) -> Option<f64> {
        let limited = self.engines.iter().filter_map(|engine| {
            let (_, sent) = self.state.limits.rates(&engine.registration.id)?;
            Some((f64::from(engine.requests), sent))
        });
        let (requests, sent) = limited.fold((0.0, 0.0), |sum, engine| {
            (sum.0 + engine.0, sum.1 + engine.1)
        });
        (sent > 0.0).then(|| requests / sent)
    }

    /// Returns the capacity of an engine relative to one without a limit on requests: the fraction of its slots that
    /// the requests within its limit occupy.
    fn capacity(&self, engine: &engine::Engine) -> f64 {
        let rates = self.state.limits.rates(&engine.registration.id);
        let (Some((rate, _)), Some(service_time)) = (rates, self.limited_service_time) else {
            return 1.0;
        };
        (rate * service_time / f64::from(self.spec.slots.max(1))).clamp(MIN_CAPACITY, 1.0)
    }

    /// Returns whether a further replica at an engine would get requests. Where some engines limit their requests, the
    /// others fill up, and a replica at a full one only takes slots from the models that it holds.
    fn has_capacity(&self, engine: &engine::Engine) -> bool {
        let used = f64::from(engine.requests) / f64::from(self.spec.slots.max(1));
        self.limited_service_time.is_none()
            || (self.capacity(engine) >= REPLICA_CAPACITY && used < MAX_REPLICA_UTILIZATION)
    }

    /// Returns the demand and placement of each model, from one pass over the engines.
    fn collect_models(&self) -> collections::BTreeMap<&'a name::Name, Model<'a>> {
        let waiting = self.state.waiting_by_model(self.now, self.service);
        let mut cached = collections::HashSet::new();
        let mut holders = collections::HashMap::<&name::Name, (usize, u32, f64)>::new();
        for engine in &self.engines {
            cached.extend(engine.in_memory.iter().chain(&engine.on_disk));
            if self.state.is_suspect(&engine.registration.id) {
                continue;
            }
            let engine_capacity = self.capacity(engine);
            for model in engine.served_models() {
                let (replicas, requests, capacity) = holders.entry(model).or_default();
                *replicas += 1;
                *requests = requests.saturating_add(engine.requests);
                *capacity += engine_capacity;
            }
        }
        let model = |(name, spec): (&'a name::Name, &'a relay::Model)| {
            let key = (self.service.clone(), name.clone());
            let waiting = waiting.get(name).copied().unwrap_or(0);
            let (replicas, requests, capacity) = holders.get(name).copied().unwrap_or_default();
            let capacity = if replicas == 0 { 1.0 } else { capacity };
            let slots = f64::from(self.spec.slots.max(1)) * capacity;
            let model = Model {
                name,
                spec,
                demand: self.state.model_demand.rate(self.now, &key),
                waiting,
                is_reclaimable: waiting == 0 && cached.contains(name) && self.is_idle(&key),
                utilization: f64::from(requests) / slots,
                replicas,
                capacity,
            };
            (name, model)
        };
        self.spec.models.iter().map(model).collect()
    }

    /// Returns whether a model has had no requests for the idle timeout.
    fn is_idle(&self, key: &(name::Name, name::Name)) -> bool {
        let observed = self.state.demand_since.unwrap_or(self.now);
        let last = self.state.model_demand.last_added(key).unwrap_or(observed);
        self.now.since(last.max(observed)) >= self.idle_timeout()
    }

    /// Returns the time without requests after which the last replica of a model may be evicted. It is the time in
    /// which the weight store allows a fixed number of loads, within bounds.
    fn idle_timeout(&self) -> time::Duration {
        let options = &self.state.options;
        let (min, max) = (*options.idle_timeout.start(), *options.idle_timeout.end());
        let seconds =
            options.loads_per_idle_timeout / self.spec.loads_per_second.max(f64::MIN_POSITIVE);
        let seconds = seconds.clamp(min.as_secs_f64(), max.as_secs_f64());
        time::Duration::from_secs_f64(seconds)
    }

    fn engines(&self) -> impl Iterator<Item = &'a engine::Engine> {
        self.engines.iter().copied()
    }

    /// Returns a summary for the log: the models with demand or without replicas, as words of the form
    /// `name=replicas/demand/waiting`.
    pub(super) fn summary(&self) -> String {
        let listed = self
            .models
            .values()
            .filter(|model| model.demand >= 1.0 || model.waiting > 0 || model.replicas == 0);
        let words = listed.map(|model| {
            let (replicas, demand, waiting) = (model.replicas, model.demand, model.waiting);
            format!("{}={replicas}/{demand:.0}/{waiting}", model.name)
        });
        words.collect::<Vec<_>>().join(" ")
    }

    /// Returns the load of a replacement whose memory has been freed, if there is one.
    fn replacement_step(&self) -> Option<Step> {
        self.engines().find_map(|engine| {
            let model = self.models.get(engine.replacement.as_ref()?)?;
            let fits = engine.free_mb(self.spec) >= model.spec.weights_mb;
            let step = self.load_step(engine, model);
            let allowed = !step.from_store
                || self
                    .state
                    .may_load_from_store(self.now, self.spec.loads_per_second);
            (engine.accepts_orders(self.now) && fits && allowed).then_some(step)
        })
    }

    /// Returns a load for an engine that holds no model, as after a restart, of weights that it has in host memory or
    /// on disk. A load from the weight store would leave the engine without work for several times as long.
    fn refill_step(&self) -> Option<Step> {
        let mut empty = self.engines().filter(|engine| {
            engine.models.is_empty()
                && engine.replacement.is_none()
                && engine.accepts_orders(self.now)
                && !self.state.is_suspect(&engine.registration.id)
        });
        empty.find_map(|engine| {
            let cached = engine.in_memory.iter().chain(&engine.on_disk);
            let model = cached
                .filter_map(|name| self.models.get(name))
                .filter(|model| model.demand > 0.0 || model.waiting > 0)
                .filter(|model| engine.free_mb(self.spec) >= model.spec.weights_mb)
                .max_by(|one, other| {
                    one.demand_per_replica()
                        .total_cmp(&other.demand_per_replica())
                })?;
            Some(self.load_step(engine, model))
        })
    }

    /// Returns the load of a model at an engine that has enough free memory for it.
    fn load_step(&self, engine: &engine::Engine, model: &Model<'_>) -> Step {
        let (duration, from_store) = engine.load_time(model.name, model.spec);
        Step {
            engine: engine.registration.id.clone(),
            operation: order::Operation::Load,
            model: model.name.clone(),
            adapter: None,
            replacement: None,
            duration,
            from_store,
        }
    }

    /// Returns whether replicas follow spikes of demand, so that [`Self::placements`] decides in place of
    /// [`Self::model_step`].
    pub(super) fn follows_spikes(state: &reducer::Reducer, spec: &relay::EngineSpec) -> bool {
        let load_times = spec.models.values().map(|model| model.store_load_time);
        state.options.follows_spikes
            && spec.balancing == relay::Balancing::Work
            && load_times
                .max()
                .is_some_and(|longest| longest <= MAX_SPIKE_LOAD_TIME)
    }

    /// Returns whether a replica of a model is kept because its requests need it.
    fn is_protected(&self, model: &Model<'_>) -> bool {
        self.spec.balancing == relay::Balancing::Work
            && (model.waiting > 0 || model.utilization >= PROTECTED_UTILIZATION)
    }

    /// Returns the next step for a model, if one is worthwhile. Services whose replicas follow spikes get theirs from
    /// [`Self::placements`].
    pub(super) fn model_step(&self) -> Option<Step> {
        if Self::follows_spikes(self.state, self.spec) {
            return None;
        }
        if let Some(step) = self.replacement_step().or_else(|| self.refill_step()) {
            return Some(step);
        }
        let held = self.models.values().filter(|model| model.replicas > 0);
        let capacity: f64 = held.map(|model| model.capacity).sum();
        let demand: f64 = self.models.values().map(|model| model.demand).sum();
        let average = demand / capacity.max(1.0);
        let mut candidates: Vec<_> = self.models.values().collect();
        // Models without a replica come first, those with waiting requests before the others, then models by descending
        // demand per replica.
        candidates.sort_by(|one, other| {
            let rank = |model: &Model<'_>| {
                (
                    model.replicas == 0,
                    model.replicas == 0 && model.waiting > 0,
                )
            };
            rank(other).cmp(&rank(one)).then(
                other
                    .demand_per_replica()
                    .total_cmp(&one.demand_per_replica()),
            )
        });
        candidates
            .into_iter()
            .filter(|model| {
                let has_high_demand = self.is_demand_observed()
                    && model.demand > 0.0
                    && model.demand_per_replica() >= average * REPLICA_DEMAND_RATIO;
                let is_missing = model.replicas == 0 && !model.is_reclaimable;
                is_missing || (has_high_demand && self.state.options.rebalances)
            })
            .find_map(|model| self.add_replica(model, average))
    }

    /// Returns whether demand has been observed for long enough to distinguish models in high demand. The first
    /// requests say little about it, and an engine that loads weights takes no other order for seconds.
    fn is_demand_observed(&self) -> bool {
        let since = self.state.demand_since;
        since.is_some_and(|since| self.now.since(since) >= self.state.options.observation_period)
    }

    /// Returns a step towards another replica of a model: its load where memory is free, or else the unload of a model
    /// that it replaces.
    fn add_replica(&self, model: &Model<'_>, average: f64) -> Option<Step> {
        let available: Vec<_> = self
            .engines()
            .filter(|engine| {
                engine.accepts_orders(self.now)
                    && engine
                        .replacement
                        .as_ref()
                        .is_none_or(|next| next == model.name)
                    && !engine.models.contains_key(model.name)
                    && (model.replicas == 0 || self.has_capacity(engine))
                    && !self.state.is_suspect(&engine.registration.id)
            })
            .collect();
        let may_load_from_store = self
            .state
            .may_load_from_store(self.now, self.spec.loads_per_second);
        let load = |engine: &engine::Engine| engine.load_time(model.name, model.spec);
        let allowed = |engine: &engine::Engine| may_load_from_store || !load(engine).1;
        let with_free_memory = available
            .iter()
            .filter(|engine| engine.free_mb(self.spec) >= model.spec.weights_mb && allowed(engine))
            .min_by_key(|engine| (load(engine).0, engine.requests));
        if let Some(engine) = with_free_memory {
            return Some(self.load_step(engine, model));
        }
        let justifies_eviction = self.is_demand_observed()
            && model.demand_per_replica() >= average * EVICTION_DEMAND_RATIO
            && model.utilization >= self.state.options.loaded_utilization;
        if model.replicas > 0 && !justifies_eviction {
            return None;
        }
        available
            .iter()
            .filter(|engine| allowed(engine))
            .filter_map(|engine| {
                let evicted = self.eviction_candidate(engine, model)?;
                Some((engine, evicted))
            })
            .min_by(|(one, a), (other, b)| {
                // A load of 3 s costs as much as an engine whose slots are all in use.
                let cost = |engine: &engine::Engine, evicted: &Model<'_>| {
                    let demand_ratio =
                        self.eviction_cost(engine, evicted) / model.demand_per_replica().max(1.0);
                    let utilization =
                        f64::from(engine.requests) / f64::from(self.spec.slots.max(1));
                    demand_ratio + load(engine).0.as_secs_f64() / 3.0 + utilization
                };
                cost(one, a).total_cmp(&cost(other, b))
            })
            .map(|(engine, evicted)| Step {
                engine: engine.registration.id.clone(),
                operation: order::Operation::Unload,
                model: evicted.name.clone(),
                adapter: None,
                replacement: Some(model.name.clone()),
                duration: time::Duration::from_millis(50),
                from_store: false,
            })
    }

    /// Returns the model with the lowest eviction cost that an engine may evict for `replacement`, if there is one.
    fn eviction_candidate(
        &self,
        engine: &engine::Engine,
        replacement: &Model<'_>,
    ) -> Option<&Model<'a>> {
        let options = &self.state.options;
        let free_mb = engine.free_mb(self.spec);
        engine
            .models
            .iter()
            .filter(|(_, replica)| self.now.since(replica.loaded_at) >= options.min_residency)
            .filter_map(|(name, _)| self.models.get(name))
            .filter(|model| !self.is_protected(model))
            .filter(|model| {
                let fits = free_mb + model.spec.weights_mb >= replacement.spec.weights_mb;
                // A last replica is evicted only when it is reclaimable, for a model without a replica that requests
                // wait for, or for one whose engines are saturated.
                let is_worthwhile = match (replacement.replicas, model.replicas) {
                    (0, 1) => model.is_reclaimable && replacement.waiting > 0,
                    (_, 1) => {
                        model.is_reclaimable
                            && replacement.utilization >= options.saturated_utilization
                    }
                    (0, _) => true,
                    _ => {
                        self.eviction_cost(engine, model)
                            <= replacement.demand_per_replica() * options.max_evicted_demand_ratio
                    }
                };
                fits && is_worthwhile
            })
            .min_by(|one, other| {
                self.eviction_cost(engine, one)
                    .total_cmp(&self.eviction_cost(engine, other))
            })
    }

    /// Returns the demand per replica of a model after its replica at `engine` is evicted, or 0 when its last replica
    /// may be evicted.
    fn eviction_cost(&self, engine: &engine::Engine, model: &Model<'_>) -> f64 {
        if model.is_reclaimable {
            return 0.0;
        }
        model.demand_per_replica_after_eviction(self.capacity(engine))
    }

    /// Returns the next step for an adapter that requests wait for, if one is needed.
    pub(super) fn adapter_step(&self) -> Option<Step> {
        let awaited = self.state.awaited_adapters(self.now, self.service);
        awaited
            .iter()
            .find_map(|(model, adapter)| self.place_adapter(model, adapter))
    }

    /// Returns a step towards a replica of an adapter, unless an engine holds or loads it already: its load where an
    /// adapter slot is free, or else the unload of an idle adapter.
    fn place_adapter(&self, model: &name::Name, adapter: &name::Name) -> Option<Step> {
        let key = (model.clone(), adapter.clone());
        let spec = self.spec.models.get(model)?;
        let holders: Vec<_> = self
            .engines()
            .filter(|engine| {
                engine.models.contains_key(model)
                    && engine.unloading() != Some(model)
                    && !self.state.is_suspect(&engine.registration.id)
            })
            .collect();
        let is_placed = holders.iter().any(|engine| {
            engine.adapters.contains_key(&key)
                || engine.loading_adapters.contains_key(&key)
                || engine.adapter_orders.iter().any(|pending| {
                    pending.order.model == *model && pending.order.adapter.as_ref() == Some(adapter)
                })
        });
        if is_placed || spec.adapter_mb <= 0.0 {
            return None;
        }
        let available: Vec<_> = holders
            .into_iter()
            .filter(|engine| engine.accepts_orders(self.now))
            .collect();
        let with_free_slot = available
            .iter()
            .filter(|engine| {
                let used = engine.adapters.len() + engine.loading_adapters.len();
                used < self.spec.adapter_slots
                    && engine.loading_adapters.len() < engine::MAX_LOADING_ADAPTERS
            })
            // Numbers of adapters are compared in steps of three; within a step, the requests in progress decide.
            .min_by_key(|engine| (engine.adapters.len() / 3, engine.requests));
        if let Some(engine) = with_free_slot {
            return Some(Step {
                engine: engine.registration.id.clone(),
                operation: order::Operation::Load,
                model: model.clone(),
                adapter: Some(adapter.clone()),
                replacement: None,
                duration: time::Duration::from_millis(10),
                from_store: false,
            });
        }
        let (engine, (model, adapter)) = self.idle_adapter(&available)?;
        Some(Step {
            engine: engine.registration.id.clone(),
            operation: order::Operation::Unload,
            model: model.clone(),
            adapter: Some(adapter.clone()),
            replacement: None,
            duration: time::Duration::ZERO,
            from_store: false,
        })
    }

    /// Returns the least recently used adapter on the engines that have no free adapter slot, if it is idle.
    fn idle_adapter(
        &self,
        engines: &[&'a engine::Engine],
    ) -> Option<(&'a engine::Engine, &'a (name::Name, name::Name))> {
        let last = |(model, adapter): &(name::Name, name::Name)| {
            let key = (self.service.clone(), model.clone(), adapter.clone());
            self.state
                .adapter_demand
                .last_added(&key)
                .unwrap_or_default()
        };
        engines
            .iter()
            .filter(|engine| {
                engine.adapters.len() + engine.loading_adapters.len() >= self.spec.adapter_slots
            })
            .flat_map(|engine| {
                engine
                    .adapters
                    .iter()
                    .map(|(key, used_at)| (*engine, key, *used_at))
            })
            .map(|(engine, key, used_at)| (engine, key, used_at.max(last(key))))
            .filter(|(_, _, used_at)| self.now.since(*used_at) >= ADAPTER_IDLE_TIMEOUT)
            .min_by_key(|(_, _, used_at)| *used_at)
            .map(|(engine, key, _)| (engine, key))
    }
}

/// The number of requests that wait for each model.
pub(super) type Waiting = collections::HashMap<name::Name, u32>;
