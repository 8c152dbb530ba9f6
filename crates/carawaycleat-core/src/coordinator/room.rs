use std::collections;

use crate::name;
use crate::relay;

/// The part of an engine's places from which on each host may take one without asking: few hosts get a request for the
/// same engine between two views.
const AMPLE: f64 = 0.25;
/// The steps by which rounding goes up more often the larger the fraction is. The golden ratio spreads them evenly.
const STEP: f64 = 0.618_034;

/// The places of engines that are taken and promised.
///
/// Hosts hear of each other's requests late. A host whose requests wait is promised a place for each of them, and what
/// is promised to one host is not free for another one, until the host reports how many requests it has there.
#[derive(Debug, Default)]
pub(super) struct Rooms {
    hosts: collections::HashMap<name::Name, Host>,
    /// The places that hosts use or were promised, by engine.
    taken: collections::HashMap<name::Name, u32>,
}

#[derive(Debug, Default)]
struct Host {
    /// The number of its last report.
    number: u64,
    running: collections::HashMap<name::Name, u32>,
    promised: collections::HashMap<name::Name, u32>,
}

/// The places of one engine as one host is to see them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Room {
    /// The requests of the other hosts.
    pub(super) others: u32,
    /// The places that the host may take.
    pub(super) free: u32,
}

impl Rooms {
    /// Takes up the requests that a host has in progress. They include those for which it was promised places.
    pub(super) fn hear(&mut self, report: &relay::Report) {
        self.forget(&report.host);
        let running: collections::HashMap<_, _> = report.running.iter().cloned().collect();
        for (engine, count) in &running {
            *self.taken.entry(engine.clone()).or_default() += count;
        }
        let host = Host {
            number: report.number,
            running,
            promised: collections::HashMap::new(),
        };
        self.hosts.insert(report.host.clone(), host);
    }

    /// Forgets a host that does not report.
    pub(super) fn forget(&mut self, host: &name::Name) {
        let Some(host) = self.hosts.remove(host) else {
            return;
        };
        for (engine, count) in host.running.iter().chain(&host.promised) {
            if let Some(taken) = self.taken.get_mut(engine) {
                *taken = taken.saturating_sub(*count);
            }
        }
    }

    /// Forgets all hosts but those that `keep` names.
    pub(super) fn retain(&mut self, keep: impl Fn(&name::Name) -> bool) {
        let gone: Vec<_> = self
            .hosts
            .keys()
            .filter(|host| !keep(host))
            .cloned()
            .collect();
        for host in gone {
            self.forget(&host);
        }
    }

    /// Returns the places of an engine that are neither used nor promised.
    pub(super) fn free(&self, engine: &name::Name, slots: u32) -> u32 {
        slots.saturating_sub(self.taken.get(engine).copied().unwrap_or(0))
    }

    /// Promises a place of an engine to a host that has reported.
    pub(super) fn promise(&mut self, host: &name::Name, engine: &name::Name) {
        if let Some(host) = self.hosts.get_mut(host) {
            *host.promised.entry(engine.clone()).or_default() += 1;
            *self.taken.entry(engine.clone()).or_default() += 1;
        }
    }

    /// Returns what a host is to know of an engine's places: those that it was promised, and a part of those that are
    /// free for requests that arrive before the next view.
    pub(super) fn room(&self, host: &name::Name, engine: &name::Name, slots: u32) -> Room {
        let free = self.free(engine, slots);
        let taken = self.taken.get(engine).copied().unwrap_or(0);
        let known = self.hosts.get(host);
        let count = |counts: &collections::HashMap<_, u32>| counts.get(engine).copied();
        let own = known.and_then(|host| count(&host.running)).unwrap_or(0);
        let promised = known.and_then(|host| count(&host.promised)).unwrap_or(0);
        let others = taken.saturating_sub(own + promised);
        let even = 1.0 / self.hosts.len().max(1) as f64;
        let part = (f64::from(own) + even) / (f64::from(own + others) + 1.0);
        let offset = known.map_or(0.0, |host| (host.number as f64 * STEP).fract());
        let share = (f64::from(free) * part + offset).floor() as u32;
        let share = if f64::from(free) >= f64::from(slots) * AMPLE {
            share.max(1)
        } else {
            share
        };
        Room {
            others,
            free: promised + share,
        }
    }
}
