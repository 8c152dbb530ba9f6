use std::time;

use super::config;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The upstream's answer was passed on whole.
    Completed,
    /// The upstream's answer was passed on and says that the upstream failed.
    Failed,
    /// This host answered in place of an upstream.
    Refused,
    /// An answer of which a part had been passed on was cut.
    Cut,
    /// The caller left.
    CallerDisconnected,
}

impl Outcome {
    /// Returns the text used in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "answered",
            Self::Failed => "failed",
            Self::Refused => "refused",
            Self::Cut => "cut",
            Self::CallerDisconnected => "caller_gone",
        }
    }
}

/// The times of a request that has ended.
#[derive(Clone, Debug)]
pub struct Summary {
    /// The kind of request.
    pub kind: config::Kind,
    /// How it ended.
    pub outcome: Outcome,
    /// From its arrival until it was first sent to an upstream, or to its end.
    pub queue_time: time::Duration,
    /// From its arrival until the first byte of an answer.
    pub time_to_first_byte: Option<time::Duration>,
    /// From the first time that it was sent to an upstream to its end.
    pub upstream_time: Option<time::Duration>,
}
