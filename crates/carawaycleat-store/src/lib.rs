//! Adapter to the key-value service that holds the configuration.
//!
//! The service is reached through the JSON gateway of the etcd v3 interface. All of its protocol stays in this crate,
//! so that another service can be put in its place: the rest of the system sees [`Client`], [`Transaction`],
//! [`Watch`] and the plain values around them.

#[macro_use]
extern crate quick_error;

mod change;
mod client;
mod error;
mod json;
mod lease;
mod listing;
mod pair;
mod response;
mod transaction;
mod watch;

pub use change::Change;
pub use client::Client;
pub use error::Error;
pub use error::Result;
pub use lease::Lease;
pub use listing::Listing;
pub use pair::Pair;
pub use response::Response;
pub use transaction::Condition;
pub use transaction::Transaction;
pub use transaction::Write;
pub use watch::Watch;
