//! The entry host: the process that serves the requests of callers and operators.
//!
//! [`carawaycleat_core::entry::Reducer`] makes the decisions; this module passes events to it and performs its effects.

mod attempt;
mod background;
mod callers;
mod claims;
mod context;
mod daemon;
mod error;
mod exchange;
mod mailbox;
mod operators;
mod peers;
mod perform;
mod planning;
mod policy;
mod roster;
mod shards;
mod watcher;

pub use daemon::Addresses;
pub use daemon::Daemon;
pub use error::Error;
pub use error::Result;
pub use policy::Policy;
