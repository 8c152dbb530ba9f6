//! The clocks and the timeline of one process.

mod monotonic;

use std::sync;
use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::entry;
use carawaycleat_core::name;
use carawaycleat_core::timeline;
use carawaycleat_net as net;

pub(crate) use monotonic::Monotonic;

/// The timeline of one process, with its logical clock.
#[derive(Debug)]
pub(crate) struct Journal {
    inner: sync::Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    clock: clock::Hybrid,
    ring: timeline::Ring,
}

impl Journal {
    pub(crate) fn new(host: name::Name, events: usize) -> Self {
        let inner = Inner {
            clock: clock::Hybrid::new(host),
            ring: timeline::Ring::new(events),
        };
        Self {
            inner: sync::Mutex::new(inner),
        }
    }

    /// Records an event in the timeline.
    pub(crate) fn record(&self, record: entry::Record) {
        let mut inner = lock(&self.inner);
        let stamp = inner.clock.tick(wall_ms());
        let mut event = timeline::Event::new(stamp, record.kind);
        event.request = record.request.map(|id| id.to_string());
        event.workspace = record.workspace;
        event.model = record.model;
        event.upstream = record.upstream;
        event.detail = record.detail;
        inner.ring.push(event);
    }

    /// Returns a stamp for an outgoing message.
    pub(crate) fn stamp(&self) -> clock::Stamp {
        lock(&self.inner).clock.tick(wall_ms())
    }

    /// Updates the clock with the stamp of a received message, so that later events are ordered after it.
    pub(crate) fn receive(&self, stamp: &clock::Stamp) {
        lock(&self.inner).clock.receive(wall_ms(), stamp);
    }

    /// Returns the number of events that were dropped because the ring was full.
    pub(crate) fn dropped_events(&self) -> u64 {
        lock(&self.inner).ring.dropped()
    }

    /// Returns a response with the events that match a query string.
    pub(crate) fn respond(&self, query: &str) -> net::Response {
        match timeline::Filter::parse(query) {
            Ok(filter) => net::Response::json(200, &lock(&self.inner).ring.select(&filter)),
            Err(error) => net::Response::new(400).body(error.to_string()),
        }
    }
}

/// Returns the time since the Unix epoch in milliseconds.
pub(crate) fn wall_ms() -> u64 {
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Locks a mutex and ignores poisoning, because its data is consistent even after a holder has panicked.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
