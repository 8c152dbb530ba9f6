//! Points in time that are passed to the functions that decide.

mod hybrid;
mod instant;
mod stamp;

pub use hybrid::Hybrid;
pub use instant::Instant;
pub use stamp::Stamp;
