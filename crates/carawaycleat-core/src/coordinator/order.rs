use std::net;

use crate::name;

/// The operation that an order requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Load a model or an adapter.
    Load,
    /// Unload a model or an adapter.
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

/// An order to an engine to load or unload weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The number of the order, counted by its coordinator.
    pub number: u64,
    /// The identifier of the engine.
    pub engine: name::Name,
    /// The engine's address.
    pub address: net::SocketAddr,
    /// Whether to load or unload.
    pub operation: Operation,
    /// The model, or the base model of `adapter`.
    pub model: name::Name,
    /// The adapter; none when the order concerns the model itself.
    pub adapter: Option<name::Name>,
    /// The precondition: the number of orders that the engine must have accepted before, so that a late order has no
    /// effect.
    pub sequence: u64,
    /// The coordinator's fencing token.
    pub epoch: u64,
}
