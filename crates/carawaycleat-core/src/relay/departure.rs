use std::collections;

use crate::name;

/// The maximum number of upstreams that are remembered.
const MAX_UPSTREAMS: usize = 4_096;

/// The upstreams that have said in a response that they leave, each with the start of its process.
///
/// The entry of such an upstream in the store may still say that it takes new work, and may lapse and come back.
#[derive(Clone, Debug, Default)]
pub(crate) struct Departures {
    started: collections::BTreeMap<name::Name, u64>,
}

impl Departures {
    /// Records that the process of an upstream that started at `started` leaves. A process without a start time is not
    /// recorded, because it cannot be told from a later one.
    pub(crate) fn record(&mut self, id: &name::Name, started: u64) {
        if started == 0 || self.is_leaving(id, started) {
            return;
        }
        if self.started.len() >= MAX_UPSTREAMS {
            self.started.pop_first();
        }
        self.started.insert(id.clone(), started);
    }

    /// Returns whether the process of an upstream that started at `started` leaves.
    pub(crate) fn is_leaving(&self, id: &name::Name, started: u64) -> bool {
        self.started.get(id) == Some(&started)
    }

    /// Returns the upstreams among `known`, each with the start of its process.
    pub(crate) fn among<T>(
        &self,
        known: &collections::BTreeMap<name::Name, T>,
    ) -> Vec<(name::Name, u64)> {
        let leaving = self.started.iter();
        leaving
            .filter(|(id, _)| known.contains_key(*id))
            .map(|(id, started)| (id.clone(), *started))
            .collect()
    }
}
