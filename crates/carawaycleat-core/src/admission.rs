//! Which waiting request runs next, and which is refused because it could not run in time.

mod class;
mod lengths;
mod limits;
mod line;
mod meter;
mod policy;
mod queue;
mod request;
mod target;

pub use class::Class;
pub use lengths::Lengths;
pub use limits::Limits;
pub use policy::Policy;
pub use queue::Queue;
pub use request::Request;

use crate::name;
use crate::outcome;

quick_error! {
    /// A refusal of [`Queue::push`]; the request did not run.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The workspace has as many requests or bytes waiting as it may.
        Full(workspace: name::Name) {
            display("the queue of workspace {workspace} is full")
        }
        /// The deadline cannot be met at the measured service rate.
        Deadline(wait_ms: u64) {
            display("the request would wait about {wait_ms} ms, which is past its deadline")
        }
    }
}

impl Error {
    /// Returns the machine-readable reason.
    pub const fn reason(&self) -> outcome::Reason {
        match self {
            Self::Full(_) => outcome::Reason::QueueFull,
            Self::Deadline(_) => outcome::Reason::DeadlineUnreachable,
        }
    }

    /// Returns what is known about the execution, which is always that the request did not run.
    pub const fn outcome(&self) -> outcome::Outcome {
        outcome::Outcome::NotRun
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
