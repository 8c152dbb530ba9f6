//! Metrics of the two daemons in the Prometheus text format.
//!
//! Labels have values from fixed sets, or names of configured workspaces, so that the number of series is bounded. No
//! label comes from a caller.

mod entry;
mod label;
mod registry;
mod side;

pub use carawaycleat_core::entry::Decision;
pub use carawaycleat_core::entry::Flow;
pub use carawaycleat_core::memory::Transition;
pub use entry::Entry;
pub use label::Call;
pub use side::Side;

/// Raises a counter to `total`, which is counted elsewhere; an older total changes nothing.
fn raise_to(counter: &prometheus::IntCounter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}
