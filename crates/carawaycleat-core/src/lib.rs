//! Decision logic of the carawaycleat serving system.
//!
//! The crate is deterministic and performs no input or output. The present time is an argument, and actions to be taken
//! are returned as data, which the daemons in the `carawaycleat` crate execute.

#[macro_use]
extern crate quick_error;

pub mod admission;
pub mod audit;
pub mod balance;
pub mod claim;
pub mod clock;
mod cold;
pub mod config;
pub mod connection;
mod contention;
pub mod coordinator;
pub mod entry;
mod evacuation;
pub mod freshness;
pub mod key;
pub mod membership;
pub mod memory;
mod meter;
pub mod name;
pub mod outcome;
pub mod overload;
pub mod placement;
pub mod quarantine;
pub mod rate;
pub mod relay;
pub mod request;
pub mod resource;
pub mod retry;
pub mod revision;
pub mod routing;
pub mod side;
pub mod stream;
pub mod timeline;
pub mod work;
