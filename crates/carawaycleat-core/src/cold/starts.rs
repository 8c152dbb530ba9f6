use std::collections;
use std::time;

use crate::clock;
use crate::name;
use crate::relay;

/// The time by which an entry may be older than its arrival here: entries are up to 0.8 s late, and a watch of the store
/// delays changes by up to 1 s.
const MAX_ENTRY_AGE: time::Duration = time::Duration::from_millis(2_000);
/// The time for which a removed upstream is remembered, so that its entry does not count as that of a new process when it
/// comes back after an outage of the store.
const REMOVAL_RETENTION: time::Duration = time::Duration::from_secs(600);

/// What is known of the last start of an upstream.
#[derive(Clone, Debug)]
struct Start {
    /// The start of its process, as in [`relay::Registration::started`].
    started: u64,
    zone: name::Name,
    limit: relay::ColdStart,
    /// The end of its cold period.
    until: clock::Instant,
    /// When something other than an entry last showed that it is cold: a response, a view or the end of an evacuation.
    shown_at: Option<clock::Instant>,
    /// When a response last named the end of the cold period, and that end.
    named: Option<(clock::Instant, clock::Instant)>,
    removed_at: Option<clock::Instant>,
}

impl Start {
    /// Extends the cold period to `until`, as something other than an entry shows.
    fn extend(&mut self, now: clock::Instant, until: clock::Instant) {
        self.until = self.until.max(until);
        self.shown_at = Some(now);
    }
}

/// The upstreams of services with a limit after a start, and until when each is cold.
#[derive(Clone, Debug, Default)]
pub(crate) struct Starts {
    upstreams: collections::BTreeMap<name::Name, Start>,
}

impl Starts {
    /// Returns whether no service has a limit after a start.
    pub(crate) fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Applies an entry of an upstream whose service has the limit `limit`, if any. `is_first_read` says that it may have
    /// been there for long, so that only what it says counts.
    pub(crate) fn record_entry(
        &mut self,
        now: clock::Instant,
        entry: &relay::Registration,
        limit: Option<relay::ColdStart>,
        is_first_read: bool,
    ) {
        let Some(limit) = limit else {
            self.upstreams.remove(&entry.id);
            return;
        };
        let is_known = self
            .upstreams
            .get(&entry.id)
            .is_some_and(|start| start.started >= entry.started);
        if !is_known {
            let assumed = if is_first_read {
                time::Duration::ZERO
            } else {
                limit.duration
            };
            let start = Start {
                started: entry.started,
                zone: entry.zone.clone(),
                limit,
                until: now + entry.cold_remaining.unwrap_or(assumed),
                shown_at: None,
                named: None,
                removed_at: None,
            };
            self.upstreams.insert(entry.id.clone(), start);
            return;
        }
        let Some(start) = self.upstreams.get_mut(&entry.id) else {
            return;
        };
        start.limit = limit;
        start.zone = entry.zone.clone();
        start.removed_at = None;
        // An entry from an older copy of the store is of an earlier process under the same identifier.
        let remaining = entry
            .cold_remaining
            .filter(|_| entry.started == start.started);
        let Some(remaining) = remaining else {
            return;
        };
        let may_be_older = start
            .shown_at
            .is_some_and(|shown| now.since(shown) < MAX_ENTRY_AGE);
        let said = now + remaining;
        start.until = if may_be_older {
            start.until.max(said)
        } else {
            said
        };
    }

    /// Remembers an upstream whose entry was removed.
    pub(crate) fn record_removal(&mut self, now: clock::Instant, id: &name::Name) {
        if let Some(start) = self.upstreams.get_mut(id) {
            start.removed_at = Some(now);
        }
    }

    /// Applies the time left that a response of the process that started at `started`, or of the current one, names. It can
    /// extend the cold period and not end it.
    pub(crate) fn record_response(
        &mut self,
        now: clock::Instant,
        id: &name::Name,
        started: Option<u64>,
        remaining: time::Duration,
    ) {
        if let Some(start) = self.upstreams.get_mut(id)
            && started.is_none_or(|started| started == start.started)
            && !remaining.is_zero()
        {
            start.named = Some((now, now + remaining));
            start.extend(now, now + remaining);
        }
    }

    /// Applies the time left that the coordinator's view names.
    pub(crate) fn record_view(
        &mut self,
        now: clock::Instant,
        id: &name::Name,
        remaining: time::Duration,
    ) {
        if let Some(start) = self.upstreams.get_mut(id) {
            start.extend(now, now + remaining);
        }
    }

    /// Counts the upstreams of an availability zone as cold, because its evacuation has ended: they had no requests.
    pub(crate) fn record_evacuation_end(&mut self, now: clock::Instant, zone: &name::Name) {
        for start in self.upstreams.values_mut() {
            if start.zone == *zone {
                start.extend(now, now + start.limit.duration);
            }
        }
    }

    /// Forgets upstreams that were removed long ago.
    pub(crate) fn forget(&mut self, now: clock::Instant) {
        self.upstreams.retain(|_, start| {
            start
                .removed_at
                .is_none_or(|removed| now.since(removed) < REMOVAL_RETENTION)
        });
    }

    /// Returns the limit of an upstream and the end of its cold period; none when its service has no limit.
    pub(crate) fn get(&self, id: &name::Name) -> Option<(relay::ColdStart, clock::Instant)> {
        let start = self.upstreams.get(id)?;
        Some((start.limit, start.until))
    }

    /// Returns the upstreams that are cold, each with the requests per second that it takes and the end of its cold period.
    pub(crate) fn cold(
        &self,
        now: clock::Instant,
    ) -> impl Iterator<Item = (&name::Name, f64, clock::Instant)> {
        self.upstreams
            .iter()
            .filter(move |(_, start)| now < start.until && start.removed_at.is_none())
            .map(|(id, start)| (id, start.limit.rate, start.until))
    }

    /// Returns the time left that a recent response has named, which the coordinator may not have heard of.
    pub(crate) fn named(&self, now: clock::Instant, id: &name::Name) -> Option<time::Duration> {
        let (at, until) = self.upstreams.get(id)?.named?;
        (now.since(at) < MAX_ENTRY_AGE && now < until).then(|| until.since(now))
    }
}
