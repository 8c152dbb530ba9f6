use crate::name;
use crate::outcome;

/// The claim of an idempotency key, as JSON in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Record {
    /// The operation that created it; a lost answer is resolved by comparing it.
    pub operation: u128,
    /// The entry host that created it.
    pub host: name::Name,
    /// How far the request is.
    pub state: State,
}

/// How far a claimed request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The request may have run.
    Started,
    /// The request ran.
    Completed {
        /// The HTTP status of its answer.
        status: u16,
    },
}

impl Record {
    /// Returns what a repeat of the request is told about the first execution.
    pub const fn outcome(&self) -> outcome::Outcome {
        match self.state {
            State::Started => outcome::Outcome::Unknown,
            State::Completed { .. } => outcome::Outcome::Ran,
        }
    }
}
