use std::net;

use crate::name;

/// What an order asks of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Hold a model or an adapter.
    Load,
    /// Hold it no longer.
    Unload,
}

impl Operation {
    /// Returns the text used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Unload => "unload",
        }
    }
}

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The number of the order, counted by its coordinator.
    pub number: u64,
    /// The engine.
    pub engine: name::Name,
    /// Its address.
    pub address: net::SocketAddr,
    /// What is asked.
    pub operation: Operation,
    /// The model.
    pub model: name::Name,
    /// The adapter of the model, where the order concerns one.
    pub adapter: Option<name::Name>,
    /// The number of orders that the engine must have accepted before, so that a late order has no effect.
    pub sequence: u64,
    /// The coordinator's fencing token.
    pub epoch: u64,
}
