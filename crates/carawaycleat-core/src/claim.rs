//! At-most-once execution of requests with an idempotency key.
//!
//! The entry host creates a [`Record`] in the store before the request leaves, see [`Flow`]. The sidecar keeps a
//! [`Table`] of the keys that it ran.

mod flow;
mod record;
mod table;

pub use flow::Action;
pub use flow::Event;
pub use flow::Flow;
pub use record::Record;
pub use record::State;
pub use table::Table;
