use std::time;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// The request carries more than one key.
    AmbiguousKey,
    /// The key is missing or unknown.
    UnknownKey,
    /// No route matches the request.
    UnknownRoute,
    /// The workspace has used up its allowance.
    RateLimited,
    /// There is no configuration yet, or it was not confirmed recently.
    ConfigurationStale,
    /// No upstream can run the request in time.
    NoUpstream,
    /// The deadline of the request has passed.
    Timeout,
    /// An attempt failed, and the request cannot be retried.
    UpstreamFailed,
    /// An attempt broke off as at an earlier crash of an upstream, so another one may crash a further upstream.
    CrashSuspected,
    /// A part of the prompt crashes upstreams.
    Quarantined,
    /// It is not known which software version began the stream that the caller goes on with.
    UnknownOrigin,
    /// The process stops before a response has arrived.
    Stopping,
    /// The host has more requests than processor time.
    Overloaded,
}

impl Reason {
    /// Returns the value used in responses, logs and metrics.
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
            Self::CrashSuspected => "crash_suspected",
            Self::Quarantined => "quarantined",
            Self::UnknownOrigin => "unknown_origin",
            Self::Stopping => "stopping",
            Self::Overloaded => "overloaded",
        }
    }
}

/// A final error response that the entry host gives by itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Whether the request may have run.
    pub may_have_run: bool,
    /// The time after which a retry of the caller is likely to succeed; none when waiting does not help.
    pub retry_after: Option<time::Duration>,
}

impl Refusal {
    /// Returns the HTTP status. 429 and 503 guarantee that the request has not run and will not run.
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
