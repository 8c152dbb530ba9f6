//! Stand-ins for the systems around carawaycleat, a load generator and a demonstration.
//!
//! Each stand-in is a state machine that takes the current time as an argument, and a thin HTTP layer over it.

#[macro_use]
extern crate quick_error;

pub mod engine;
pub mod hosts;
mod rate;
pub mod service;
pub mod store;
mod transfer;
pub mod weights;
