use std::time;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// More than one key came with the request.
    AmbiguousKey,
    /// The key is missing or unknown.
    UnknownKey,
    /// No route takes the request.
    UnknownRoute,
    /// The workspace has used up its allowance.
    RateLimited,
    /// No configuration is known yet, or it is too old.
    ConfigurationStale,
    /// No upstream can run the request in time.
    NoUpstream,
    /// The time for the request is over.
    Timeout,
    /// The upstream's answer failed after the request may have run.
    UpstreamFailed,
    /// The process ends before an answer can be there.
    Stopping,
}

impl Reason {
    /// Returns the reason as a word for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::AmbiguousKey => "ambiguous_key",
            Self::UnknownKey => "unknown_key",
            Self::UnknownRoute => "unknown_route",
            Self::RateLimited => "rate_limited",
            Self::ConfigurationStale => "configuration_stale",
            Self::NoUpstream => "no_upstream",
            Self::Timeout => "timeout",
            Self::UpstreamFailed => "upstream_failed",
            Self::Stopping => "stopping",
        }
    }
}

/// A final answer of the entry host itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Whether the request may have run.
    pub may_have_run: bool,
    /// When the caller may try again with success, where waiting helps.
    pub retry_after: Option<time::Duration>,
}

impl Refusal {
    /// Returns the HTTP status. 429 and 503 promise that the request has not run and will not run.
    #[must_use]
    pub const fn status(&self) -> u16 {
        match self.reason {
            Reason::AmbiguousKey => 400,
            Reason::UnknownKey => 401,
            Reason::UnknownRoute => 404,
            Reason::RateLimited => 429,
            Reason::Timeout if self.may_have_run => 504,
            _ if self.may_have_run => 502,
            _ => 503,
        }
    }
}
