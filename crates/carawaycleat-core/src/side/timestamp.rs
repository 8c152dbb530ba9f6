use std::collections;
use std::time;

use crate::clock;
use crate::name;

/// The age beyond which a job is refused.
///
/// A partitioned entry host serves for up to 4.25 s after a key was withdrawn. With this limit, no job of the key
/// starts later than 5 s after the withdrawal, however long the network or a paused sidecar delayed it.
pub const MAX_JOB_AGE: time::Duration = time::Duration::from_millis(700);

/// A point on the monotonic clock of an entry host's process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Timestamp {
    /// The entry host.
    pub host: name::Name,
    /// The incarnation of its process; instants of different incarnations cannot be compared.
    pub incarnation: u64,
    /// The time on the clock of that process.
    pub instant: clock::Instant,
}

/// Lower bounds of the clocks of entry hosts, from the timestamps of their directives.
#[derive(Clone, Debug, Default)]
pub(super) struct Clocks {
    readings: collections::BTreeMap<name::Name, Reading>,
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    incarnation: u64,
    instant: clock::Instant,
    received_at: clock::Instant,
}

impl Reading {
    /// Returns the lowest value that the entry host's clock can have now.
    fn earliest(self, now: clock::Instant) -> clock::Instant {
        self.instant + now.since(self.received_at)
    }
}

impl Clocks {
    /// Records the timestamp of a directive that arrives now.
    pub(super) fn observe(&mut self, now: clock::Instant, timestamp: &Timestamp) {
        let new = Reading {
            incarnation: timestamp.incarnation,
            instant: timestamp.instant,
            received_at: now,
        };
        let known = self.readings.entry(timestamp.host.clone()).or_insert(new);
        let is_later = match new.incarnation.cmp(&known.incarnation) {
            std::cmp::Ordering::Equal => new.instant > known.earliest(now),
            order => order.is_gt(),
        };
        if is_later {
            *known = new;
        }
    }

    /// Returns the least time that has passed since `timestamp`, or zero if no directive of its process has arrived.
    ///
    /// A sidecar that has just started receives no jobs that were sent to its predecessor, because their connections
    /// ended with it.
    pub(super) fn age(&self, now: clock::Instant, timestamp: &Timestamp) -> time::Duration {
        let known = self.readings.get(&timestamp.host);
        let known = known.filter(|reading| reading.incarnation == timestamp.incarnation);
        known.map_or(time::Duration::ZERO, |reading| {
            reading.earliest(now).since(timestamp.instant)
        })
    }
}
