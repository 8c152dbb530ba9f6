//! Which adapters engines hold before requests wait for them.

use std::collections;
use std::time;

use crate::coordinator::engine;
use crate::coordinator::order;
use crate::name;

/// The places for adapters that an engine keeps free for those that requests wait for.
const KEPT_PLACES: usize = 1;
/// The tokens a second for each copy from which an adapter is worth another one.
const COPY_RATE: f64 = 200.0;
/// The time that an adapter takes.
const LOAD_TIME: time::Duration = time::Duration::from_millis(10);

/// A model and an adapter on top of it.
type Key<'a> = (&'a name::Name, &'a name::Name);

impl super::Plan<'_> {
    /// Returns an adapter for each engine that has a place for one: first those that no engine holds, then copies of
    /// those that are asked for most.
    pub(in crate::coordinator) fn spare_adapters(&self) -> Vec<super::Step> {
        let mut copies = collections::HashMap::<Key<'_>, usize>::new();
        for engine in &self.engines {
            for (model, adapter) in engine.adapters.keys().chain(engine.coming.keys()) {
                *copies.entry((model, adapter)).or_default() += 1;
            }
        }
        let mut engines: Vec<_> = self
            .engines()
            .filter(|engine| {
                let used = engine.adapters.len() + engine.coming.len();
                engine.is_free(self.now)
                    && engine.successor.is_none()
                    && used + KEPT_PLACES < self.spec.adapter_slots
                    && engine.coming.len() < engine::MAX_COMING
                    && !self.state.is_suspect(&engine.sighting.id)
            })
            .collect();
        engines.sort_by_key(|engine| engine.adapters.len());
        let mut steps = Vec::new();
        for engine in engines {
            let Some(key) = self.spare_adapter(engine, &copies) else {
                continue;
            };
            *copies.entry(key).or_default() += 1;
            steps.push(super::Step {
                engine: engine.sighting.id.clone(),
                operation: order::Operation::Load,
                model: key.0.clone(),
                adapter: Some(key.1.clone()),
                successor: None,
                time: LOAD_TIME,
                from_store: false,
            });
        }
        steps
    }

    /// Returns the adapter that an engine should get next.
    fn spare_adapter<'a>(
        &'a self,
        engine: &engine::Engine,
        copies: &collections::HashMap<Key<'a>, usize>,
    ) -> Option<Key<'a>> {
        let held = |(model, adapter): &Key<'_>| {
            let key = ((*model).clone(), (*adapter).clone());
            engine.adapters.contains_key(&key) || engine.coming.contains_key(&key)
        };
        let models = self.spec.models.iter();
        models
            .filter(|(name, spec)| engine.models.contains_key(*name) && spec.adapter_mb > 0.0)
            .flat_map(|(name, spec)| spec.adapters.iter().map(move |adapter| (name, adapter)))
            .filter(|key| !held(key))
            .filter_map(|key| {
                let copies = copies.get(&key).copied().unwrap_or(0);
                let (model, adapter) = key;
                let asked = (self.service.clone(), model.clone(), adapter.clone());
                let rate = self.state.adapters.rate(self.now, &asked) / (copies + 1) as f64;
                (copies == 0 || rate >= COPY_RATE).then_some((copies == 0, rate, key))
            })
            .max_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)))
            .map(|(_, _, key)| key)
    }
}
