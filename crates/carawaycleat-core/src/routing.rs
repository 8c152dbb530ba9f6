//! Selects the upstream that runs a request.

mod affinity;
mod attempt;
pub mod cache;
mod criteria;
mod failure;
mod latency;
mod policy;
mod report;
mod strategy;
mod table;
mod upstream;

pub use criteria::Criteria;
pub use failure::Failure;
pub use policy::Policy;
pub use report::Report;
pub use report::Resident;
pub use strategy::Strategy;
pub use table::Table;

use crate::outcome;

quick_error! {
    /// An error of [`Table::pick`]. The request was not sent.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum Error {
        /// No available upstream has what the request needs.
        NoCandidate {
            display("no available upstream has what the request needs")
        }
        /// Every upstream that has it runs as many requests as its capacity allows.
        AtCapacity {
            display("every upstream that has what the request needs is at its capacity")
        }
    }
}

impl Error {
    /// Returns the machine-readable reason.
    pub const fn reason(self) -> outcome::Reason {
        outcome::Reason::NoUpstream
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
