use std::time;

/// Bounds and thresholds of the coordinator.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The window over which loads from the weight store are counted.
    pub load_window: time::Duration,
    /// The time between two probes of an engine.
    pub probe_interval: time::Duration,
    /// The age of an engine's report behind its state.
    pub report_lag: time::Duration,
    /// The time after which a host that has not reported counts as gone.
    pub host_silence: time::Duration,
    /// The pressure of a model that gives a copy up, as a part of the pressure of the one that takes its place.
    pub donor_pressure: f64,
    /// The time for which demand is observed before models are moved for it.
    pub observation: time::Duration,
    /// The bounds of the time without requests after which a model may be left on disk only, when others need its place.
    pub idle: std::ops::RangeInclusive<time::Duration>,
    /// The loads that the weight store allows in this time. A model that has made way may have to come back from there,
    /// so it makes way the later, the fewer loads there are.
    pub idle_loads: f64,
    /// The part of the slots in use from which a model's engines count as loaded.
    pub loaded: f64,
    /// The part of the slots in use from which a model's engines count as saturated.
    pub saturated: f64,
    /// The pause after an order that met another state than expected.
    pub conflict_pause: time::Duration,
    /// Whether models are copied and moved as demand moves. Without that, only models that no engine holds are loaded.
    pub moves: bool,
    /// The least time between the arrival of a copy and its removal.
    pub min_stay: time::Duration,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            load_window: time::Duration::from_secs(5),
            probe_interval: time::Duration::from_millis(500),
            // Engines report their state of some hundred milliseconds ago.
            report_lag: time::Duration::from_millis(350),
            host_silence: time::Duration::from_millis(2_000),
            donor_pressure: 0.5,
            observation: time::Duration::from_millis(1_000),
            idle: time::Duration::from_secs(3)..=time::Duration::from_secs(10),
            idle_loads: 14.0,
            loaded: 0.35,
            saturated: 0.8,
            moves: true,
            conflict_pause: time::Duration::from_millis(120),
            min_stay: time::Duration::from_millis(1_500),
        }
    }
}
