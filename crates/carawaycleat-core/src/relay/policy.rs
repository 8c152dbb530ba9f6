/// How an upstream is chosen among those that have room.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Routing {
    /// By load, speed, failures and zone.
    #[default]
    Cost,
    /// By requests in progress alone.
    LeastLoad,
    /// One after the other.
    RoundRobin,
}

/// The order in which waiting requests are sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Queue {
    /// By when their answer is wanted.
    #[default]
    EarliestWanted,
    /// First in, first out.
    FirstIn,
}

/// The policies of an entry host. Others than the default ones are baselines for measurements.
#[derive(Clone, Copy, Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// How an upstream is chosen.
    pub routing: Routing,
    /// The order of waiting requests.
    pub queue: Queue,
}
