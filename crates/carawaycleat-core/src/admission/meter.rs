use std::time;

use crate::clock;

/// The time constant of the exponential decay of earlier measurements.
const TIME_CONSTANT: time::Duration = time::Duration::from_secs(5);
/// The minimum busy time behind a valid rate.
const MIN_BUSY: time::Duration = time::Duration::from_millis(500);
/// The age from which a measurement is no longer valid.
const MAX_AGE: time::Duration = time::Duration::from_secs(60);

/// Measures the service rate, in tokens per second.
///
/// Only time during which requests are queued counts. Without queued requests the rate would show the demand rather
/// than the capacity of the upstreams.
#[derive(Clone, Debug, Default)]
pub(super) struct Meter {
    tokens: f64,
    busy_seconds: f64,
    /// The time up to which the current busy period has been counted; none while no requests are queued.
    counted_until: Option<clock::Instant>,
    last_busy_at: clock::Instant,
}

impl Meter {
    /// Sets whether requests are queued from `now` on.
    pub(super) fn set_busy(&mut self, now: clock::Instant, is_busy: bool) {
        self.advance(now);
        if is_busy {
            self.counted_until.get_or_insert(now);
        } else {
            self.counted_until = None;
        }
    }

    /// Counts served tokens, if requests are queued.
    pub(super) fn record_served(&mut self, now: clock::Instant, tokens: u64) {
        self.advance(now);
        if self.counted_until.is_some() {
            self.tokens += tokens as f64;
        }
    }

    /// Returns the rate, or none when the measurement is too short or too old.
    pub(super) fn rate(&self, now: clock::Instant) -> Option<f64> {
        let current = self
            .counted_until
            .map_or(0.0, |since| now.since(since).as_secs_f64());
        let busy = self.busy_seconds + current;
        let is_measured = busy >= MIN_BUSY.as_secs_f64() && self.tokens > 0.0;
        (is_measured && self.is_recent(now)).then(|| self.tokens / busy)
    }

    /// Returns whether requests are queued, or were within [`MAX_AGE`].
    pub(super) fn is_recent(&self, now: clock::Instant) -> bool {
        self.counted_until.is_some() || now.since(self.last_busy_at) < MAX_AGE
    }

    fn advance(&mut self, now: clock::Instant) {
        let Some(since) = self.counted_until else {
            return;
        };
        let elapsed = now.since(since).as_secs_f64();
        let decay = (-elapsed / TIME_CONSTANT.as_secs_f64()).exp();
        self.tokens *= decay;
        self.busy_seconds = self.busy_seconds * decay + elapsed;
        self.counted_until = Some(now.max(since));
        self.last_busy_at = now.max(since);
    }
}
