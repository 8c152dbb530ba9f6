use crate::memory;

/// The state of an upstream, which its sidecar reports to entry hosts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The incarnation of the sidecar.
    pub incarnation: u64,
    /// The number of the report within the incarnation, from 1.
    pub sequence: u64,
    /// Whether the upstream accepts no new requests because it is being removed or shut down.
    pub leaving: bool,
    /// Whether the engine or service responded to the last poll.
    pub reachable: bool,
    /// The models and adapters that are resident in the engine.
    pub resident: Vec<Residence>,
    /// The memory of the accelerator, in bytes.
    pub total_bytes: u64,
    /// The memory of resident items and of orders that may still take effect, in bytes.
    pub committed_bytes: u64,
    /// The number of requests in flight.
    pub in_flight: usize,
    /// The number of requests that are queued in the engine.
    pub waiting: u32,
    /// The number of tokens generated since the sidecar started.
    pub tokens: u64,
    /// The revision of the adopted plan; 0 if there is none.
    pub plan_revision: u64,
}

/// An item that is resident in the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Residence {
    /// The model or adapter, with its version and size.
    pub item: memory::Item,
    /// Whether a request for it has completed in this incarnation of the engine.
    pub answered: bool,
    /// Whether it accepts no new requests because the plan no longer contains it.
    pub draining: bool,
}
