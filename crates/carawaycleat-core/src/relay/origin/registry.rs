use std::collections;
use std::time;

use super::Origin;
use super::StreamRecord;
use crate::clock;
use crate::name;

/// The maximum number of streams that are remembered; beyond it, the oldest one is forgotten.
const MAX_STREAMS: usize = 65_536;

/// A stream that this host has passed on.
#[derive(Clone, Debug)]
struct Entry {
    origin: Origin,
    /// Another origin that the stream may have instead.
    other: Option<Box<Origin>>,
    since: clock::Instant,
    /// Whether the record was given out to be stored.
    is_stored: bool,
}

/// The origins of the streams that began or went on at this host and were not delivered whole, by the digests of the
/// requests that began them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Registry {
    entries: collections::HashMap<u64, Entry>,
    /// The entries in the order of their beginning; some may have been replaced or removed.
    order: collections::VecDeque<(clock::Instant, u64)>,
    /// The streams whose records are to be stored.
    unstored: Vec<u64>,
    /// The services whose streams need records in the store.
    recorded: collections::BTreeSet<name::Name>,
}

/// What is known of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Knowledge {
    /// Nothing.
    Absent,
    /// Its origin.
    Known(Origin),
    /// It may have several origins.
    Ambiguous,
}

impl Registry {
    /// Returns what is known of a stream.
    pub(crate) fn find(&self, stream: u64) -> Knowledge {
        match self.entries.get(&stream) {
            None => Knowledge::Absent,
            Some(entry) if entry.other.is_some() => Knowledge::Ambiguous,
            Some(entry) => Knowledge::Known(entry.origin.clone()),
        }
    }

    /// Records the origin of a stream. `is_stored` says that the store has the record. A stream that is known already
    /// keeps its origin, and becomes ambiguous if this one differs.
    pub(crate) fn record(
        &mut self,
        now: clock::Instant,
        stream: u64,
        origin: Origin,
        is_stored: bool,
    ) {
        if let Some(entry) = self.entries.get_mut(&stream) {
            if entry.origin != origin {
                self.dispute(stream, origin);
            }
            return;
        }
        self.order.push_back((now, stream));
        if !is_stored && self.recorded.contains(&origin.service) {
            self.unstored.push(stream);
        }
        let entry = Entry {
            origin,
            other: None,
            since: now,
            is_stored,
        };
        self.entries.insert(stream, entry);
        while self.entries.len() > MAX_STREAMS {
            self.forget_first();
        }
        if self.order.len() > 2 * MAX_STREAMS {
            let entries = &self.entries;
            self.order.retain(|(since, stream)| {
                let entry = entries.get(stream);
                entry.is_some_and(|entry| entry.since == *since)
            });
        }
    }

    /// Records that a stream may have this origin instead. The store gets both, which shows other hosts the same.
    pub(crate) fn dispute(&mut self, stream: u64, other: Origin) {
        let Some(entry) = self.entries.get_mut(&stream) else {
            return;
        };
        entry.other = Some(Box::new(other));
        entry.is_stored = false;
        self.unstored.push(stream);
    }

    /// Removes a stream that was delivered whole.
    pub(crate) fn remove(&mut self, stream: u64) {
        self.entries.remove(&stream);
    }

    /// Forgets the streams that began longer than `lifetime` ago.
    pub(crate) fn forget(&mut self, now: clock::Instant, lifetime: time::Duration) {
        while self
            .order
            .front()
            .is_some_and(|(since, _)| now.since(*since) >= lifetime)
        {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        let Some((since, stream)) = self.order.pop_front() else {
            return;
        };
        if self
            .entries
            .get(&stream)
            .is_some_and(|entry| entry.since == since)
        {
            self.entries.remove(&stream);
        }
    }

    /// Sets the services whose streams need records in the store.
    pub(crate) fn set_recorded(&mut self, services: collections::BTreeSet<name::Name>) {
        let before = std::mem::replace(&mut self.recorded, services);
        let recorded = &self.recorded;
        let is_new = |service: &name::Name| recorded.contains(service) && !before.contains(service);
        let unstored = self.entries.iter().filter_map(|(stream, entry)| {
            (!entry.is_stored && is_new(&entry.origin.service)).then_some(*stream)
        });
        self.unstored.extend(unstored);
    }

    /// Lets all records be stored again, because the store may have lost them.
    pub(crate) fn invalidate_stored(&mut self) {
        for entry in self.entries.values_mut() {
            entry.is_stored = false;
        }
        let recorded = &self.recorded;
        let entries = self.entries.iter();
        let streams = entries.filter(|(_, entry)| recorded.contains(&entry.origin.service));
        self.unstored = streams.map(|(stream, _)| *stream).collect();
    }

    /// Takes the records that are to be stored.
    pub(crate) fn take_unstored(&mut self) -> Vec<StreamRecord> {
        let mut records = Vec::new();
        for stream in std::mem::take(&mut self.unstored) {
            let Some(entry) = self.entries.get_mut(&stream) else {
                continue;
            };
            if std::mem::replace(&mut entry.is_stored, true) {
                continue;
            }
            let other = entry.other.as_deref();
            let origins = std::iter::once(&entry.origin).chain(other);
            records.extend(origins.map(|origin| StreamRecord {
                stream,
                origin: origin.clone(),
            }));
        }
        records
    }
}
