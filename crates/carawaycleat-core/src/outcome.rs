//! Outcomes of requests, and reasons for refusals and failures.

mod reason;

pub use reason::Reason;

/// Whether a request ran, as far as the system knows.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran.
    Ran,
    /// The request did not run and can no longer start.
    NotRun,
    /// The request may have run, or may still run.
    Unknown,
}

impl Outcome {
    /// Returns the value used in headers and error bodies.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}
