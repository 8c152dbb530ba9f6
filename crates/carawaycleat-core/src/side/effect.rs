use crate::memory;
use crate::outcome;

/// What a sidecar does.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send the order to the engine.
    SendOrder(memory::Order),
    /// Send the request to the engine or service.
    StartJob(u128),
    /// Answer the request with a refusal; it is not sent.
    RefuseJob(u128, outcome::Reason, outcome::Outcome),
    /// Send the report to the entry hosts.
    Report(super::Report),
    /// End the process; no request is running.
    Exit,
    /// Count a change of an order and write it to the timeline.
    Order(memory::Change),
    /// Write a change of state to the timeline.
    Record(Change),
}

/// A change of state for the timeline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// A plan was taken up.
    Plan(u64),
    /// The upstream is leaving, or no longer.
    Leaving(bool),
    /// The engine answers, or no longer.
    Reachable(bool),
    /// The engine has a new incarnation.
    EngineRestart(u64),
    /// Orders may be sent from now on.
    Ready,
    /// The process takes no new work and waits for what runs.
    ShuttingDown,
}
