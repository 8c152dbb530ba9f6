use crate::name;
use crate::outcome;

/// The claim of an idempotency key, which the store holds as JSON.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Record {
    /// Identifier of the operation that created the record. If the response to a write is lost, the record that is read
    /// back shows by its operation whether the write took effect.
    pub operation: u128,
    /// Entry host that created the record.
    pub host: name::Name,
    /// Progress of the request.
    pub state: State,
}

/// Progress of a claimed request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The request may have run.
    Started,
    /// The request ran.
    Completed {
        /// HTTP status of the response.
        status: u16,
    },
}

impl Record {
    /// Returns the outcome of the first execution, as reported to a repeat of the request.
    pub const fn outcome(&self) -> outcome::Outcome {
        match self.state {
            State::Started => outcome::Outcome::Unknown,
            State::Completed { .. } => outcome::Outcome::Ran,
        }
    }
}
