use std::time;

use crate::admission;
use crate::rate;
use crate::routing;

/// Tunable parameters of an entry host.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Bounds and scheduling policy of the admission queue.
    pub admission: admission::Limits,
    /// Policy for choosing an upstream.
    pub routing: routing::Policy,
    /// Rules that keep the tokens spent by all hosts together within the rate.
    pub rate: rate::Options,
    /// Number of shards that each rate is divided into.
    pub shards: u32,
    /// Time for which a shard stays valid without a renewal.
    pub shard_validity: time::Duration,
    /// Longest time that a request waits for tokens before it is refused.
    pub max_token_wait: time::Duration,
    /// Whether the host borrows tokens from peers. Without borrowing, which serves as a baseline, it can only spend its
    /// own share of each rate.
    pub borrows: bool,
    /// Maximum number of requests of one workspace that wait for tokens.
    pub max_token_waiters: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            admission: admission::Limits::default(),
            routing: routing::Policy::default(),
            rate: rate::Options::GUARDED,
            shards: rate::DEFAULT_SHARDS,
            shard_validity: rate::DEFAULT_VALIDITY,
            // A late response is better than refusing a request within the rate. The deadline bounds the wait as well.
            max_token_wait: time::Duration::from_secs(2),
            borrows: true,
            max_token_waiters: 64,
        }
    }
}
