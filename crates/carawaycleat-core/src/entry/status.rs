use crate::admission;
use crate::freshness;
use crate::name;

/// What operators see of an entry host.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Status {
    /// The host.
    pub host: name::Name,
    /// The applied revision of the configuration.
    pub revision: u64,
    /// How far the copy of the configuration can be relied on.
    pub freshness: freshness::State,
    /// The age of the last store contact, in milliseconds.
    pub store_age_ms: Option<u64>,
    /// The shards of the rates that the host may spend.
    pub shards_held: u32,
    /// The number of shards that each rate is divided into.
    pub shards_total: u32,
    /// The requests that have not ended.
    pub requests: usize,
    /// The requests that wait for an upstream.
    pub waiting: usize,
    /// The requests of each class that wait for an upstream.
    pub queued: admission::Lengths,
    /// The requests that an upstream runs.
    pub running: usize,
    /// Keys of the store whose value could not be read, each with the reason.
    pub problems: Vec<String>,
}
