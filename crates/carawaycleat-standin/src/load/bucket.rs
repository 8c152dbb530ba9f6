use std::cmp;
use std::collections;
use std::time;

use super::sample;

/// One token bucket for a workspace over the whole fleet, which starts full.
///
/// It repeats a run in the order of intended starts and tells which refusals were within the rate.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    filled: time::Duration,
    refunds: collections::BinaryHeap<cmp::Reverse<(time::Duration, u64)>>,
}

impl Bucket {
    /// Returns a full bucket of `burst` tokens that gains `rate` tokens a second.
    pub fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            level: burst,
            filled: time::Duration::ZERO,
            refunds: collections::BinaryHeap::new(),
        }
    }

    fn fill(&mut self, now: time::Duration) {
        let seconds = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.level = (self.level + seconds * self.rate).min(self.burst);
    }

    /// Takes the next request, and returns whether the bucket has the tokens that it reserves.
    ///
    /// The reservation is taken in any case unless the fleet refused the request for its rate; what was not used is
    /// refunded at its end.
    pub fn admits(&mut self, sample: &sample::Sample) -> bool {
        while let Some(cmp::Reverse((end, tokens))) = self.refunds.peek().copied() {
            if end > sample.at {
                break;
            }
            self.refunds.pop();
            self.fill(end);
            self.level = (self.level + as_float(tokens)).min(self.burst);
        }
        self.fill(sample.at);
        let reserved = as_float(sample.reserved);
        let admits = self.level >= reserved;
        if !sample.ending.is_over_rate() {
            self.level -= reserved;
            let unused = sample.reserved.saturating_sub(sample.used);
            if unused > 0 {
                self.refunds.push(cmp::Reverse((sample.end, unused)));
            }
        }
        admits
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "tokens of a run stay below 2^53"
)]
pub(super) fn as_float(tokens: u64) -> f64 {
    tokens as f64
}
