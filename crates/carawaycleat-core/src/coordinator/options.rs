use std::time;

/// Bounds and thresholds of the coordinator.
#[derive(Clone, Debug)]
pub struct Options {
    /// The window over which loads from the weight store are counted.
    pub load_window: time::Duration,
    /// The time between two probes of an engine.
    pub probe_interval: time::Duration,
    /// The age of an engine's report behind its state.
    pub report_lag: time::Duration,
    /// The time after which a host that has not reported counts as gone.
    pub host_timeout: time::Duration,
    /// The pressure of a model that gives a copy up, as a part of the pressure of the one that takes its place.
    pub eviction_pressure_ratio: f64,
    /// The time for which demand is observed before models are moved for it.
    pub observation_period: time::Duration,
    /// The bounds of the time without requests after which a model may be left on disk only, when others need its place.
    pub idle_timeout: std::ops::RangeInclusive<time::Duration>,
    /// The loads that the weight store allows in this time. A model that has made way may have to come back from there,
    /// so it makes way the later, the fewer loads there are.
    pub loads_per_idle_timeout: f64,
    /// The part of the slots in use from which a model's engines count as loaded.
    pub loaded_utilization: f64,
    /// The part of the slots in use from which a model's engines count as saturated.
    pub saturated_utilization: f64,
    /// The pause after an order that met another state than expected.
    pub conflict_backoff: time::Duration,
    /// Whether models are copied and moved as demand moves. Without that, only models that no engine holds are loaded.
    pub rebalances: bool,
    /// The least time between the arrival of a copy and its removal.
    pub min_residency: time::Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            load_window: time::Duration::from_secs(5),
            probe_interval: time::Duration::from_millis(500),
            // Engines report their state of some hundred milliseconds ago.
            report_lag: time::Duration::from_millis(350),
            host_timeout: time::Duration::from_millis(2_000),
            eviction_pressure_ratio: 0.5,
            observation_period: time::Duration::from_millis(1_000),
            idle_timeout: time::Duration::from_secs(3)..=time::Duration::from_secs(10),
            loads_per_idle_timeout: 14.0,
            loaded_utilization: 0.35,
            saturated_utilization: 0.8,
            rebalances: true,
            conflict_backoff: time::Duration::from_millis(120),
            min_residency: time::Duration::from_millis(1_500),
        }
    }
}
