//! Averages of what flows in a second.

use std::collections;
use std::hash;
use std::time;

use crate::clock;

/// The time over which a flow is averaged unless another one is asked for. Busy models change within a few seconds.
const MEMORY: time::Duration = time::Duration::from_millis(1_800);

/// Amounts in a second by key, averaged over a short time.
#[derive(Clone, Debug)]
pub(crate) struct Meter<K> {
    memory: time::Duration,
    entries: collections::HashMap<K, Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    amount: f64,
    at: clock::Instant,
    last: clock::Instant,
}

impl<K> Default for Meter<K> {
    fn default() -> Self {
        Self::with_time_constant(MEMORY)
    }
}

impl<K> Meter<K> {
    /// Returns a flow that is averaged over `memory`.
    pub(crate) fn with_time_constant(memory: time::Duration) -> Self {
        Self {
            memory,
            entries: collections::HashMap::new(),
        }
    }
}

impl Entry {
    fn decayed(&self, now: clock::Instant, memory: time::Duration) -> f64 {
        let age = now.since(self.at).as_secs_f64() / memory.as_secs_f64();
        self.amount * (-age).exp()
    }
}

impl<K: Eq + hash::Hash + Clone> Meter<K> {
    pub(crate) fn add(&mut self, now: clock::Instant, key: &K, amount: f64) {
        let memory = self.memory;
        let entry = self.entries.entry(key.clone()).or_insert(Entry {
            amount: 0.0,
            at: now,
            last: now,
        });
        entry.amount = entry.decayed(now, memory) + amount;
        entry.at = now;
        if amount > 0.0 {
            entry.last = now;
        }
    }

    /// Returns the amount in a second.
    pub(crate) fn rate(&self, now: clock::Instant, key: &K) -> f64 {
        let amount = self
            .entries
            .get(key)
            .map_or(0.0, |entry| entry.decayed(now, self.memory));
        amount / self.memory.as_secs_f64()
    }

    /// Returns when an amount was added last.
    pub(crate) fn last(&self, key: &K) -> Option<clock::Instant> {
        self.entries.get(key).map(|entry| entry.last)
    }

    /// Forgets the keys to which nothing was added for `span`.
    pub(crate) fn remove_idle(&mut self, now: clock::Instant, span: time::Duration) {
        self.entries.retain(|_, entry| now.since(entry.last) < span);
    }
}
