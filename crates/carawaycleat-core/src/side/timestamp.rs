use std::collections;
use std::time;

use crate::clock;
use crate::name;

/// The age beyond which a job is refused.
///
/// An entry host that is cut off serves for up to 4.25 s after a key was withdrawn. Together with this age, no job of
/// the key starts later than 5 s after the withdrawal, however long the network or a paused sidecar kept it.
pub const MAX_JOB_AGE: time::Duration = time::Duration::from_millis(700);

/// A point on the monotonic clock of an entry host's process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Timestamp {
    /// The entry host.
    pub host: name::Name,
    /// The incarnation of its process; instants of another one cannot be compared.
    pub incarnation: u64,
    /// The time on its clock.
    pub instant: clock::Instant,
}

/// What a sidecar knows of the clocks of entry hosts, from their directives.
#[derive(Clone, Debug, Default)]
pub(super) struct Clocks {
    heard: collections::BTreeMap<name::Name, Heard>,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    incarnation: u64,
    at: clock::Instant,
    received: clock::Instant,
}

impl Heard {
    /// Returns the earliest time that the entry host's clock can show now.
    fn earliest(self, now: clock::Instant) -> clock::Instant {
        self.at + now.since(self.received)
    }
}

impl Clocks {
    /// Notes the time at which an entry host sent a directive that arrives now.
    pub(super) fn hear(&mut self, now: clock::Instant, timestamp: &Timestamp) {
        let new = Heard {
            incarnation: timestamp.incarnation,
            at: timestamp.instant,
            received: now,
        };
        let known = self.heard.entry(timestamp.host.clone()).or_insert(new);
        let is_later = match new.incarnation.cmp(&known.incarnation) {
            std::cmp::Ordering::Equal => new.at > known.earliest(now),
            order => order.is_gt(),
        };
        if is_later {
            *known = new;
        }
    }

    /// Returns the time that has passed at least since `timestamp`, or zero when its process has not been heard.
    ///
    /// A process that has just started hears no jobs that were sent to its predecessor, because their connections have
    /// ended with it.
    pub(super) fn age(&self, now: clock::Instant, timestamp: &Timestamp) -> time::Duration {
        let known = self.heard.get(&timestamp.host);
        let known = known.filter(|heard| heard.incarnation == timestamp.incarnation);
        known.map_or(time::Duration::ZERO, |heard| {
            heard.earliest(now).since(timestamp.instant)
        })
    }
}
