use std::collections;
use std::time;

use super::Origin;
use crate::clock;
use crate::name;

/// The shortest time between two writes of the record of versions.
const MIN_WRITE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The software versions of each service that are or were of late in service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Versions {
    /// When each was last seen.
    seen: collections::BTreeMap<Origin, clock::Instant>,
    /// The store's record.
    stored: Vec<Origin>,
    /// When the record was last to be written.
    written_at: Option<clock::Instant>,
}

impl Versions {
    /// Records that an upstream of this version is in service. Returns whether the version is new.
    pub(crate) fn record(&mut self, now: clock::Instant, origin: Origin) -> bool {
        self.seen.insert(origin, now).is_none()
    }

    /// Applies the store's record and returns the services that have a new version.
    pub(crate) fn record_stored(
        &mut self,
        now: clock::Instant,
        origins: Vec<Origin>,
    ) -> Vec<name::Name> {
        let mut services = Vec::new();
        for origin in &origins {
            if !self.seen.contains_key(origin) {
                self.seen.insert(origin.clone(), now);
                services.push(origin.service.clone());
            }
        }
        self.stored = origins;
        services
    }

    /// Forgets the versions that were not seen for `lifetime` and returns their services.
    pub(crate) fn forget(
        &mut self,
        now: clock::Instant,
        lifetime: time::Duration,
    ) -> Vec<name::Name> {
        let mut services = Vec::new();
        self.seen.retain(|origin, seen| {
            let is_kept = now.since(*seen) < lifetime;
            if !is_kept {
                services.push(origin.service.clone());
            }
            is_kept
        });
        services
    }

    /// Returns whether the store's record has the version.
    pub(crate) fn is_stored(&self, origin: &Origin) -> bool {
        self.stored.contains(origin)
    }

    /// Returns the versions of a service.
    pub(crate) fn of<'a>(&'a self, service: &'a name::Name) -> impl Iterator<Item = &'a Origin> {
        let first = Origin {
            service: service.clone(),
            version: None,
        };
        let origins = self.seen.range(first..).map(|(origin, _)| origin);
        origins.take_while(move |origin| origin.service == *service)
    }

    /// Returns the record that is to be written to the store, if that differs and was not written shortly before.
    pub(crate) fn take_record(&mut self, now: clock::Instant) -> Option<Vec<Origin>> {
        let is_recent = self
            .written_at
            .is_some_and(|at| now.since(at) < MIN_WRITE_INTERVAL);
        if is_recent || self.seen.keys().eq(self.stored.iter()) {
            return None;
        }
        self.written_at = Some(now);
        Some(self.seen.keys().cloned().collect())
    }
}
