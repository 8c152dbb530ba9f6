use std::collections;

use crate::name;
use crate::relay;

/// The fraction of an engine's slots that must be free for each host to be allowed one without a reservation. With that
/// many free slots, few hosts get a request for the same engine between two views.
const AMPLE_FREE_FRACTION: f64 = 0.25;
/// The amount by which the rounding offset advances from one report to the next. A host's share of the free slots is
/// fractional, and an offset between 0 and 1 is added before it is rounded down: the larger the fraction, the more
/// often it is rounded up. The golden ratio spreads the offsets evenly.
const ROUNDING_OFFSET_STEP: f64 = 0.618_034;

/// The slots of engines that are in use or reserved.
///
/// Hosts learn of each other's requests late. A host with waiting requests gets a slot reserved for each of them, and a
/// slot that is reserved for one host is not free for another one until the host reports how many requests it has in
/// progress there.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    hosts: collections::HashMap<name::Name, Host>,
    /// The slots that hosts use or have reserved, by engine.
    taken: collections::HashMap<name::Name, u32>,
}

#[derive(Debug, Default)]
struct Host {
    /// The number of its last report.
    report_number: u64,
    /// The requests in progress, by engine.
    running: collections::HashMap<name::Name, u32>,
    /// The slots reserved since its last report, by engine.
    reserved: collections::HashMap<name::Name, u32>,
}

/// The slots of one engine as one host sees them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Availability {
    /// The requests and reservations of the other hosts.
    pub(super) other_requests: u32,
    /// The slots that the host may use: its reservations and its share of the free slots.
    pub(super) usable_slots: u32,
}

impl Reservations {
    /// Records the requests that a host has in progress. They include those for which slots were reserved, so its
    /// reservations end.
    pub(super) fn record_report(&mut self, report: &relay::Report) {
        self.remove_host(&report.host);
        let running: collections::HashMap<_, _> = report.running.iter().cloned().collect();
        for (engine, count) in &running {
            let taken = self.taken.entry(engine.clone()).or_default();
            *taken = taken.saturating_add(*count);
        }
        let host = Host {
            report_number: report.number,
            running,
            reserved: collections::HashMap::new(),
        };
        self.hosts.insert(report.host.clone(), host);
    }

    /// Removes a host with its requests and reservations.
    pub(super) fn remove_host(&mut self, host: &name::Name) {
        let Some(host) = self.hosts.remove(host) else {
            return;
        };
        for (engine, count) in host.running.iter().chain(&host.reserved) {
            if let Some(taken) = self.taken.get_mut(engine) {
                *taken = taken.saturating_sub(*count);
            }
        }
    }

    /// Removes all hosts for which `keep` returns false.
    pub(super) fn retain_hosts(&mut self, keep: impl Fn(&name::Name) -> bool) {
        let removed: Vec<_> = self
            .hosts
            .keys()
            .filter(|host| !keep(host))
            .cloned()
            .collect();
        for host in removed {
            self.remove_host(&host);
        }
    }

    /// Returns how many of an engine's `slots` are neither in use nor reserved.
    pub(super) fn free_slots(&self, engine: &name::Name, slots: u32) -> u32 {
        slots.saturating_sub(self.taken.get(engine).copied().unwrap_or(0))
    }

    /// Reserves a slot of an engine for a host. Does nothing for a host that has not reported.
    pub(super) fn reserve(&mut self, host: &name::Name, engine: &name::Name) {
        if let Some(host) = self.hosts.get_mut(host) {
            *host.reserved.entry(engine.clone()).or_default() += 1;
            let taken = self.taken.entry(engine.clone()).or_default();
            *taken = taken.saturating_add(1);
        }
    }

    /// Returns the slots of an engine as a host sees them: those reserved for it, and a share of the free ones for
    /// requests that arrive before the next view.
    pub(super) fn availability(
        &self,
        host: &name::Name,
        engine: &name::Name,
        slots: u32,
    ) -> Availability {
        let free = self.free_slots(engine, slots);
        let taken = self.taken.get(engine).copied().unwrap_or(0);
        let known = self.hosts.get(host);
        let count = |counts: &collections::HashMap<_, u32>| counts.get(engine).copied();
        let own = known.and_then(|host| count(&host.running)).unwrap_or(0);
        let reserved = known.and_then(|host| count(&host.reserved)).unwrap_or(0);
        let others = taken.saturating_sub(own.saturating_add(reserved));
        // The free slots are divided roughly in proportion to the requests in progress. One more request is divided
        // equally, so that a host without requests at the engine gets a share too.
        let equal_share = 1.0 / self.hosts.len().max(1) as f64;
        let share = (f64::from(own) + equal_share) / (f64::from(own) + f64::from(others) + 1.0);
        let offset = known.map_or(0.0, |host| {
            (host.report_number as f64 * ROUNDING_OFFSET_STEP).fract()
        });
        let share_slots = (f64::from(free) * share + offset).floor() as u32;
        let share_slots = if f64::from(free) >= f64::from(slots) * AMPLE_FREE_FRACTION {
            share_slots.max(1)
        } else {
            share_slots
        };
        Availability {
            other_requests: others,
            usable_slots: reserved.saturating_add(share_slots),
        }
    }
}
