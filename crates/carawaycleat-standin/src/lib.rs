//! Stand-ins for the systems around carawaycleat, a load generator and a demonstration.
//!
//! Each stand-in is a state machine that takes the current time as an argument, and a thin HTTP layer over it.
//!
//! # Examples
//!
//! ```
//! use std::sync;
//!
//! use carawaycleat_standin as standin;
//!
//! let executor = sync::Arc::new(async_executor::Executor::new());
//! let store = standin::Store::start(&executor, standin::store::Options::default())?;
//! assert_ne!(store.local_address().port(), 0);
//! assert_eq!(store.with(|state, _| state.space().revision()), 1);
//! # Ok::<(), carawaycleat_net::Error>(())
//! ```

#[macro_use]
extern crate quick_error;

mod answer;
pub mod engine;
mod handle;
pub mod hosts;
pub mod load;
mod rate;
pub mod service;
pub mod store;
mod transfer;
pub mod weights;

pub use engine::Engine;
pub use handle::Handle;
pub use hosts::Hosts;
pub use service::Service;
pub use store::Store;
pub use weights::Weights;
