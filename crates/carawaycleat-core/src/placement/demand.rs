use std::collections;
use std::time;

use crate::clock;
use crate::memory;
use crate::name;

/// The time in which the weight of an observation falls to 1/e.
const TIME_CONSTANT: time::Duration = time::Duration::from_secs(60);

/// What demand is measured for: a model or an adapter on top of it, whatever the version.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Subject {
    /// The model.
    pub model: name::Name,
    /// The adapter, or none for requests to the model itself.
    pub adapter: Option<name::Name>,
}

impl From<&memory::Id> for Subject {
    fn from(id: &memory::Id) -> Self {
        Self {
            model: id.model.clone(),
            adapter: id.adapter.clone(),
        }
    }
}

/// The demand for each model and adapter in tokens a second, exponentially weighted over 60 s.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    rates: collections::BTreeMap<Subject, Rate>,
}

#[derive(Clone, Copy, Debug)]
struct Rate {
    tokens_per_second: f64,
    at: clock::Instant,
}

impl Rate {
    fn at(&self, now: clock::Instant) -> f64 {
        let elapsed = now.since(self.at).as_secs_f64();
        self.tokens_per_second * (-elapsed / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

impl Demand {
    /// Counts `tokens` that were asked of `subject`.
    pub fn observe(&mut self, now: clock::Instant, subject: &Subject, tokens: u64) {
        let added = tokens as f64 / TIME_CONSTANT.as_secs_f64();
        if let Some(rate) = self.rates.get_mut(subject) {
            rate.tokens_per_second = rate.at(now) + added;
            rate.at = rate.at.max(now);
        } else {
            let rate = Rate {
                tokens_per_second: added,
                at: now,
            };
            self.rates.insert(subject.clone(), rate);
        }
    }

    /// Replaces the demand for `subject` by what another host measured when it was last asked for it, at `at`.
    pub fn set(&mut self, at: clock::Instant, subject: &Subject, tokens_per_second: f64) {
        let rate = Rate {
            tokens_per_second,
            at,
        };
        self.rates.insert(subject.clone(), rate);
    }

    /// Adds the demand that another host has seen.
    pub fn add(&mut self, other: &Self) {
        for (subject, rate) in &other.rates {
            let own = self.rates.entry(subject.clone()).or_insert(Rate {
                tokens_per_second: 0.0,
                at: rate.at,
            });
            let at = own.at.max(rate.at);
            own.tokens_per_second = own.at(at) + rate.at(at);
            own.at = at;
        }
    }

    /// Returns up to `count` subjects in the order of their names, beginning with the one at place `from` modulo their
    /// number, with the demand when each was last asked for and that time.
    pub fn page(
        &self,
        from: usize,
        count: usize,
    ) -> impl Iterator<Item = (&Subject, f64, clock::Instant)> {
        let from = from.checked_rem(self.rates.len()).unwrap_or(0);
        let rates = self.rates.iter().cycle().skip(from);
        let rates = rates.take(count.min(self.rates.len()));
        rates.map(|(subject, rate)| (subject, rate.tokens_per_second, rate.at))
    }

    /// Returns the demand for `subject`, in tokens a second.
    pub fn rate(&self, now: clock::Instant, subject: &Subject) -> f64 {
        self.rates.get(subject).map_or(0.0, |rate| rate.at(now))
    }

    /// Returns when `subject` was last asked for.
    pub fn last_observed(&self, subject: &Subject) -> Option<clock::Instant> {
        self.rates.get(subject).map(|rate| rate.at)
    }
}
