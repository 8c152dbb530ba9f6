//! The requests of all hosts that compete for the slots of engines.

use std::cmp;
use std::collections;
use std::time;

use super::engine;
use crate::clock;
use crate::name;
use crate::relay;

/// The time for which a result is used again: views are sent every 12 ms in a large fleet.
const MAX_AGE: time::Duration = time::Duration::from_millis(50);
/// The maximum number of models in a view, those with the most requests first.
const MAX_MODELS: usize = 64;

type Key<'a> = (&'a name::Name, &'a name::Name);

/// The competing requests of the models that requests wait for.
#[derive(Clone, Debug, Default)]
pub(super) struct Backlogs {
    counted_at: clock::Instant,
    backlogs: Vec<relay::Backlog>,
}

impl Backlogs {
    /// Returns the competing requests, counted from `demands` unless that was done just before.
    pub(super) fn update<'a>(
        &mut self,
        now: clock::Instant,
        engines: &collections::BTreeMap<name::Name, engine::Engine>,
        demands: impl Iterator<Item = &'a relay::Demand>,
    ) -> Vec<relay::Backlog> {
        if now.since(self.counted_at) >= MAX_AGE {
            self.counted_at = now;
            self.backlogs = count(engines, demands);
        }
        self.backlogs.clone()
    }
}

/// Counts the requests that wait for engines which hold each model. A request counts in equal parts at the engines that hold
/// its own model.
fn count<'a>(
    engines: &collections::BTreeMap<name::Name, engine::Engine>,
    demands: impl Iterator<Item = &'a relay::Demand>,
) -> Vec<relay::Backlog> {
    let mut waiting = collections::BTreeMap::<Key<'_>, f64>::new();
    for demand in demands.filter(|demand| demand.waiting > 0) {
        *waiting.entry((&demand.service, &demand.model)).or_default() += f64::from(demand.waiting);
    }
    let mut holders = collections::BTreeMap::<Key<'_>, f64>::new();
    for engine in engines.values() {
        for model in engine.models.keys() {
            let key = (&engine.registration.service, model);
            if waiting.contains_key(&key) {
                *holders.entry(key).or_default() += 1.0;
            }
        }
    }
    let mut competing = collections::BTreeMap::<Key<'_>, f64>::new();
    for engine in engines.values() {
        let service = &engine.registration.service;
        let keys = || engine.models.keys().map(|model| (service, model));
        let part = |key: Key<'_>| Some(waiting.get(&key)? / holders.get(&key)?);
        let sum: f64 = keys().filter_map(part).sum();
        for key in keys().filter(|key| waiting.contains_key(key)) {
            *competing.entry(key).or_default() += sum;
        }
    }
    let backlog = |((service, model), waiting): (&Key<'_>, &f64)| relay::Backlog {
        service: (*service).clone(),
        model: (*model).clone(),
        waiting: waiting.ceil() as u32,
    };
    let mut backlogs: Vec<_> = competing.iter().map(backlog).collect();
    backlogs.sort_by_key(|backlog| cmp::Reverse(backlog.waiting));
    backlogs.truncate(MAX_MODELS);
    backlogs
}
