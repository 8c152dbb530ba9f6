use crate::admission;
use crate::freshness;
use crate::name;

/// Status of an entry host as shown to operators.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Status {
    /// Name of the host.
    pub host: name::Name,
    /// Revision of the configuration that is in force.
    pub revision: u64,
    /// Freshness of the cached configuration.
    pub freshness: freshness::State,
    /// Time since the last contact with the store, in milliseconds; none before the first contact.
    pub store_age_ms: Option<u64>,
    /// Number of shards of each rate that the host may spend.
    pub shards_held: u32,
    /// Number of shards that each rate is divided into.
    pub shards_total: u32,
    /// Number of requests that have not ended.
    pub requests: usize,
    /// Number of requests that wait for an upstream.
    pub waiting: usize,
    /// Number of requests of each class that wait for an upstream.
    pub queued: admission::Lengths,
    /// Number of attempts that run at an upstream.
    pub running: usize,
    /// Keys of the store whose values could not be parsed, each with the error.
    pub problems: Vec<String>,
}
