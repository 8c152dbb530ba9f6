use std::time;

use crate::engine;
use crate::weights;

/// What a set-up consists of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The entry hosts.
    pub entries: usize,
    /// The model engines, each with a sidecar.
    pub engines: usize,
    /// The plain services, each with a sidecar.
    pub services: usize,
    /// The models.
    pub models: usize,
    /// The adapters, spread over the models.
    pub adapters: usize,
    /// The workspaces, each with one key.
    pub workspaces: usize,
    /// The rate of each workspace, in tokens per second.
    pub tokens_per_second: u64,
    /// The burst of each workspace, in tokens.
    pub burst_tokens: u64,
    /// The memory of each model, in bytes.
    pub model_bytes: u64,
    /// The memory of each adapter, in bytes.
    pub adapter_bytes: u64,
    /// The options of each engine.
    pub engine: engine::Options,
    /// The loads a second of the weight store.
    pub loads_per_second: f64,
    /// The loads at the same time at full speed.
    pub loads_in_flight: u32,
    /// The time between two reports of a sidecar, in milliseconds.
    pub report_ms: u64,
    /// How long an order of a sidecar's predecessor may still land, in milliseconds.
    pub order_settle_ms: u64,
    /// How long a stopping process still answers new requests, in milliseconds.
    pub drain_delay_ms: u64,
    /// The longest wait for a condition.
    pub patience: time::Duration,
}

const GIGABYTE: u64 = 1_000_000_000;

impl Default for Plan {
    /// Returns a small set-up whose weight store is fast, so that it is ready within a few seconds.
    fn default() -> Self {
        let site = weights::Site {
            loads_per_second: 100.0,
            loads_in_flight: 20,
            ..weights::Site::SAVANNAH
        };
        Self {
            entries: 2,
            engines: 2,
            services: 1,
            models: 3,
            adapters: 2,
            workspaces: 2,
            tokens_per_second: 20_000,
            burst_tokens: 40_000,
            model_bytes: 16 * GIGABYTE,
            adapter_bytes: GIGABYTE / 2,
            engine: engine::Options {
                site,
                ..engine::Options::default()
            },
            loads_per_second: 100.0,
            loads_in_flight: 20,
            report_ms: 100,
            order_settle_ms: 200,
            drain_delay_ms: 200,
            patience: time::Duration::from_secs(30),
        }
    }
}
