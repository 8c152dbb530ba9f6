use super::traffic;
use crate::connection;
use crate::name;

/// The demand for a model or adapter at one host.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Demand {
    /// The service.
    pub service: name::Name,
    /// The model.
    pub model: name::Name,
    /// The adapter; none for the model alone.
    pub adapter: Option<name::Name>,
    /// The output tokens requested since the last report, with prompt tokens converted to output tokens.
    pub tokens: u64,
    /// The requests that wait for an upstream.
    pub waiting: u32,
    /// The requests by number, urgency and duration; empty from a host of an earlier version.
    #[serde(default)]
    pub traffic: traffic::Traffic,
}

impl Demand {
    /// Returns whether it only says that earlier requests have ended, so that nothing is asked for.
    pub(crate) fn is_end_of_requests(&self) -> bool {
        let ended = self.traffic.completed > 0 && self.traffic.arrivals == 0;
        ended && self.tokens == 0 && self.waiting == 0
    }
}

/// The limit on requests of an upstream, as one host knows it.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Limit {
    /// The upstream.
    pub upstream: name::Name,
    /// The requests per second of all hosts together; none when the last response named no limit any more.
    pub rate: Option<f64>,
    /// The milliseconds since the response that says so.
    pub age_ms: u64,
    /// The requests sent to it since the host learned of the limit.
    pub sent: u64,
    /// The requests of this host that wait for an upstream of a service without models, divided among those with a
    /// limit.
    pub waiting: u32,
}

/// The requests of one host to a cold upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ColdUpstream {
    /// The upstream.
    pub upstream: name::Name,
    /// The requests sent to it since this host learned of it.
    pub sent: u64,
    /// The requests of this host that wait for an upstream of a service without models, divided among those that limit
    /// requests.
    pub waiting: u32,
    /// The milliseconds for which it is still cold, as a recent response has named; 0 when none has.
    pub named_ms: u64,
}

/// What one host knows of cold upstreams and of the coordinator's permits for them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Colds {
    /// Identifies the process of the host: its reports are numbered from 1.
    pub process: u64,
    /// The fencing token of the coordinator that sent the last view with permits.
    pub epoch: u64,
    /// The number of the report that this view responded to; 0 before the first one.
    pub held: u64,
    /// The cold upstreams.
    pub upstreams: Vec<ColdUpstream>,
}

/// The state of an entry host, as sent to the coordinator.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Report {
    /// The host.
    pub host: name::Name,
    /// The sequence number of the report at its host.
    pub number: u64,
    /// Whether the view sent in response covers all engines.
    pub full: bool,
    /// The workspace and cost in tokens of each request that waits for tokens, in order of arrival.
    pub token_requests: Vec<(name::Name, u64)>,
    /// The time since the last report in milliseconds, which the counts cover.
    pub interval_ms: u64,
    /// The demand for models and adapters.
    pub demands: Vec<Demand>,
    /// The requests of this host in progress, by upstream.
    pub running: Vec<(name::Name, u32)>,
    /// The tokens requested since the last report by workspace, including those of refused requests.
    pub usage: Vec<(name::Name, u64)>,
    /// The upstreams that this host has ejected, except those that have only been silent for a short time.
    pub suspects: Vec<name::Name>,
    /// The limits on requests that upstreams have named.
    pub limits: Vec<Limit>,
    /// The upstreams that have said in a response that they leave, each with the start of its process.
    pub leaving: Vec<(name::Name, u64)>,
    /// The availability zone of the host.
    pub zone: name::Name,
    /// The requests of callers per second.
    pub requests_per_second: f64,
    /// Whether the host takes no new connections any more.
    pub stopping: bool,
    /// The cold upstreams.
    #[serde(default)]
    pub colds: Colds,
    /// The availability zones whose evacuation the host applies.
    #[serde(default)]
    pub evacuated: Vec<name::Name>,
    /// The remaining work of this host's requests by upstream in milliseconds: that of unread prompts, and the whole. Empty where
    /// requests are counted.
    #[serde(default)]
    pub work: Vec<(name::Name, u32, u32)>,
    /// The connections that the host holds and wants, where that is more than every host has.
    #[serde(default)]
    pub connections: Vec<connection::Use>,
}
