use std::time;

use crate::clock;

const MEMORY: time::Duration = time::Duration::from_secs(5);
const MIN_BUSY: time::Duration = time::Duration::from_millis(500);
const MAX_AGE: time::Duration = time::Duration::from_secs(60);

/// Measures the service rate in tokens a second.
///
/// Only time in which requests wait is counted: without waiting requests the rate shows the demand and not what
/// the upstreams can do.
#[derive(Clone, Debug, Default)]
pub(super) struct Meter {
    tokens: f64,
    busy_seconds: f64,
    busy_since: Option<clock::Instant>,
    last_busy: clock::Instant,
}

impl Meter {
    /// Notes whether requests wait from `now` on.
    pub(super) fn set_busy(&mut self, now: clock::Instant, busy: bool) {
        self.advance(now);
        if busy {
            self.busy_since.get_or_insert(now);
        } else {
            self.busy_since = None;
        }
    }

    /// Counts tokens that were served.
    pub(super) fn served(&mut self, now: clock::Instant, tokens: u64) {
        self.advance(now);
        if self.busy_since.is_some() {
            self.tokens += tokens as f64;
        }
    }

    /// Returns the rate, or none when too little or nothing recent was measured.
    pub(super) fn rate(&self, now: clock::Instant) -> Option<f64> {
        let current = self
            .busy_since
            .map_or(0.0, |since| now.since(since).as_secs_f64());
        let busy = self.busy_seconds + current;
        let is_measured = busy >= MIN_BUSY.as_secs_f64() && self.tokens > 0.0;
        (is_measured && self.is_recent(now)).then(|| self.tokens / busy)
    }

    /// Returns whether requests wait or waited a short time ago.
    pub(super) fn is_recent(&self, now: clock::Instant) -> bool {
        self.busy_since.is_some() || now.since(self.last_busy) < MAX_AGE
    }

    fn advance(&mut self, now: clock::Instant) {
        let Some(since) = self.busy_since else { return };
        let passed = now.since(since).as_secs_f64();
        let keep = (-passed / MEMORY.as_secs_f64()).exp();
        self.tokens *= keep;
        self.busy_seconds = self.busy_seconds * keep + passed;
        self.busy_since = Some(now.max(since));
        self.last_busy = now.max(since);
    }
}
