//! Shares of the connections to upstreams, and which upstreams a host prefers.
//!
//! An upstream accepts a number of connections from all hosts together. [`Holding`] is what one host may use of that number,
//! and [`Ledger`] is the coordinator's account of what all hosts may hold. [`assign`] gives each host a subset of the
//! upstreams of a service without models.

mod amount;
mod digest;
mod holding;
mod ledger;
mod member;
mod message;
mod spec;
mod subset;

pub use amount::base;
pub use amount::equal;
pub use amount::places;
pub use amount::usable;
pub use digest::affinity;
pub use holding::Bound;
pub use holding::Holding;
pub use ledger::Capacity;
pub use ledger::Ledger;
pub use member::Member;
pub use message::Grant;
pub use message::Use;
pub use spec::Spec;
pub use subset::Assignment;
pub use subset::assign;
pub use subset::size;
