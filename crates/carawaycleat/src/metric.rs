//! Metrics of the two daemons in the Prometheus text format.
//!
//! Label values come from fixed sets or are names of configured workspaces, never input of callers, so that the number
//! of series is bounded.

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

/// Raises a counter to a total that is counted elsewhere; a lower total has no effect.
fn raise_to(counter: &prometheus::IntCounter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}
