use crate::memory;
use crate::outcome;

/// What a sidecar learns.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An entry host answered a report.
    Directive(Directive),
    /// The engine answered a poll, with the number of requests that wait in it.
    EngineState(memory::Report, u32),
    /// The service, which has no state to report, accepted a connection.
    ServiceReached,
    /// The engine or service did not answer a poll.
    EngineUnreachable,
    /// The engine answered an order, or its answer was lost.
    OrderResponse(u64, memory::Response),
    /// An entry host sent a request.
    JobArrived(Job),
    /// The first byte of a request left for the engine or service.
    JobStarted(u128),
    /// A request ended with this outcome, after this number of tokens.
    JobEnded(u128, outcome::Outcome, u64),
    /// The process was asked to stop.
    Shutdown,
    /// Time passed.
    Tick,
}

/// What an entry host wants of the upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Directive {
    /// The time at which the entry host sent it.
    pub sent_at: Option<super::Timestamp>,
    /// The revision of the configuration that it was made from.
    pub revision: u64,
    /// The revision of the plan; 0 when there is none.
    pub plan_revision: u64,
    /// What the upstream is to hold.
    pub holdings: Vec<memory::Item>,
    /// Whether the upstream is to take no new work.
    pub leaving: bool,
}

/// A request as far as it matters for the decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Job {
    /// The time at which the entry host sent it.
    pub sent_at: super::Timestamp,
    /// The identifier of the request.
    pub id: u128,
    /// The model or adapter, for a request to an engine.
    pub item: Option<memory::Id>,
    /// Whether the operation may run more than once.
    pub idempotent: bool,
    /// The caller's idempotency key, with the workspace in front.
    pub claim: Option<String>,
}
