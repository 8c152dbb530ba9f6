use std::time;

use crate::admission;
use crate::rate;
use crate::routing;

/// The rules of an entry host as plain values.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The bounds and the policy of the queue.
    pub admission: admission::Limits,
    /// The rules for choosing an upstream.
    pub routing: routing::Policy,
    /// The rules that keep the tokens of all hosts within the rate.
    pub rate: rate::Rules,
    /// The number of shards that each rate is divided into.
    pub shards: u32,
    /// The time for which a shard is valid without a renewal.
    pub shard_validity: time::Duration,
    /// The longest time that a request waits for tokens before it is refused.
    pub max_token_wait: time::Duration,
    /// Whether tokens are asked of peers. A host that asks none only has its own part of each rate; a baseline.
    pub borrows: bool,
    /// The most requests of one workspace that wait for tokens.
    pub max_token_waiters: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            admission: admission::Limits::default(),
            routing: routing::Policy::default(),
            rate: rate::Rules::GUARDED,
            shards: rate::SHARDS,
            shard_validity: rate::VALIDITY,
            // A late answer is better than a refusal within the rate; the deadline bounds the wait as well.
            max_token_wait: time::Duration::from_secs(2),
            borrows: true,
            max_token_waiters: 64,
        }
    }
}
