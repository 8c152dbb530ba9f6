use crate::memory;
use crate::outcome;

/// An action that the [`Reducer`](super::Reducer) requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends the order to the engine.
    SendOrder(memory::Order),
    /// Sends the request with this identifier to the engine or service.
    StartJob(u128),
    /// Refuses the request with this identifier; it is not sent.
    RefuseJob(u128, outcome::Reason, outcome::Outcome),
    /// Sends the report to the entry hosts.
    Report(super::Report),
    /// Ends the process; no request is running.
    Exit,
    /// Counts a change of an order and writes it to the timeline.
    Order(memory::Change),
    /// Writes a change of state to the timeline.
    Record(Change),
}

/// A change of state for the timeline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The plan of this revision was adopted.
    Plan(u64),
    /// The upstream stopped accepting new requests (`true`) or accepts them again (`false`).
    Leaving(bool),
    /// The engine or service became reachable (`true`) or unreachable (`false`).
    Reachable(bool),
    /// The engine has restarted, with this incarnation.
    EngineRestart(u64),
    /// Orders may be sent from now on.
    Ready,
    /// The process refuses new requests and waits for the running ones to end.
    ShuttingDown,
}
