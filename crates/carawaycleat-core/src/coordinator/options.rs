use std::time;

use super::cold;

/// Limits and thresholds of the coordinator.
#[derive(Clone, Debug)]
pub struct Options {
    /// The window over which loads from the weight store are counted.
    pub load_window: time::Duration,
    /// The time between two probes of an engine.
    pub probe_interval: time::Duration,
    /// The time by which an engine's status lags behind its state.
    pub report_lag: time::Duration,
    /// The time without a report after which a host counts as lost.
    pub host_timeout: time::Duration,
    /// The highest demand per replica that a model may have after it lost a replica, relative to the demand per replica
    /// of the model that replaces it.
    pub max_evicted_demand_ratio: f64,
    /// The time for which demand is observed before replicas are added or moved for it.
    pub observation_period: time::Duration,
    /// The bounds of the time without requests after which the last replica of a model may be evicted, so that its
    /// weights are left on disk or in host memory only.
    pub idle_timeout: std::ops::RangeInclusive<time::Duration>,
    /// The number of loads that the weight store allows within the idle timeout. An evicted model may have to be loaded
    /// from there again, so the timeout is longer when the store allows fewer loads.
    pub loads_per_idle_timeout: f64,
    /// The fraction of slots in use from which a model's engines count as loaded.
    pub loaded_utilization: f64,
    /// The fraction of slots in use from which a model's engines count as saturated.
    pub saturated_utilization: f64,
    /// The time without orders to an engine after one met another state than expected.
    pub conflict_backoff: time::Duration,
    /// Whether replicas are added and moved as demand changes. Otherwise only models that no engine holds are loaded.
    pub rebalances: bool,
    /// Whether replicas follow spikes of demand where load is measured by work and loads are quick.
    pub follows_spikes: bool,
    /// The minimum time between the arrival of a replica and its eviction.
    pub min_residency: time::Duration,
    /// The requests that a cold upstream may get in a second.
    pub cold_bound: cold::Bound,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            load_window: time::Duration::from_secs(5),
            probe_interval: time::Duration::from_millis(500),
            // Engines report their state of some hundred milliseconds ago.
            report_lag: time::Duration::from_millis(350),
            host_timeout: time::Duration::from_millis(2_000),
            max_evicted_demand_ratio: 0.5,
            observation_period: time::Duration::from_millis(1_000),
            idle_timeout: time::Duration::from_secs(3)..=time::Duration::from_secs(10),
            loads_per_idle_timeout: 14.0,
            loaded_utilization: 0.35,
            saturated_utilization: 0.8,
            rebalances: true,
            // It serves more under failures and less under plain high load, so it is not in force without a policy file.
            follows_spikes: false,
            conflict_backoff: time::Duration::from_millis(120),
            min_residency: time::Duration::from_millis(1_500),
            cold_bound: cold::Bound::default(),
        }
    }
}
