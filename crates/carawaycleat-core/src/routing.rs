//! Which upstream runs a request.

mod affinity;
mod cache;
mod choice;
mod failure;
mod flight;
mod history;
mod load;
mod need;
mod policy;
mod table;
mod upstream;

pub use cache::Cache;
pub use choice::Choice;
pub use failure::Failure;
pub use load::Load;
pub use load::Resident;
pub use need::Need;
pub use policy::Policy;
pub use table::Table;

use crate::outcome;

quick_error! {
    /// An error of [`Table::pick`]; the request was not sent.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum Error {
        /// No live upstream holds what the request needs.
        Absent {
            display("no upstream holds what the request needs")
        }
        /// Each upstream that holds it runs as many requests as it can.
        Busy {
            display("every upstream that holds what the request needs is at its capacity")
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
