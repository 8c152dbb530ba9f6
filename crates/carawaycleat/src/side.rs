//! The sidecar: the process beside an upstream through which all of its jobs pass.
//!
//! [`carawaycleat_core::side::Reducer`] makes the decisions; this module passes events to it and performs its effects.

mod context;
mod daemon;
mod error;
mod orders;
mod reports;
mod work;

pub use daemon::Daemon;
pub use error::Error;
pub use error::Result;
