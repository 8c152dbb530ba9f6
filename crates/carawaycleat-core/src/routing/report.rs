use crate::name;

/// A report of a sidecar about the state and load of its upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The upstream.
    pub upstream: name::Name,
    /// The incarnation of the sidecar; increased by each restart.
    pub incarnation: u64,
    /// The sequence number of the report within the incarnation.
    pub sequence: u64,
    /// Whether the upstream is leaving, and accepts no new requests.
    pub leaving: bool,
    /// Whether the engine or service responded to the last poll.
    pub reachable: bool,
    /// The models and adapters that are resident and can be used.
    pub resident: Vec<Resident>,
    /// The number of requests from all entry hosts that the sidecar has in flight.
    pub in_flight: u32,
    /// The number of requests that wait in the engine.
    pub waiting: u32,
    /// The maximum number of requests in flight; 0 when it is unknown.
    pub capacity: u32,
}

/// A model or adapter that is resident in an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Resident {
    /// The model.
    pub model: name::Name,
    /// The adapter, or none for the model itself.
    pub adapter: Option<name::Name>,
    /// Whether it has responded to a request.
    pub answered: bool,
}
