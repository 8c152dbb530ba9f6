use std::collections;
use std::time;

/// The number of first-token samples that are kept.
const MAX_SAMPLES: usize = 64;
/// Without a sample the timeout is at most the minimum timeout times 2 to this power.
const MAX_COLD_STALLS: u32 = 3;
/// The timeout of the first token, as a multiple of its 95th percentile.
const FIRST_TOKEN_FACTOR: u32 = 8;
/// The timeout of a gap between tokens, as a multiple of its moving average.
const GAP_FACTOR: u32 = 20;
/// A new gap has a weight of 1 in this number in the moving average.
const GAP_SMOOTHING: u32 = 16;

/// The observed latencies of one model or service, and the timeouts that follow from them.
#[derive(Clone, Debug, Default)]
pub(super) struct Latency {
    first_tokens: collections::VecDeque<time::Duration>,
    /// The moving average of the gaps between tokens.
    mean_gap: Option<time::Duration>,
    /// The number of checks that found a stall before the first sample.
    cold_stalls: u32,
}

impl Latency {
    pub(super) fn add_first_token(&mut self, sample: time::Duration) {
        if self.first_tokens.len() == MAX_SAMPLES {
            self.first_tokens.pop_front();
        }
        self.first_tokens.push_back(sample);
    }

    /// Records that a check found stalled requests that had not received a first token.
    ///
    /// Until there is a sample, each such check doubles the timeout. Otherwise a model whose first tokens always take
    /// longer than the minimum timeout would never provide a sample. Once there are samples, stalls have no effect, so
    /// that one faulty upstream does not raise the timeout for all.
    pub(super) fn add_stall(&mut self) {
        self.cold_stalls = (self.cold_stalls + 1).min(MAX_COLD_STALLS);
    }

    pub(super) fn add_gap(&mut self, sample: time::Duration) {
        self.mean_gap = Some(self.mean_gap.map_or(sample, |mean| {
            (mean * (GAP_SMOOTHING - 1) + sample) / GAP_SMOOTHING
        }));
    }

    /// Returns the 95th percentile of the time to the first token, or none without a sample.
    pub(super) fn first_token_p95(&self) -> Option<time::Duration> {
        let mut sorted: Vec<_> = self.first_tokens.iter().copied().collect();
        sorted.sort_unstable();
        let rank = (sorted.len() * 95).div_ceil(100);
        sorted.get(rank.checked_sub(1)?).copied()
    }

    pub(super) fn first_token_timeout(&self, min_timeout: time::Duration) -> time::Duration {
        match self.first_token_p95() {
            Some(p95) => min_timeout.max(p95 * FIRST_TOKEN_FACTOR),
            None => min_timeout * (1 << self.cold_stalls),
        }
    }

    pub(super) fn gap_timeout(&self, min_timeout: time::Duration) -> time::Duration {
        min_timeout.max(self.mean_gap.unwrap_or_default() * GAP_FACTOR)
    }
}
