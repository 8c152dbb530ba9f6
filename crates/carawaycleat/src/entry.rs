//! The entry host: the process that callers and operators talk to.
//!
//! The decisions are in [`carawaycleat_core::entry::Reducer`]; this module feeds it with events and performs its effects.

mod attempt;
mod background;
mod callers;
mod claims;
mod daemon;
mod error;
mod exchange;
mod mailbox;
mod members;
mod operators;
mod peers;
mod perform;
mod placing;
mod policy;
mod shards;
mod shared;
mod watcher;

pub use daemon::Addresses;
pub use daemon::Daemon;
pub use error::Error;
pub use error::Result;
pub use policy::Policy;
