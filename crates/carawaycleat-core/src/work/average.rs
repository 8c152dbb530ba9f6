use std::collections;
use std::hash;
use std::time;

use crate::clock;

/// The largest number of averages that a table keeps. Beyond it, those without a recent sample are dropped.
const MAX_AVERAGES: usize = 8_192;
/// The time constants after which the weight of an average is negligible.
const MAX_AGE: u32 = 5;

/// A mean of samples whose weights decay with time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Average {
    weight: f64,
    mean: f64,
    /// The mean of the absolute differences from the mean.
    spread: f64,
    updated: clock::Instant,
}

impl Average {
    /// Adds a sample.
    pub(super) fn add(
        &mut self,
        now: clock::Instant,
        time_constant: time::Duration,
        value: f64,
        weight: f64,
    ) {
        let previous = self.weight(now, time_constant);
        self.weight = previous + weight;
        self.updated = now;
        let share = weight / self.weight.max(f64::MIN_POSITIVE);
        if previous > 0.0 {
            self.spread += share * ((value - self.mean).abs() - self.spread);
        }
        self.mean += share * (value - self.mean);
    }

    /// Returns the sum of the weights of the samples as of `now`.
    pub(super) fn weight(&self, now: clock::Instant, time_constant: time::Duration) -> f64 {
        if self.weight == 0.0 {
            return 0.0;
        }
        let age = now.since(self.updated).as_secs_f64() / time_constant.as_secs_f64();
        self.weight * (-age).exp()
    }

    pub(super) const fn mean(&self) -> f64 {
        self.mean
    }

    pub(super) const fn spread(&self) -> f64 {
        self.spread
    }

    /// Returns `general`, moved towards the mean by as much as the samples weigh against `prior_weight`.
    pub(super) fn refine(
        &self,
        now: clock::Instant,
        time_constant: time::Duration,
        general: f64,
        prior_weight: f64,
    ) -> f64 {
        let weight = self.weight(now, time_constant);
        general + weight / (weight + prior_weight) * (self.mean - general)
    }
}

/// Passes keys on as hashes, because they are digests.
#[derive(Clone, Copy, Debug, Default)]
struct Digest(u64);

impl hash::Hasher for Digest {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, number: u64) {
        self.0 = number;
    }
}

type Table = collections::HashMap<u64, Average, hash::BuildHasherDefault<Digest>>;

/// Averages by key that share a time constant.
#[derive(Clone, Debug)]
pub(super) struct Averages {
    time_constant: time::Duration,
    averages: Table,
}

impl Averages {
    pub(super) fn new(time_constant: time::Duration) -> Self {
        Self {
            time_constant,
            averages: Table::default(),
        }
    }

    /// Adds a sample to the average of `key`.
    pub(super) fn add(&mut self, now: clock::Instant, key: u64, value: f64, weight: f64) {
        if self.averages.len() >= MAX_AVERAGES && !self.averages.contains_key(&key) {
            let max_age = self.time_constant * MAX_AGE;
            self.averages
                .retain(|_, average| now.since(average.updated) < max_age);
            if self.averages.len() >= MAX_AVERAGES {
                return;
            }
        }
        let average = self.averages.entry(key).or_default();
        average.add(now, self.time_constant, value, weight);
    }

    /// Returns the average of `key`, and its weight as of `now`; none without a sample.
    pub(super) fn get(&self, now: clock::Instant, key: u64) -> Option<(Average, f64)> {
        let average = self.averages.get(&key)?;
        Some((*average, average.weight(now, self.time_constant)))
    }

    /// Returns `general`, moved towards the mean of `key` by as much as its samples weigh against `prior_weight`.
    pub(super) fn refine(
        &self,
        now: clock::Instant,
        key: u64,
        general: f64,
        prior_weight: f64,
    ) -> f64 {
        self.averages.get(&key).map_or(general, |average| {
            average.refine(now, self.time_constant, general, prior_weight)
        })
    }
}
