//! Stand-ins for the systems around carawaycleat, a load generator and a demonstration.
//!
//! Each stand-in is a state machine that takes the current time as an argument, and a thin HTTP layer over it.
//!
//! Besides the published protocol, the HTTP layers have calls for tests. Each answers at once, also during a hang:
//!
//! | call | stand-in | effect |
//! |---|---|---|
//! | `POST /standin/faults` | store, engine, service | replaces all faults; a field that is left out is switched off |
//! | `GET /standin/counts` | store | returns [`store::Counts`] |
//! | `GET /standin/records` | engine | returns [`engine::Records`] |
//! | `POST /standin/restart` | engine | restarts with a new incarnation and empty memory |
//! | `GET /standin/executions` | service | returns the list of [`service::Execution`] |
//! | `POST /standin/hosts` | hosts | replaces the list with a [`hosts::List`] |
//!
//! A process that refuses connections is made with [`Handle::stop`]; [`Store::resume`] starts a store again with its keys.
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
pub mod demo;
pub mod engine;
mod handle;
pub mod hosts;
pub mod load;
mod rate;
pub mod service;
pub mod setup;
pub mod store;
mod transfer;
pub mod weights;

pub use engine::Engine;
pub use handle::Handle;
pub use hosts::Hosts;
pub use service::Service;
pub use store::Store;
pub use weights::Weights;
