use std::net;

use super::order;
use crate::name;
use crate::timeline;

/// Something that the coordinator is to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send an order and report its outcome.
    Order(order::Order),
    /// Ask an engine for its status.
    Probe(name::Name, net::SocketAddr),
    /// Give the lease up, so that a host which the others can reach takes it.
    Resign,
    /// Log a decision about an engine.
    Record(timeline::Decision),
}
