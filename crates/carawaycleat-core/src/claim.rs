//! At-most-once execution of requests with an idempotency key.
//!
//! The entry host creates a [`Record`] in the store before it sends the request to an upstream, see [`Machine`]. The
//! sidecar keeps a [`Table`] of the keys that it ran.

mod machine;
mod record;
mod table;

pub use machine::Action;
pub use machine::Event;
pub use machine::Machine;
pub use record::Record;
pub use record::State;
pub use table::Table;
