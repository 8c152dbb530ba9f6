//! Identifiers of requests.

mod id;

pub use id::Id;
