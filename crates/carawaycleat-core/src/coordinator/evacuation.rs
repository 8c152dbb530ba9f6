use std::collections;

use crate::clock;
use crate::evacuation;
use crate::name;
use crate::timeline;

/// The evacuations as the coordinator follows them.
#[derive(Clone, Debug, Default)]
pub(super) struct Evacuations {
    zones: evacuation::Set,
    /// The availability zones whose evacuation all hosts were found to apply.
    applied: collections::BTreeSet<name::Name>,
    /// The evacuations that have ended, until they are logged.
    ended: Vec<(name::Name, clock::Instant)>,
}

impl Evacuations {
    pub(super) fn begin(&mut self, now: clock::Instant, zone: name::Name) {
        self.zones.insert(now, zone);
    }

    /// Ends an evacuation. Returns whether there was one.
    pub(super) fn end(&mut self, zone: &name::Name) -> bool {
        self.applied.remove(zone);
        let since = self.zones.remove(zone);
        self.ended.extend(since.map(|since| (zone.clone(), since)));
        since.is_some()
    }

    /// Forgets what hosts have reported, and what ended while another host was the coordinator.
    pub(super) fn begin_term(&mut self) {
        self.applied.clear();
        self.ended.clear();
    }

    /// Returns whether an availability zone is evacuated.
    pub(super) fn contains(&self, zone: &name::Name) -> bool {
        self.zones.contains(zone)
    }

    /// Returns the records of evacuations that have ended, and of those that `is_applied` says all hosts apply.
    pub(super) fn records(
        &mut self,
        now: clock::Instant,
        is_applied: impl Fn(&name::Name) -> bool,
    ) -> Vec<timeline::Decision> {
        let decision = |event, zone: name::Name, since| {
            timeline::Decision::new(event)
                .with_subject(zone)
                .with("ms", timeline::Value::millis(now.since(since)))
        };
        let mut records = Vec::new();
        for (zone, since) in self.ended.drain(..) {
            records.push(decision("evacuation_ended", zone, since));
        }
        for (zone, since) in self.zones.iter() {
            if !self.applied.contains(zone) && is_applied(zone) {
                self.applied.insert(zone.clone());
                records.push(decision("evacuation_applied", zone.clone(), since));
            }
        }
        records
    }
}
