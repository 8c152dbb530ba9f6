use crate::name;

/// What a sidecar reports about its upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
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
    pub resident: Vec<Resident>,
    /// The requests that the sidecar has in flight, from all entry hosts.
    pub in_flight: u32,
    /// The requests that wait in the engine.
    pub waiting: u32,
    /// The most requests in flight that the upstream takes; 0 when it is not known.
    pub capacity: u32,
}

/// A model or adapter that is resident in an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Resident {
    /// The model.
    pub model: name::Name,
    /// The adapter, or none for the model itself.
    pub adapter: Option<name::Name>,
    /// Whether it has answered a request.
    pub answered: bool,
}
