use std::collections;
use std::time;

use crate::clock;
use crate::memory;
use crate::name;

/// The time after which the weight of an observation has decayed to 1/e.
const TIME_CONSTANT: time::Duration = time::Duration::from_secs(60);

/// A model or an adapter on top of it, in any version, for which demand is measured.
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

/// The demand for each model and adapter in tokens a second, as an exponentially weighted average over 60 s.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    rates: collections::BTreeMap<Subject, Rate>,
}

/// A rate that decays exponentially from the time of the last observation.
#[derive(Clone, Copy, Debug)]
struct Rate {
    tokens_per_second: f64,
    last_observed: clock::Instant,
}

impl Rate {
    fn decayed(&self, now: clock::Instant) -> f64 {
        let elapsed = now.since(self.last_observed).as_secs_f64();
        self.tokens_per_second * (-elapsed / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

impl Demand {
    /// Adds `tokens` that were requested of `subject` at `now`.
    pub fn observe(&mut self, now: clock::Instant, subject: &Subject, tokens: u64) {
        let added = tokens as f64 / TIME_CONSTANT.as_secs_f64();
        if let Some(rate) = self.rates.get_mut(subject) {
            rate.tokens_per_second = rate.decayed(now) + added;
            rate.last_observed = rate.last_observed.max(now);
        } else {
            let rate = Rate {
                tokens_per_second: added,
                last_observed: now,
            };
            self.rates.insert(subject.clone(), rate);
        }
    }

    /// Replaces the demand for `subject` by the rate that another host measured at its last request, at
    /// `last_observed`.
    pub fn set(
        &mut self,
        last_observed: clock::Instant,
        subject: &Subject,
        tokens_per_second: f64,
    ) {
        let rate = Rate {
            tokens_per_second,
            last_observed,
        };
        self.rates.insert(subject.clone(), rate);
    }

    /// Adds the demand that another host measured.
    pub fn add(&mut self, other: &Self) {
        for (subject, rate) in &other.rates {
            let own = self.rates.entry(subject.clone()).or_insert(Rate {
                tokens_per_second: 0.0,
                last_observed: rate.last_observed,
            });
            let last_observed = own.last_observed.max(rate.last_observed);
            own.tokens_per_second = own.decayed(last_observed) + rate.decayed(last_observed);
            own.last_observed = last_observed;
        }
    }

    /// Returns up to `count` subjects, each at most once, with the rate at the last request and the time of it.
    ///
    /// The subjects are ordered by name. The page starts with the one at the index `from`, modulo their number, and
    /// continues with the first after the last.
    pub fn page(
        &self,
        from: usize,
        count: usize,
    ) -> impl Iterator<Item = (&Subject, f64, clock::Instant)> {
        let from = from.checked_rem(self.rates.len()).unwrap_or(0);
        let rates = self.rates.iter().cycle().skip(from);
        let rates = rates.take(count.min(self.rates.len()));
        rates.map(|(subject, rate)| (subject, rate.tokens_per_second, rate.last_observed))
    }

    /// Returns the demand for `subject` at `now`, in tokens a second.
    pub fn rate(&self, now: clock::Instant, subject: &Subject) -> f64 {
        self.rates
            .get(subject)
            .map_or(0.0, |rate| rate.decayed(now))
    }

    /// Returns the time of the last request for `subject`, or none when there was none.
    pub fn last_observed(&self, subject: &Subject) -> Option<clock::Instant> {
        self.rates.get(subject).map(|rate| rate.last_observed)
    }
}
