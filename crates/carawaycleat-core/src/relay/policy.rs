/// How an upstream is chosen among those that have room.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Routing {
    /// By load, speed, failures, zone and the likely content of the prompt cache.
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
    /// Those that can be on time before late ones, by when their answer is wanted.
    #[default]
    OnTimeFirst,
    /// First in, first out.
    FirstIn,
}

/// The policies of an entry host. Others than the default ones are baselines for measurements.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// How an upstream is chosen.
    pub routing: Routing,
    /// Whether a prompt prefers the upstream that is likely to have it in its cache.
    pub affinity: bool,
    /// The order of waiting requests.
    pub queue: Queue,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            routing: Routing::default(),
            affinity: true,
            queue: Queue::default(),
        }
    }
}
