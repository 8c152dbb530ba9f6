use carawaycleat_core::clock;
use carawaycleat_core::name;

/// The state of an upstream, which its sidecar sends to an entry host.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Report {
    /// The sender's logical time.
    pub stamp: clock::Stamp,
    /// The upstream.
    pub upstream: name::Name,
    /// The incarnation of the sidecar; a restart increases it.
    pub incarnation: u64,
    /// The sequence number of the report within the incarnation.
    pub sequence: u64,
    /// Whether the upstream accepts no new work, because it is being removed or its sidecar is shutting down.
    pub leaving: bool,
    /// Whether the engine or service responded to the last poll.
    pub reachable: bool,
    /// The models and adapters that are resident and usable.
    pub resident: Vec<Residence>,
    /// The memory account of the accelerator.
    pub account: super::Account,
    /// The number of requests that the sidecar has in flight.
    pub in_flight: u32,
    /// The number of requests that wait in the engine, from the engine's load report, which lags behind.
    pub waiting: u32,
    /// The maximum number of requests in flight that the upstream accepts; 0 if it is unknown.
    pub capacity: u32,
    /// The number of tokens generated since the sidecar started.
    pub tokens: u64,
    /// The revision of the last plan that the sidecar adopted; 0 before the first.
    pub plan_revision: u64,
}

/// A model or adapter that is resident in an engine.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Residence {
    /// The model.
    pub model: name::Name,
    /// The version of the model's weights.
    pub version: name::Name,
    /// The adapter, or none for the model itself.
    pub adapter: Option<name::Name>,
    /// Whether it has completed a request in this incarnation of the engine.
    pub answered: bool,
}

/// An entry host's response to a [`Report`].
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Directive {
    /// The sender's logical time.
    pub stamp: clock::Stamp,
    /// The sending entry host.
    pub host: name::Name,
    /// The incarnation of the entry host's process.
    pub incarnation: u64,
    /// The time of sending on the entry host's monotonic clock, in microseconds.
    pub sent_us: u64,
    /// The revision of the configuration that the directive is based on.
    pub revision: u64,
    /// Whether the upstream exists in the configuration.
    pub known: bool,
    /// Whether the upstream must not accept new work.
    pub leaving: bool,
    /// The revision of the plan, used as the fencing token; 0 if there is no plan.
    pub plan_revision: u64,
    /// The models and adapters that the upstream is assigned to hold.
    pub holdings: Vec<super::Holding>,
    /// The entry hosts to report to.
    pub members: Vec<super::Member>,
}
