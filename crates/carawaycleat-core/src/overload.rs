//! Shedding of new requests by a host that runs late.
//!
//! A host whose timers run late has more work than processor time. It then admits requests at a rate that follows its
//! lateness, and refuses the others, the least urgent first, while it can still do so at once.

mod reducer;

pub use reducer::Reducer;
