//! Decisions of the carawaycleat serving system.
//!
//! Everything here is deterministic and free of input and output: the present time is an argument, and what a
//! decision wants done is returned as data. The daemons in the `carawaycleat` crate perform it.

#[macro_use]
extern crate quick_error;

pub mod admission;
pub mod claim;
pub mod clock;
pub mod config;
pub mod coordinator;
pub mod entry;
pub mod freshness;
pub mod key;
pub mod membership;
pub mod memory;
mod meter;
pub mod name;
pub mod outcome;
pub mod placement;
pub mod rate;
pub mod relay;
pub mod request;
pub mod resource;
pub mod retry;
pub mod routing;
pub mod side;
pub mod stream;
pub mod timeline;
