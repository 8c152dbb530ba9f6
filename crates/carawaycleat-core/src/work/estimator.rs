use std::time;

use super::average;
use super::job;
use crate::clock;

/// The time constant of what is learned about the length of responses. At 20 streams per second and host, a route has some
/// hundred samples within it.
const TIME_CONSTANT: time::Duration = time::Duration::from_secs(10);
/// The samples of a more specific key that weigh as much as the estimate of the more general one.
const PRIOR_WEIGHT: f64 = 3.0;
/// The number of events that is assumed before any sample of a request without a maximum.
const DEFAULT_EVENTS: f64 = 16.0;
/// The fraction of the named maximum that is assumed before any sample.
const DEFAULT_FRACTION: f64 = 0.6;
/// The tokens of an event that are assumed before any sample.
const DEFAULT_TOKENS_PER_EVENT: f64 = 8.0;
/// The events from which a stream shows how many tokens one holds. The last one of a short stream may be partly filled.
const MIN_EVENTS_FOR_TOKENS: f64 = 4.0;
/// The part by which the tokens per event rise towards a stream that ended before its maximum. Only streams that reach their
/// maximum show the tokens per event, so the lowest recent ratio counts.
const TOKENS_RISE: f64 = 0.002;

/// The expected number of events of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The expected number of events to come.
    pub events: f64,
    /// The mean of the absolute differences from it.
    pub spread: f64,
}

impl Estimate {
    /// The estimate for a response that is no stream.
    pub const SINGLE: Self = Self {
        events: 1.0,
        spread: 0.0,
    };

    /// Returns the events to come after `done` of them. A response that is longer than expected goes on for about the spread.
    #[must_use]
    pub fn after(self, done: f64) -> Self {
        let least = (self.spread / 2.0).max(1.0);
        Self {
            events: (self.events - done).max(least),
            spread: self.spread,
        }
    }
}

/// Learns how many events responses have.
///
/// Two predictors compete for each combination of names: the mean number of events, and the mean fraction of the maximum that
/// requests name. The one with the smaller recent error counts.
#[derive(Clone, Debug)]
pub struct Estimator {
    events: average::Averages,
    /// The events per token of the named maximum.
    fractions: average::Averages,
    event_errors: average::Averages,
    fraction_errors: average::Averages,
    tokens_per_event: Option<f64>,
}

impl Default for Estimator {
    fn default() -> Self {
        let averages = || average::Averages::new(TIME_CONSTANT);
        Self {
            events: averages(),
            fractions: averages(),
            event_errors: averages(),
            fraction_errors: averages(),
            tokens_per_event: None,
        }
    }
}

impl Estimator {
    /// Returns the tokens that one event holds.
    #[must_use]
    pub fn tokens_per_event(&self) -> f64 {
        self.tokens_per_event.unwrap_or(DEFAULT_TOKENS_PER_EVENT)
    }

    /// Returns the expected number of events of a response of at most `max_tokens`. Starts from the service and the route, and
    /// follows more specific combinations as far as there are samples.
    #[must_use]
    pub fn expect(
        &self,
        now: clock::Instant,
        subject: &job::Subject<'_>,
        max_tokens: Option<u64>,
    ) -> Estimate {
        let max_events = max_tokens.map(|tokens| {
            let events = (tokens as f64 / self.tokens_per_event()).ceil();
            events.max(1.0)
        });
        let events = max_events.map_or(DEFAULT_EVENTS, |events| events * DEFAULT_FRACTION);
        let mut estimate = Estimate {
            events,
            spread: events / 2.0,
        };
        for key in levels(subject) {
            let Some((value, spread, weight)) = self.predict(now, key, max_tokens) else {
                continue;
            };
            let share = weight / (weight + PRIOR_WEIGHT);
            estimate.events += share * (value - estimate.events);
            estimate.spread += share * (spread - estimate.spread);
        }
        let most = max_events.unwrap_or(f64::INFINITY);
        Estimate {
            events: estimate.events.clamp(1.0, most),
            spread: estimate.spread,
        }
    }

    /// Returns the events, the spread and the weight of the better predictor of one combination; none without samples.
    fn predict(
        &self,
        now: clock::Instant,
        key: u64,
        max_tokens: Option<u64>,
    ) -> Option<(f64, f64, f64)> {
        let (events, weight) = self.events.get(now, key)?;
        let mean = (events.mean(), events.spread(), weight);
        let fraction = max_tokens.and_then(|max| Some((max, self.fractions.get(now, key)?)));
        let Some((max, (fraction, fraction_weight))) = fraction else {
            return Some(mean);
        };
        let error =
            |errors: &average::Averages| errors.get(now, key).map(|(error, _)| error.mean());
        match (error(&self.fraction_errors), error(&self.event_errors)) {
            (Some(by_fraction), Some(by_events)) if by_fraction < by_events => {
                let value = fraction.mean() * max as f64;
                Some((value, by_fraction, fraction_weight))
            }
            _ => Some(mean),
        }
    }

    /// Records a complete stream of `events` events.
    pub fn record(
        &mut self,
        now: clock::Instant,
        subject: &job::Subject<'_>,
        max_tokens: Option<u64>,
        events: u64,
    ) {
        let events = events as f64;
        let max = max_tokens.filter(|max| *max > 0).map(|max| max as f64);
        if let Some(max) = max.filter(|_| events >= MIN_EVENTS_FOR_TOKENS) {
            let ratio = (max / events).max(1.0);
            let known = self.tokens_per_event.get_or_insert(ratio);
            *known = ratio.min(*known + TOKENS_RISE * (ratio - *known));
        }
        for key in levels(subject) {
            if let Some((average, _)) = self.events.get(now, key) {
                let error = (events - average.mean()).abs();
                self.event_errors.add(now, key, error, 1.0);
            }
            self.events.add(now, key, events, 1.0);
            let Some(max) = max else {
                continue;
            };
            if let Some((average, _)) = self.fractions.get(now, key) {
                let error = (events - average.mean() * max).abs();
                self.fraction_errors.add(now, key, error, 1.0);
            }
            self.fractions.add(now, key, events / max, 1.0);
        }
    }
}

/// Returns the keys of a subject from the general to the specific.
fn levels(subject: &job::Subject<'_>) -> [u64; 4] {
    let service = Some(subject.service.as_str());
    let route = Some(subject.route.as_str());
    let model = subject.model.map(|name| name.as_str());
    let adapter = subject.adapter.map(|name| name.as_str());
    let workspace = subject.workspace.map(|name| name.as_str());
    [
        super::key(0, &[service, route]),
        super::key(1, &[service, route, model]),
        super::key(2, &[service, route, workspace]),
        super::key(3, &[service, route, model, adapter, workspace]),
    ]
}
