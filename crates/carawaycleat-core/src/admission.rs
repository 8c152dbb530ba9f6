//! Selects the queued request that runs next, and refuses requests that could not run before their deadlines.

mod class;
mod lengths;
mod limits;
mod meter;
mod policy;
mod queue;
mod request;
mod target;
mod workspace;

pub use class::Class;
pub use lengths::Lengths;
pub use limits::Limits;
pub use policy::Policy;
pub use queue::Queue;
pub use request::Request;

use crate::name;
use crate::outcome;

quick_error! {
    /// A refusal of [`Queue::push`]. The request did not run.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The workspace has reached its limit of queued requests or bytes.
        Full(workspace: name::Name) {
            display("the queue of workspace {workspace} is full")
        }
        /// The deadline cannot be met at the measured service rate. The value is the estimated wait, in milliseconds.
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

    /// Returns the execution outcome, which is always that the request did not run.
    pub const fn outcome(&self) -> outcome::Outcome {
        outcome::Outcome::NotRun
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
