use std::collections;

use super::engine;
use crate::name;
use crate::relay;

/// The part of an engine's places from which on each host may take one without a share in them: few hosts get a
/// request for the same engine between two views.
const AMPLE: f64 = 0.5;
/// The steps by which rounding goes up more often the larger the fraction is. The golden ratio spreads them evenly.
const STEP: f64 = 0.618_034;

/// The division of the engines' free places among the hosts, as one of them is to see it.
///
/// Hosts hear of each other's requests late. Without a division, all of them send to an engine that has one place
/// left, and the requests that find none there make no progress and are tried again elsewhere.
#[derive(Debug)]
pub(super) struct Rooms<'a> {
    hosts: usize,
    /// The requests in progress by engine, of the host and of the others.
    running: collections::HashMap<&'a name::Name, Counts>,
    /// The waiting requests by service and model.
    waiting: collections::HashMap<(&'a name::Name, &'a name::Name), Counts>,
    /// The number of the host's report.
    number: u64,
}

/// What one host and the others have.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    own: u32,
    others: u32,
}

impl Counts {
    fn add(&mut self, is_own: bool, count: u32) {
        if is_own {
            self.own += count;
        } else {
            self.others += count;
        }
    }
}

impl<'a> Rooms<'a> {
    /// Returns the division for `host`.
    pub(super) fn new(reports: impl Iterator<Item = &'a relay::Report>, host: &name::Name) -> Self {
        let mut rooms = Self {
            hosts: 0,
            running: collections::HashMap::new(),
            waiting: collections::HashMap::new(),
            number: 0,
        };
        for report in reports {
            let is_own = report.host == *host;
            rooms.hosts += 1;
            if is_own {
                rooms.number = report.number;
            }
            for (id, count) in &report.running {
                let counts = rooms.running.entry(id).or_default();
                counts.add(is_own, *count);
            }
            for ask in report.asks.iter().filter(|ask| ask.waiting > 0) {
                let key = (&ask.service, &ask.model);
                let counts = rooms.waiting.entry(key).or_default();
                counts.add(is_own, ask.waiting);
            }
        }
        rooms
    }

    /// Returns the requests of the other hosts at an engine.
    pub(super) fn others(&self, id: &name::Name) -> u32 {
        self.running.get(id).map_or(0, |counts| counts.others)
    }

    /// Returns the places of an engine that the host may take.
    pub(super) fn room(&self, engine: &engine::Engine, slots: u32) -> u32 {
        let running = self.running.get(&engine.sighting.id);
        let mut wanted = running.copied().unwrap_or_default();
        let free = slots.saturating_sub(wanted.own + wanted.others);
        for model in engine.models.keys() {
            if let Some(waiting) = self.waiting.get(&(&engine.sighting.service, model)) {
                wanted.own += waiting.own;
                wanted.others += waiting.others;
            }
        }
        let even = 1.0 / self.hosts.max(1) as f64;
        let part = (f64::from(wanted.own) + even) / (f64::from(wanted.own + wanted.others) + 1.0);
        let exact = f64::from(free) * part;
        let offset = (self.number as f64 * STEP).fract();
        let room = (exact + offset).floor() as u32;
        if f64::from(free) >= f64::from(slots) * AMPLE {
            room.max(1)
        } else {
            room
        }
    }
}
