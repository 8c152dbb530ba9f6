use crate::balance;
use crate::connection;
use crate::name;

/// The coordinator's state of an engine, as sent to one host.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct EngineView {
    /// The engine.
    pub upstream: name::Name,
    /// The models that it holds.
    pub models: Vec<name::Name>,
    /// The models that are being loaded, with the milliseconds left.
    pub loading: Vec<(name::Name, u64)>,
    /// The models that are being unloaded.
    pub unloading: Vec<name::Name>,
    /// The adapters that it holds, as pairs of model and adapter.
    pub adapters: Vec<(name::Name, name::Name)>,
    /// The requests of the other hosts in progress.
    pub other_requests: u32,
    /// The further requests that this host may send before the next view, in addition to one for each that ends.
    pub usable_slots: u32,
    /// The time for the unread prompts of the other hosts' requests, in milliseconds.
    #[serde(default)]
    pub other_prompt_ms: u32,
    /// The remaining work of the other hosts' requests in milliseconds; 0 where requests are counted.
    #[serde(default)]
    pub other_work_ms: u32,
}

/// The share of a workspace's allowance that a host may use without a grant of the coordinator.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Share {
    /// The workspace.
    pub workspace: name::Name,
    /// The share while the host has a coordinator, which grants the rest request by request.
    pub with_coordinator: f64,
    /// The share while the host is without a coordinator. Those of all hosts add up to 1.
    pub without_coordinator: f64,
}

/// The requests that a host may send to an upstream with a limit until the next view.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Permit {
    /// The upstream.
    pub upstream: name::Name,
    /// The requests per second that it takes from all hosts together.
    pub rate: f64,
    /// The milliseconds since the latest response that named the limit.
    pub age_ms: u64,
    /// The requests that this host may send.
    pub requests: u32,
}

/// The requests that a host may send to a cold upstream.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ColdPermit {
    /// The upstream.
    pub upstream: name::Name,
    /// The milliseconds for which it is still cold.
    pub remaining_ms: u64,
    /// The number of requests up to which the host may send, counted like [`ColdUpstream::sent`](super::ColdUpstream).
    pub ceiling: u64,
}

/// The requests that a host may send to cold upstreams.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ColdPermits {
    /// The process of the host that the permits are for, as in [`Colds::process`](super::Colds).
    pub process: u64,
    /// The milliseconds for which the host sends nothing to cold upstreams without permits, because the coordinator divides
    /// all requests; 0 when it does not.
    pub exclusive_ms: u64,
    /// The cold upstreams for which the host has permits, or of which it does not know that they are cold.
    pub permits: Vec<ColdPermit>,
}

/// The requests of all hosts that compete for the engines which hold a model.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Backlog {
    /// The service.
    pub service: name::Name,
    /// The model.
    pub model: name::Name,
    /// The requests that wait for slots of these engines, whatever their models.
    pub waiting: u32,
}

/// The coordinator's state of the fleet, as sent to an entry host in response to a report.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct View {
    /// The coordinator's fencing token; views with a lower one than the last are dropped.
    pub epoch: u64,
    /// The number of the report that this responds to.
    pub report_number: u64,
    /// The number of token requests of the report that are granted, by workspace: the first ones in its order.
    pub grants: Vec<(name::Name, u32)>,
    /// The share of each workspace's allowance that this host may use without a grant.
    pub shares: Vec<Share>,
    /// Whether it covers all engines, and not only those that hold a model that requests of the report wait for.
    pub full: bool,
    /// The engines.
    pub engines: Vec<EngineView>,
    /// The upstreams that several hosts suspect of having failed.
    pub suspects: Vec<name::Name>,
    /// The milliseconds until the models that are being loaded are ready.
    pub ready_in_ms: Vec<(name::Name, u64)>,
    /// The requests that the host may send to upstreams with a limit.
    pub permits: Vec<Permit>,
    /// The upstreams that have said to a host that they leave, each with the start of its process.
    pub leaving: Vec<(name::Name, u64)>,
    /// The load of each availability zone.
    pub loads: Vec<balance::Load>,
    /// The requests that the host may send to cold upstreams.
    #[serde(default)]
    pub cold: ColdPermits,
    /// What the host may use of the upstreams that its report names.
    #[serde(default)]
    pub connections: Vec<connection::Grant>,
    /// The workspaces whose recent use over all hosts exceeds what is usual for them and their fair share, each with the
    /// ratio; none when it is not known, or the load is not measured by work.
    #[serde(default)]
    pub overuse: Option<Vec<(name::Name, f64)>>,
    /// The requests that compete for the engines of each model that requests wait for; none when it is not known, or the load
    /// is not measured by work.
    #[serde(default)]
    pub backlogs: Option<Vec<Backlog>>,
}
