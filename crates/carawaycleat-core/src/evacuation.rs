//! Availability zones that operators have evacuated.

use std::collections;

use crate::clock;
use crate::name;

/// The evacuated availability zones, each with when this host learned of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Set {
    zones: collections::BTreeMap<name::Name, clock::Instant>,
}

impl Set {
    /// Adds an availability zone. Returns false if it was evacuated before.
    pub(crate) fn insert(&mut self, now: clock::Instant, zone: name::Name) -> bool {
        match self.zones.entry(zone) {
            collections::btree_map::Entry::Occupied(_) => false,
            collections::btree_map::Entry::Vacant(entry) => {
                entry.insert(now);
                true
            }
        }
    }

    /// Removes an availability zone, and returns when this host learned of the evacuation.
    pub(crate) fn remove(&mut self, zone: &name::Name) -> Option<clock::Instant> {
        self.zones.remove(zone)
    }

    /// Returns whether an availability zone is evacuated.
    pub(crate) fn contains(&self, zone: &name::Name) -> bool {
        self.zones.contains_key(zone)
    }

    /// Returns the number of evacuated availability zones.
    pub(crate) fn len(&self) -> usize {
        self.zones.len()
    }

    /// Returns the evacuated availability zones, each with when this host learned of it.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&name::Name, clock::Instant)> {
        self.zones.iter().map(|(zone, since)| (zone, *since))
    }
}
