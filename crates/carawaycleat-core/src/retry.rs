//! Whether a request is sent again after a failed attempt.

mod attempt;
mod budget;
mod decide;
mod hedge;

pub use attempt::Attempt;
pub use budget::Budget;
pub use decide::Retry;
pub use decide::decide;
pub use hedge::Wait;
pub use hedge::hedge;
