use crate::memory;

/// What a sidecar tells entry hosts about its upstream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The incarnation of the sidecar.
    pub incarnation: u64,
    /// The number of the report within the incarnation.
    pub sequence: u64,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// Whether the engine answered the last poll.
    pub reachable: bool,
    /// What is resident.
    pub resident: Vec<Residence>,
    /// The memory of the accelerator, in bytes.
    pub total_bytes: u64,
    /// The memory taken by what is resident and by orders that may still land, in bytes.
    pub committed_bytes: u64,
    /// The requests in flight.
    pub in_flight: usize,
    /// The requests that wait in the engine.
    pub waiting: u32,
    /// The tokens generated since the sidecar started.
    pub tokens: u64,
    /// The revision of the plan in force.
    pub plan_revision: u64,
}

/// An item that is resident in the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Residence {
    /// The item.
    pub item: memory::Item,
    /// Whether it has answered a request in this incarnation of the engine.
    pub answered: bool,
    /// Whether it takes no new requests, because the plan no longer has it.
    pub draining: bool,
}
