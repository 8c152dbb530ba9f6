//! Exponentially decayed rates by key.

use std::collections;
use std::hash;
use std::time;

use crate::clock;

/// The default time constant. The models in demand change within a few seconds.
const DEFAULT_TIME_CONSTANT: time::Duration = time::Duration::from_millis(1_800);

/// Measures the rate per second of the amounts added to each key, as an exponential moving average.
#[derive(Clone, Debug)]
pub(crate) struct Meter<K> {
    /// The time after which the weight of an amount has fallen to 1/e.
    time_constant: time::Duration,
    entries: collections::HashMap<K, Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// The decayed sum of the amounts as of `updated`.
    amount: f64,
    updated: clock::Instant,
    /// When the key was first seen.
    first_added: clock::Instant,
    /// When an amount above zero was last added.
    last_added: clock::Instant,
}

impl<K> Default for Meter<K> {
    fn default() -> Self {
        Self::with_time_constant(DEFAULT_TIME_CONSTANT)
    }
}

impl<K> Meter<K> {
    /// Returns a meter with the time constant `time_constant`.
    pub(crate) fn with_time_constant(time_constant: time::Duration) -> Self {
        Self {
            time_constant,
            entries: collections::HashMap::new(),
        }
    }
}

impl Entry {
    /// Returns the amount as of `now`.
    fn decayed(&self, now: clock::Instant, time_constant: time::Duration) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / time_constant.as_secs_f64();
        self.amount * (-age).exp()
    }
}

impl<K: Eq + hash::Hash + Clone> Meter<K> {
    /// Adds `amount` to a key.
    pub(crate) fn add(&mut self, now: clock::Instant, key: &K, amount: f64) {
        let time_constant = self.time_constant;
        let entry = self.entries.entry(key.clone()).or_insert(Entry {
            amount: 0.0,
            updated: now,
            first_added: now,
            last_added: now,
        });
        entry.amount = entry.decayed(now, time_constant) + amount;
        entry.updated = now;
        if amount > 0.0 {
            entry.last_added = now;
        }
    }

    /// Returns the decayed sum of the amounts added to a key.
    pub(crate) fn amount(&self, now: clock::Instant, key: &K) -> f64 {
        self.entries
            .get(key)
            .map_or(0.0, |entry| entry.decayed(now, self.time_constant))
    }

    /// Returns the rate of a key per second.
    pub(crate) fn rate(&self, now: clock::Instant, key: &K) -> f64 {
        self.amount(now, key) / self.time_constant.as_secs_f64()
    }

    /// Returns whether the rate of a key is known: the key was first seen at least one time constant ago.
    pub(crate) fn is_settled(&self, now: clock::Instant, key: &K) -> bool {
        let entry = self.entries.get(key);
        entry.is_some_and(|entry| now.since(entry.first_added) >= self.time_constant)
    }

    /// Returns when an amount above zero was last added to a key.
    pub(crate) fn last_added(&self, key: &K) -> Option<clock::Instant> {
        self.entries.get(key).map(|entry| entry.last_added)
    }

    /// Removes the keys to which nothing was added for `max_idle`.
    pub(crate) fn remove_idle(&mut self, now: clock::Instant, max_idle: time::Duration) {
        self.entries
            .retain(|_, entry| now.since(entry.last_added) < max_idle);
    }
}
