use std::collections;
use std::time;

use crate::clock;
use crate::outcome;

/// The idempotency keys of requests that a sidecar ran, bounded in number and age.
///
/// The table protects against repeated execution in addition to the claims in the store. When it is full, it evicts the
/// oldest key.
#[derive(Clone, Debug)]
pub struct Table {
    capacity: usize,
    retention: time::Duration,
    entries: collections::BTreeMap<String, Entry>,
    /// Keys in order of their start.
    by_age: collections::BTreeSet<(clock::Instant, String)>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    request: u128,
    started_at: clock::Instant,
    is_completed: bool,
}

impl Table {
    /// Returns an empty table that holds up to `capacity` keys, each for `retention`.
    pub const fn new(capacity: usize, retention: time::Duration) -> Self {
        Self {
            capacity,
            retention,
            entries: collections::BTreeMap::new(),
            by_age: collections::BTreeSet::new(),
        }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that `request` is about to run for `key`.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the earlier execution if the key is already in the table.
    pub fn begin(
        &mut self,
        now: clock::Instant,
        key: &str,
        request: u128,
    ) -> Result<(), outcome::Outcome> {
        self.expire(now);
        if let Some(entry) = self.entries.get(key) {
            return Err(if entry.is_completed {
                outcome::Outcome::Ran
            } else {
                outcome::Outcome::Unknown
            });
        }
        while self.entries.len() >= self.capacity.max(1) {
            if let Some((_, oldest)) = self.by_age.pop_first() {
                self.entries.remove(&oldest);
            }
        }
        let entry = Entry {
            request,
            started_at: now,
            is_completed: false,
        };
        self.entries.insert(key.to_owned(), entry);
        self.by_age.insert((now, key.to_owned()));
        Ok(())
    }

    /// Records that `request` ran.
    pub fn complete(&mut self, key: &str, request: u128) {
        if let Some(entry) = self.entries.get_mut(key).filter(|e| e.request == request) {
            entry.is_completed = true;
        }
    }

    /// Removes the key of `request`, which did not run.
    pub fn remove(&mut self, key: &str, request: u128) {
        if let Some(entry) = self.entries.get(key).filter(|e| e.request == request) {
            self.by_age.remove(&(entry.started_at, key.to_owned()));
            self.entries.remove(key);
        }
    }

    fn expire(&mut self, now: clock::Instant) {
        while let Some((started_at, key)) = self.by_age.first() {
            if now.since(*started_at) < self.retention {
                return;
            }
            self.entries.remove(key);
            self.by_age.pop_first();
        }
    }
}
