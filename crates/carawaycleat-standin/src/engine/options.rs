use std::time;

use carawaycleat_core::resource;

use crate::weights;

/// The properties of an engine.
#[derive(Clone, Debug)]
pub struct Options {
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
    /// Whether loads wait for [`State::finish_load`](super::State::finish_load) instead of the rates of `site`.
    pub external_weights: bool,
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
            memory_bytes: 80 * GIGABYTE,
            max_batch: 32,
            step_base: time::Duration::from_millis(8),
            step_per_request: time::Duration::from_micros(250),
            prefill_per_token: time::Duration::from_micros(100),
            cache_blocks: 4_096,
            site: weights::Site::SAVANNAH,
            external_weights: false,
            unload_time: time::Duration::from_millis(20),
            fencing: resource::Fencing::Checked,
            checks_memory: true,
            state_lag: time::Duration::ZERO,
            cache_event_delay: time::Duration::ZERO,
            cache_event_gap: 0,
        }
    }
}
