//! Chooses adapters that engines load before requests wait for them.

use std::collections;
use std::time;

use crate::coordinator::engine;
use crate::coordinator::order;
use crate::name;

/// The adapter slots that an engine keeps free for adapters that requests wait for.
const RESERVED_SLOTS: usize = 1;
/// The demand in tokens per second and replica from which an adapter gets another replica.
const REPLICA_RATE: f64 = 200.0;
/// The expected time of an adapter's load.
const LOAD_TIME: time::Duration = time::Duration::from_millis(10);

/// A model and an adapter for it.
type Key<'a> = (&'a name::Name, &'a name::Name);

impl super::Planner<'_> {
    /// Returns at most one load for each engine that has a slot to spare. Adapters that no engine holds come first,
    /// then further replicas of those in highest demand.
    pub(in crate::coordinator) fn preload_steps(&self) -> Vec<super::Step> {
        let mut replicas = collections::HashMap::<Key<'_>, usize>::new();
        for engine in &self.engines {
            for (model, adapter) in engine.adapters.keys().chain(engine.loading_adapters.keys()) {
                *replicas.entry((model, adapter)).or_default() += 1;
            }
        }
        let mut engines: Vec<_> = self
            .engines()
            .filter(|engine| {
                let used = engine.adapters.len() + engine.loading_adapters.len();
                engine.accepts_orders(self.now)
                    && engine.replacement.is_none()
                    && used + RESERVED_SLOTS < self.spec.adapter_slots
                    && engine.loading_adapters.len() < engine::MAX_LOADING_ADAPTERS
                    && !self.state.is_suspect(&engine.registration.id)
            })
            .collect();
        engines.sort_by_key(|engine| engine.adapters.len());
        let mut steps = Vec::new();
        for engine in engines {
            let Some(key) = self.adapter_to_preload(engine, &replicas) else {
                continue;
            };
            *replicas.entry(key).or_default() += 1;
            steps.push(super::Step {
                engine: engine.registration.id.clone(),
                operation: order::Operation::Load,
                model: key.0.clone(),
                adapter: Some(key.1.clone()),
                replacement: None,
                duration: LOAD_TIME,
                from_store: false,
            });
        }
        steps
    }

    /// Returns the adapter that an engine should load next, if any.
    fn adapter_to_preload<'a>(
        &'a self,
        engine: &engine::Engine,
        replicas: &collections::HashMap<Key<'a>, usize>,
    ) -> Option<Key<'a>> {
        let is_held = |(model, adapter): &Key<'_>| {
            let key = ((*model).clone(), (*adapter).clone());
            engine.adapters.contains_key(&key) || engine.loading_adapters.contains_key(&key)
        };
        let models = self.spec.models.iter();
        models
            .filter(|(name, spec)| engine.models.contains_key(*name) && spec.adapter_mb > 0.0)
            .flat_map(|(name, spec)| spec.adapters.iter().map(move |adapter| (name, adapter)))
            .filter(|key| !is_held(key))
            .filter_map(|key| {
                let replicas = replicas.get(&key).copied().unwrap_or(0);
                let (model, adapter) = key;
                let key_with_service = (self.service.clone(), model.clone(), adapter.clone());
                let rate = self.state.adapter_demand.rate(self.now, &key_with_service)
                    / (replicas + 1) as f64;
                (replicas == 0 || rate >= REPLICA_RATE).then_some((replicas == 0, rate, key))
            })
            .max_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)))
            .map(|(_, _, key)| key)
    }
}
