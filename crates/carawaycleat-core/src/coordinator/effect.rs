use std::net;

use super::order;
use crate::name;
use crate::timeline;

/// An action that the caller of the coordinator's reducer carries out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send an order to its engine and report the outcome.
    Order(order::Order),
    /// Request the status of the engine with this identifier at this address.
    Probe(name::Name, net::SocketAddr),
    /// Release the lease, so that a host that the others can reach takes over.
    Resign,
    /// Log a decision.
    Record(timeline::Decision),
}
