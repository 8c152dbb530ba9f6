//! Metrics of the two daemons in the Prometheus text format.
//!
//! Labels have values from fixed sets, or names of configured workspaces, so that the number of series is bounded. No
//! label comes from a caller.

mod entry;
mod label;
mod registry;
mod side;

pub use entry::Entry;
pub use label::Call;
pub use label::Decision;
pub use label::Flow;
pub use label::Refusal;
pub use label::Settlement;
pub use side::Side;
