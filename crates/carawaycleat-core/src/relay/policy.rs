use super::config;

/// How an upstream is selected among those with a free slot.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Routing {
    /// The lowest cost, from load, latency, failure rate and availability zone.
    #[default]
    Cost,
    /// The lowest load.
    LeastLoad,
    /// Each in turn.
    RoundRobin,
}

/// The order in which waiting requests are sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Queue {
    /// The earliest target time first, which depends on the latency objective and the priority.
    #[default]
    EarliestWanted,
    /// First in, first out.
    FirstIn,
}

/// The policies of an entry host. Those other than the defaults are baselines for measurements.
#[derive(Clone, Copy, Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// How an upstream is selected.
    pub routing: Routing,
    /// The order in which waiting requests are sent.
    pub queue: Queue,
    /// What the load is measured by; none to follow the configuration.
    pub balancing: Option<config::Balancing>,
}
