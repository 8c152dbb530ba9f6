use std::net;
use std::time;

use carawaycleat_core::resource;

use crate::weights;

/// The properties of an engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address to listen on; only for [`Engine`](super::Engine).
    pub listen: net::SocketAddr,
    /// The weight store to load from. Without one, loads run at the rates of `site`. The state machine returns the
    /// loads from [`State::take_fetches`](super::State::take_fetches).
    pub weights: Option<net::SocketAddr>,
    /// The accelerator memory for models and adapters, in bytes. The prefix cache has its own memory.
    pub memory_bytes: u64,
    /// The requests that run at once.
    pub max_batch: usize,
    /// The time of a decode step without requests.
    pub step_base: time::Duration,
    /// The time that each running request adds to a step.
    pub step_per_request: time::Duration,
    /// The time to prefill one prompt token that is not in the cache.
    pub prefill_per_token: time::Duration,
    /// The memory of the prefix cache, in blocks of [`BLOCK_TOKENS`](super::BLOCK_TOKENS).
    pub cache_blocks: usize,
    /// The rates of loads when no weight store is asked.
    pub site: weights::Site,
    /// The time from an unload order until the memory is free.
    pub unload_time: time::Duration,
    /// Whether orders with an old fencing number are refused.
    pub fencing: resource::Fencing,
    /// Whether an order that exceeds the memory is refused; if not, the engine records the overcommit.
    pub checks_memory: bool,
    /// The age of the reported state.
    pub state_lag: time::Duration,
    /// The time until a cache event is published.
    pub cache_event_delay: time::Duration,
    /// Each event whose number is a multiple of this is never published; 0 publishes all.
    pub cache_event_gap: u64,
}

const GIGABYTE: u64 = 1_000_000_000;

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: ([127, 0, 0, 1], 0).into(),
            weights: None,
            memory_bytes: 80 * GIGABYTE,
            max_batch: 32,
            step_base: time::Duration::from_millis(8),
            step_per_request: time::Duration::from_micros(250),
            prefill_per_token: time::Duration::from_micros(100),
            cache_blocks: 4_096,
            site: weights::Site::SAVANNAH,
            unload_time: time::Duration::from_millis(20),
            fencing: resource::Fencing::Checked,
            checks_memory: true,
            state_lag: time::Duration::ZERO,
            cache_event_delay: time::Duration::ZERO,
            cache_event_gap: 0,
        }
    }
}
