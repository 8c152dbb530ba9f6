use crate::memory;
use crate::outcome;

/// An input of the [`Reducer`](super::Reducer).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An entry host responded to a report.
    Directive(Directive),
    /// The engine responded to a poll, with the number of requests that are queued in it.
    EngineState(memory::Report, u32),
    /// The service, which has no state to report, accepted a connection.
    ServiceReached,
    /// The engine or service did not respond to a poll.
    EngineUnreachable,
    /// The outcome of sending an order, by its identifier: the engine's response, or none.
    OrderResponse(u64, memory::Response),
    /// An entry host sent a request.
    JobArrived(Job),
    /// The first byte of a request was sent to the engine or service.
    JobStarted(u128),
    /// A request ended with this outcome, after this number of generated tokens.
    JobEnded(u128, outcome::Outcome, u64),
    /// The process was asked to stop.
    Shutdown,
    /// A periodic timer fired.
    Tick,
}

/// The desired state of the upstream, from an entry host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Directive {
    /// The time at which the entry host sent it, if known.
    pub sent_at: Option<super::Timestamp>,
    /// The revision of the configuration that it was derived from.
    pub revision: u64,
    /// The revision of the plan; 0 if there is none.
    pub plan_revision: u64,
    /// The models and adapters that the engine should hold.
    pub holdings: Vec<memory::Item>,
    /// Whether the upstream should accept no new requests.
    pub leaving: bool,
}

/// The properties of a request that the admission decision depends on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Job {
    /// The time at which the entry host sent it.
    pub sent_at: super::Timestamp,
    /// The identifier of the request.
    pub id: u128,
    /// The model or adapter, for a request to an engine.
    pub item: Option<memory::Id>,
    /// Whether the operation may run more than once without harm.
    pub idempotent: bool,
    /// The caller's idempotency key, prefixed with the workspace.
    pub claim: Option<String>,
}
