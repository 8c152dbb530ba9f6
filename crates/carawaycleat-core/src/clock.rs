//! Points in time that are passed to the functions that decide.

mod instant;

pub use instant::Instant;
