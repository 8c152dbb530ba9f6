use carawaycleat_core::clock;
use carawaycleat_core::name;

/// What a sidecar tells an entry host about its upstream.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Report {
    /// The sender's logical time.
    pub stamp: clock::Stamp,
    /// The upstream.
    pub upstream: name::Name,
    /// The incarnation of the sidecar; a restart increases it.
    pub incarnation: u64,
    /// The number of the report within the incarnation.
    pub sequence: u64,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// Whether the engine or service answered the last poll.
    pub reachable: bool,
    /// What is resident and can be used.
    pub resident: Vec<Residence>,
    /// The memory account.
    pub account: super::Account,
    /// The requests that the sidecar has in flight.
    pub in_flight: u32,
    /// The requests that wait in the engine, from its lagging load report.
    pub waiting: u32,
    /// The most requests in flight that the upstream takes; 0 when it is not known.
    pub capacity: u32,
    /// The tokens generated since the sidecar started.
    pub tokens: u64,
    /// The revision of the plan that was last taken up.
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
    /// Whether it has answered a request.
    pub answered: bool,
}

/// An entry host's answer to a [`Report`].
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Directive {
    /// The sender's logical time.
    pub stamp: clock::Stamp,
    /// The entry host that sends it.
    pub host: name::Name,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// The time on its monotonic clock, in microseconds.
    pub sent_us: u64,
    /// The revision of the configuration that the directive was made from.
    pub revision: u64,
    /// Whether the upstream is configured at all.
    pub known: bool,
    /// Whether the upstream is to take no new work.
    pub leaving: bool,
    /// The revision of the plan, used as the fencing number; 0 when there is none.
    pub plan_revision: u64,
    /// What the upstream is to hold.
    pub holdings: Vec<super::Holding>,
    /// The entry hosts to report to.
    pub members: Vec<super::Member>,
}
