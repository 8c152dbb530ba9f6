use std::collections;
use std::time;

use crate::clock;
use crate::outcome;

/// The idempotency keys that a sidecar ran, bounded in number and time.
///
/// It is a second guard beside the claim in the store. When it is full, the oldest key is removed.
#[derive(Clone, Debug)]
pub struct Table {
    capacity: usize,
    retention: time::Duration,
    entries: collections::BTreeMap<String, Entry>,
    ages: collections::BTreeSet<(clock::Instant, String)>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    request: u128,
    at: clock::Instant,
    is_completed: bool,
}

impl Table {
    /// Returns an empty table of at most `capacity` keys, each kept for `retention`.
    pub const fn new(capacity: usize, retention: time::Duration) -> Self {
        Self {
            capacity,
            retention,
            entries: collections::BTreeMap::new(),
            ages: collections::BTreeSet::new(),
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
    /// Returns what is known about the earlier execution when the key is already in the table.
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
            if let Some((_, oldest)) = self.ages.pop_first() {
                self.entries.remove(&oldest);
            }
        }
        let entry = Entry {
            request,
            at: now,
            is_completed: false,
        };
        self.entries.insert(key.to_owned(), entry);
        self.ages.insert((now, key.to_owned()));
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
            self.ages.remove(&(entry.at, key.to_owned()));
            self.entries.remove(key);
        }
    }

    fn expire(&mut self, now: clock::Instant) {
        while let Some((at, key)) = self.ages.first() {
            if now.since(*at) < self.retention {
                return;
            }
            self.entries.remove(key);
            self.ages.pop_first();
        }
    }
}
