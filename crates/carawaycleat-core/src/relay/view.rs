use crate::name;

/// What the coordinator knows of an engine's weights.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct EngineView {
    /// The engine.
    pub upstream: name::Name,
    /// The models that it holds.
    pub models: Vec<name::Name>,
    /// The models that are being loaded, with the milliseconds that are left.
    pub loading: Vec<(name::Name, u64)>,
    /// The models that are being unloaded.
    pub unloading: Vec<name::Name>,
    /// The adapters that it holds, with their models.
    pub adapters: Vec<(name::Name, name::Name)>,
    /// The requests of the other hosts in progress there.
    pub other_requests: u32,
    /// The further requests that this host may send there before the next view, beside one for each that ends.
    pub reserved_slots: u32,
}

/// The part of a workspace's allowance that a host may use without asking.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Share {
    /// The workspace.
    pub workspace: name::Name,
    /// The part while the coordinator answers, which grants the rest request by request.
    pub with_coordinator: f64,
    /// The part while the coordinator does not answer. Those of all hosts add up to the whole.
    pub without_coordinator: f64,
}

/// What the coordinator tells an entry host.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct View {
    /// The coordinator's fencing token; views of an earlier coordinator are dropped.
    pub epoch: u64,
    /// The report that this answers.
    pub report_number: u64,
    /// The requests of the report that get their tokens, by workspace, in the order of the report.
    pub grants: Vec<(name::Name, u32)>,
    /// The part of each workspace's allowance that this host may use without asking.
    pub shares: Vec<Share>,
    /// Whether it tells about all engines, and not only about those that hold what requests of the report wait for.
    pub full: bool,
    /// The engines.
    pub engines: Vec<EngineView>,
    /// The upstreams that several hosts get no answers from.
    pub suspects: Vec<name::Name>,
    /// The milliseconds until each model that is held nowhere can run, where it is known.
    pub ready_in_ms: Vec<(name::Name, u64)>,
}
