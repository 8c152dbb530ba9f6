//! Clocks and points in time.
//!
//! Decisions read no clock; the present time is an argument.

mod hybrid;
mod instant;
mod stamp;

pub use hybrid::Hybrid;
pub use instant::Instant;
pub use stamp::Stamp;
