use std::time;

use super::config;
use super::refusal;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The upstream's response was passed on completely.
    Completed,
    /// The upstream's response was passed on and has a 5xx status.
    Failed,
    /// This host refused the request.
    Refused(refusal::Reason),
    /// The response was cut after a part of it had been passed on.
    Cut(refusal::Reason),
    /// The caller disconnected.
    CallerDisconnected,
}

impl Outcome {
    /// Returns the value of the metric label.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "answered",
            Self::Failed => "failed",
            Self::Refused(_) => "refused",
            Self::Cut(_) => "cut",
            Self::CallerDisconnected => "caller_gone",
        }
    }
}

/// The outcome and the times of a request that has ended.
#[derive(Clone, Debug)]
pub struct Summary {
    /// The kind of request.
    pub kind: config::Kind,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the caller went on with a stream that broke off.
    pub is_take_up: bool,
    /// From its arrival until it was first sent to an upstream, or until its end if it never was.
    pub queue_time: time::Duration,
    /// From its arrival until the first byte of a response.
    pub time_to_first_byte: Option<time::Duration>,
    /// From when it was first sent to an upstream until its end.
    pub upstream_time: Option<time::Duration>,
    /// By how much the time from when it was first sent until the first byte differs from the expected one; none without an
    /// expectation, without a response, or with several attempts.
    pub forecast_error: Option<time::Duration>,
}
