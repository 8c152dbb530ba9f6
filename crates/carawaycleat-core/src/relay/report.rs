use crate::name;

/// What a host's callers ask of a model or adapter.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Demand {
    /// The service.
    pub service: name::Name,
    /// The model.
    pub model: name::Name,
    /// The adapter on top of it.
    pub adapter: Option<name::Name>,
    /// The tokens of the answers asked for since the last report.
    pub tokens: u64,
    /// The requests that wait because no upstream holds it.
    pub waiting: u32,
}

/// What an entry host tells the coordinator.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Report {
    /// The host.
    pub host: name::Name,
    /// The number of the report, counted by its host.
    pub number: u64,
    /// Whether the answer is to tell about all engines.
    pub full: bool,
    /// The tokens of each request that waits for tokens of its workspace.
    pub token_requests: Vec<(name::Name, u64)>,
    /// The time that the counts cover, in milliseconds.
    pub interval_ms: u64,
    /// What is asked for.
    pub demands: Vec<Demand>,
    /// The requests in progress by upstream.
    pub running: Vec<(name::Name, u32)>,
    /// The tokens that each workspace asked for since the last report, refused ones included.
    pub usage: Vec<(name::Name, u64)>,
    /// Upstreams that have not answered lately.
    pub suspects: Vec<name::Name>,
}
