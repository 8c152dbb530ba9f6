use std::collections;
use std::time;

const SAMPLES: usize = 64;
/// Without a sample the limit is at most the floor times 2 to this power.
const MAX_COLD_STALLS: u32 = 3;
const FIRST_TOKEN_FACTOR: u32 = 8;
const GAP_FACTOR: u32 = 20;
const GAP_SMOOTHING: u32 = 16;

/// The times that the answers of one model or service usually take.
#[derive(Clone, Debug, Default)]
pub(super) struct Latency {
    first_tokens: collections::VecDeque<time::Duration>,
    gap: Option<time::Duration>,
    /// The checks that found a stall before the first sample.
    cold_stalls: u32,
}

impl Latency {
    pub(super) fn add_first_token(&mut self, sample: time::Duration) {
        if self.first_tokens.len() == SAMPLES {
            self.first_tokens.pop_front();
        }
        self.first_tokens.push_back(sample);
    }

    /// Notes that a check found requests without a first token.
    ///
    /// Until there is a sample each such check doubles the limit: a model whose every first token takes longer than the
    /// floor could otherwise never show that it is slow. Later one faulty upstream must not raise the limit for all.
    pub(super) fn add_stall(&mut self) {
        self.cold_stalls = (self.cold_stalls + 1).min(MAX_COLD_STALLS);
    }

    pub(super) fn add_gap(&mut self, sample: time::Duration) {
        self.gap = Some(self.gap.map_or(sample, |gap| {
            (gap * (GAP_SMOOTHING - 1) + sample) / GAP_SMOOTHING
        }));
    }

    /// Returns the time within which 95 in 100 first tokens arrive, or none without a sample.
    pub(super) fn first_token_p95(&self) -> Option<time::Duration> {
        let mut sorted: Vec<_> = self.first_tokens.iter().copied().collect();
        sorted.sort_unstable();
        let rank = (sorted.len() * 95).div_ceil(100);
        sorted.get(rank.checked_sub(1)?).copied()
    }

    pub(super) fn first_token_limit(&self, floor: time::Duration) -> time::Duration {
        match self.first_token_p95() {
            Some(usual) => floor.max(usual * FIRST_TOKEN_FACTOR),
            None => floor * (1 << self.cold_stalls),
        }
    }

    pub(super) fn gap_limit(&self, floor: time::Duration) -> time::Duration {
        floor.max(self.gap.unwrap_or_default() * GAP_FACTOR)
    }
}
