use std::collections;
use std::time;

use super::Origin;
use crate::clock;
use crate::name;

/// The shortest time between two writes of the record of versions.
const MIN_WRITE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The longest time for which streams do not begin at a version that the store has no record of. A coordinator that can
/// write to the store needs less.
const MAX_RECORD_WAIT: time::Duration = time::Duration::from_secs(3);

/// When a version was in service.
#[derive(Clone, Copy, Debug)]
struct Span {
    first: clock::Instant,
    last: clock::Instant,
}

impl Span {
    const fn at(now: clock::Instant) -> Self {
        Self {
            first: now,
            last: now,
        }
    }
}

/// The software versions of each service that are or were of late in service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Versions {
    /// When each was seen.
    seen: collections::BTreeMap<Origin, Span>,
    /// The store's record.
    stored: Vec<Origin>,
    /// When the record was last to be written.
    written_at: Option<clock::Instant>,
}

impl Versions {
    /// Records that an upstream of this version is in service. Returns whether the version is new.
    pub(crate) fn record(&mut self, now: clock::Instant, origin: Origin) -> bool {
        let mut is_new = false;
        let span = self.seen.entry(origin).or_insert_with(|| {
            is_new = true;
            Span::at(now)
        });
        span.last = now;
        is_new
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
                self.seen.insert(origin.clone(), Span::at(now));
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
        self.seen.retain(|origin, span| {
            let is_kept = now.since(span.last) < lifetime;
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

    /// Returns the versions of a service at which no stream may begin yet. A host that was out of step finds the version of
    /// a stream only if the store has a record of it from before the stream. A service that has no record at all waits for
    /// none, because no host concludes anything from that.
    pub(crate) fn unrecorded(&self, now: clock::Instant, service: &name::Name) -> Vec<Origin> {
        if !self.stored.iter().any(|origin| origin.service == *service) {
            return Vec::new();
        }
        let is_waited_for = |origin: &&Origin| {
            let span = self.seen.get(*origin);
            span.is_some_and(|span| now.since(span.first) < MAX_RECORD_WAIT)
        };
        self.of(service)
            .filter(|origin| !self.is_stored(origin))
            .filter(is_waited_for)
            .cloned()
            .collect()
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

    /// Returns whether the store's record has the versions that this host knows, and no others.
    pub(crate) fn is_record_complete(&self) -> bool {
        self.seen.keys().eq(self.stored.iter())
    }

    /// Returns the record that is to be written to the store, if that differs and was not written shortly before.
    pub(crate) fn take_record(&mut self, now: clock::Instant) -> Option<Vec<Origin>> {
        let is_recent = self
            .written_at
            .is_some_and(|at| now.since(at) < MIN_WRITE_INTERVAL);
        if is_recent || self.is_record_complete() {
            return None;
        }
        self.written_at = Some(now);
        Some(self.seen.keys().cloned().collect())
    }
}
