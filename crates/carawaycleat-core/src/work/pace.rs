use std::time;

use super::average;
use super::job;
use crate::clock;

/// The time constant of what is learned about a model, and about the usual speed of an upstream.
const SLOW_TIME_CONSTANT: time::Duration = time::Duration::from_secs(8);
/// The time constant of the present speed of an upstream. A host sees about eight events of an upstream per second, so that it
/// notices within 0.3 s that an upstream is slowed for half a second.
const FAST_TIME_CONSTANT: time::Duration = time::Duration::from_millis(700);
/// The samples that weigh as much as the more general estimate.
const PRIOR_WEIGHT: f64 = 2.0;
/// The samples of the present speed that weigh as much as the usual one. One late event, as after the prompt of another request,
/// moves the estimate by a quarter of its delay.
const FAST_PRIOR_WEIGHT: f64 = 3.0;
/// The milliseconds for a prompt token before any sample.
const DEFAULT_PROMPT_MS: f64 = 0.025;
/// The milliseconds for an event before any sample.
const DEFAULT_EVENT_MS: f64 = 45.0;
/// The longest time of one event that counts, in milliseconds. What takes longer is a fault of the connection or the upstream, which
/// ejections are for.
const MAX_EVENT_MS: f64 = 1_000.0;
/// The bounds of a sample of the time per prompt token, in milliseconds.
const PROMPT_MS_BOUNDS: (f64, f64) = (0.001, 1.0);
/// The prompt tokens from which the time to the first event shows how fast prompts are read.
const MIN_PROMPT_TOKENS: f64 = 128.0;
/// The prompt tokens of a sample with the weight 1.
const PROMPT_TOKENS_PER_SAMPLE: f64 = 512.0;
/// The largest ratio between an upstream and the mean.
const MAX_RATIO: f64 = 10.0;

/// Averages of one quantity by upstream and model.
#[derive(Clone, Debug)]
struct Series {
    /// What is assumed before any sample.
    default: f64,
    models: average::Averages,
    /// The usual ratio of an upstream to the mean of its model.
    usual: average::Averages,
    /// The present ratio of an upstream to its usual one.
    present: average::Averages,
    pairs: average::Averages,
}

impl Series {
    fn new(default: f64) -> Self {
        Self {
            default,
            models: average::Averages::new(SLOW_TIME_CONSTANT),
            usual: average::Averages::new(SLOW_TIME_CONSTANT),
            present: average::Averages::new(FAST_TIME_CONSTANT),
            pairs: average::Averages::new(SLOW_TIME_CONSTANT),
        }
    }

    /// Returns the value of a model at an upstream of the usual speed.
    fn reference(&self, now: clock::Instant, keys: &Keys) -> f64 {
        let general = self.models.refine(now, keys.service, self.default, 1.0);
        self.models.refine(now, keys.model, general, PRIOR_WEIGHT)
    }

    /// Returns the usual value of a model at an upstream.
    fn usual(&self, now: clock::Instant, keys: &Keys, ratio: f64) -> f64 {
        let ratio = self.usual.refine(now, keys.upstream, ratio, PRIOR_WEIGHT);
        let general = self.reference(now, keys) * ratio;
        self.pairs.refine(now, keys.pair, general, PRIOR_WEIGHT)
    }

    /// Returns the ratio of an upstream to others, 1 before any sample.
    fn ratio(&self, now: clock::Instant, keys: &Keys) -> f64 {
        let usual = self.usual.refine(now, keys.upstream, 1.0, PRIOR_WEIGHT);
        usual * self.present(now, keys)
    }

    fn present(&self, now: clock::Instant, keys: &Keys) -> f64 {
        self.present
            .refine(now, keys.upstream, 1.0, FAST_PRIOR_WEIGHT)
    }

    fn record(&mut self, now: clock::Instant, keys: &Keys, value: f64, weight: f64) {
        let bound = |ratio: f64| ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO);
        let usual = self.usual(now, keys, 1.0);
        self.present
            .add(now, keys.upstream, bound(value / usual), weight);
        let ratio = bound(value / self.reference(now, keys));
        self.usual.add(now, keys.upstream, ratio, weight);
        self.pairs.add(now, keys.pair, value, weight);
        // The sample is divided by the upstream's own ratio, so that the models of slow upstreams do not count as expensive.
        let ratio = self.usual.refine(now, keys.upstream, 1.0, PRIOR_WEIGHT);
        self.models.add(now, keys.model, value / ratio, weight);
        self.models.add(now, keys.service, value / ratio, weight);
    }
}

/// The keys of the averages that concern one model at one upstream.
#[derive(Clone, Copy, Debug)]
struct Keys {
    service: u64,
    model: u64,
    upstream: u64,
    pair: u64,
}

impl Keys {
    fn new(key: &job::Key<'_>) -> Self {
        let service = Some(key.service.as_str());
        let model = key.model.map(|name| name.as_str());
        let model = super::key(1, &[service, model]);
        let upstream = super::key(2, &[Some(key.upstream.as_str())]);
        Self {
            service: super::key(0, &[service]),
            model,
            upstream,
            pair: model.rotate_left(1) ^ upstream,
        }
    }
}

/// Learns what a prompt token and an event take at each upstream.
///
/// A model that was not seen at an upstream takes what it takes elsewhere, times the ratio of the upstream to others.
#[derive(Clone, Debug)]
pub struct Pace {
    prompts: Series,
    events: Series,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            prompts: Series::new(DEFAULT_PROMPT_MS),
            events: Series::new(DEFAULT_EVENT_MS),
        }
    }
}

impl Pace {
    /// Returns the milliseconds that an upstream takes for a prompt token and for an event of a model now. For a service without
    /// models the event is the whole response.
    #[must_use]
    pub fn get(&self, now: clock::Instant, key: &job::Key<'_>) -> (f64, f64) {
        let keys = Keys::new(key);
        let event_ms = self.events.usual(now, &keys, 1.0) * self.events.present(now, &keys);
        // An upstream that has read no prompts of this host is as fast with them as with events.
        let ratio = self.events.ratio(now, &keys);
        let prompt_ms = self.prompts.usual(now, &keys, ratio) * self.prompts.present(now, &keys);
        (prompt_ms, event_ms)
    }

    /// Records that `events` events of a stream took `elapsed`; or that a whole response took it.
    pub fn record_events(
        &mut self,
        now: clock::Instant,
        key: &job::Key<'_>,
        events: u64,
        elapsed: time::Duration,
    ) {
        if events == 0 {
            return;
        }
        let value = elapsed.as_secs_f64() * 1_000.0 / events as f64;
        let keys = Keys::new(key);
        let value = value.clamp(0.01, MAX_EVENT_MS);
        self.events.record(now, &keys, value, events.min(4) as f64);
    }

    /// Records that a prompt of `tokens` was read in `elapsed_ms`, without what waited before it.
    pub fn record_prompt(
        &mut self,
        now: clock::Instant,
        key: &job::Key<'_>,
        tokens: f64,
        elapsed_ms: f64,
    ) {
        if tokens < MIN_PROMPT_TOKENS {
            return;
        }
        let (least, most) = PROMPT_MS_BOUNDS;
        let value = (elapsed_ms / tokens).clamp(least, most);
        let weight = (tokens / PROMPT_TOKENS_PER_SAMPLE).min(4.0);
        let keys = Keys::new(key);
        self.prompts.record(now, &keys, value, weight);
    }
}
