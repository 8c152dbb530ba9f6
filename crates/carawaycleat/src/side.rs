//! The sidecar: the process beside an upstream, through which all of its work goes.
//!
//! The decisions are in [`carawaycleat_core::side::Reducer`]; this module feeds it with events and performs its effects.

mod context;
mod daemon;
mod error;
mod orders;
mod reports;
mod work;

pub use daemon::Daemon;
pub use error::Error;
pub use error::Result;
