//! Client of the key-value store that holds the configuration.
//!
//! The store is accessed through the JSON gateway of the etcd v3 API. The protocol is confined to this crate, so that
//! another store can replace it: the rest of the system uses [`Client`], [`Transaction`], [`Watch`] and their plain
//! values.

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
