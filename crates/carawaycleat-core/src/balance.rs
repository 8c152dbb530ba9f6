//! Return of callers to hosts that were away.
//!
//! A load balancer sends new connections to the hosts in service, and an open connection stays where it is. Callers that
//! connected while a host was away therefore stay with the other hosts after its return. [`Reducer`] follows which hosts
//! are registered, and names the connections that such a host would have got. A host closes them while it has more than its
//! share of the load, each with a response that says so.

mod absence;
mod change;
mod connection;
mod load;
mod options;
mod reducer;
mod relocation;

pub use change::Change;
pub use connection::Connection;
pub use load::Load;
pub use options::Options;
pub use reducer::Reducer;
pub use relocation::Relocation;
