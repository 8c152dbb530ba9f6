//! Decides whether a request is retried after a failed attempt, or hedged during a slow one.

mod attempt;
mod budget;
mod decide;
mod hedge;

pub use attempt::Attempt;
pub use budget::Budget;
pub use decide::Action;
pub use decide::decide;
pub use decide::permits_attempt;
pub use hedge::Pending;
pub use hedge::hedge;
