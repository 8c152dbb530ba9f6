/// A machine-readable reason for a refusal or a failure.
///
/// The table in section 3 of `docs/design.md` lists the HTTP status and the outcome of each.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request is malformed or has a value that is out of range.
    InvalidRequest,
    /// The route requires a key and the request has none.
    MissingKey,
    /// The key is unknown or was withdrawn.
    UnknownKey,
    /// The key's workspace may not use the route.
    ForbiddenRoute,
    /// No such model or adapter is configured.
    UnknownModel,
    /// No route matches the path.
    UnknownRoute,
    /// A request with the same idempotency key was already accepted.
    DuplicateRequest,
    /// The body is longer than the limit.
    BodyTooLarge,
    /// The header section is longer than the limit.
    HeaderTooLarge,
    /// The workspace has currently no tokens left.
    RateLimited,
    /// The request needs more tokens than the burst of the workspace.
    ExceedsBurst,
    /// The workspace's queue is full.
    QueueFull,
    /// The deadline cannot be met at the current service rate.
    DeadlineUnreachable,
    /// The host is isolated and its configuration may be outdated.
    ConfigurationStale,
    /// The host is shutting down.
    ShuttingDown,
    /// No upstream can currently serve the request.
    NoUpstream,
    /// The upstream is leaving: it accepts no new requests before its planned shutdown.
    UpstreamLeaving,
    /// The claim of an idempotency key could not be recorded.
    ClaimUnavailable,
    /// The upstream responded with an error, or the connection failed.
    UpstreamFailed,
    /// The upstream's response was truncated or belonged to another request.
    UpstreamIncomplete,
    /// The upstream made no progress within the timeout, or did not finish by the deadline.
    UpstreamTimeout,
}

impl Reason {
    /// All reasons, in the order of the table in `docs/design.md`.
    pub const ALL: [Self; 21] = [
        Self::InvalidRequest,
        Self::MissingKey,
        Self::UnknownKey,
        Self::ForbiddenRoute,
        Self::UnknownModel,
        Self::UnknownRoute,
        Self::DuplicateRequest,
        Self::BodyTooLarge,
        Self::HeaderTooLarge,
        Self::RateLimited,
        Self::ExceedsBurst,
        Self::QueueFull,
        Self::DeadlineUnreachable,
        Self::ConfigurationStale,
        Self::ShuttingDown,
        Self::NoUpstream,
        Self::UpstreamLeaving,
        Self::ClaimUnavailable,
        Self::UpstreamFailed,
        Self::UpstreamIncomplete,
        Self::UpstreamTimeout,
    ];

    /// Returns the value used in error bodies, metrics and the timeline.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::InvalidRequest => "invalid_request",
            Self::MissingKey => "missing_key",
            Self::UnknownKey => "unknown_key",
            Self::ForbiddenRoute => "forbidden_route",
            Self::UnknownModel => "unknown_model",
            Self::UnknownRoute => "unknown_route",
            Self::DuplicateRequest => "duplicate_request",
            Self::BodyTooLarge => "body_too_large",
            Self::HeaderTooLarge => "header_too_large",
            Self::RateLimited => "rate_limited",
            Self::ExceedsBurst => "exceeds_burst",
            Self::QueueFull => "queue_full",
            Self::DeadlineUnreachable => "deadline_unreachable",
            Self::ConfigurationStale => "configuration_stale",
            Self::ShuttingDown => "shutting_down",
            Self::NoUpstream => "no_upstream",
            Self::UpstreamLeaving => "upstream_leaving",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::UpstreamFailed => "upstream_failed",
            Self::UpstreamIncomplete => "upstream_incomplete",
            Self::UpstreamTimeout => "upstream_timeout",
        }
    }

    /// Returns the HTTP status code of the reason.
    pub const fn status(self) -> u16 {
        match self {
            Self::InvalidRequest => 400,
            Self::MissingKey | Self::UnknownKey => 401,
            Self::ForbiddenRoute => 403,
            Self::UnknownModel | Self::UnknownRoute => 404,
            Self::DuplicateRequest => 409,
            Self::BodyTooLarge => 413,
            Self::RateLimited | Self::ExceedsBurst => 429,
            Self::HeaderTooLarge => 431,
            Self::UpstreamFailed | Self::UpstreamIncomplete => 502,
            Self::UpstreamTimeout => 504,
            Self::QueueFull
            | Self::DeadlineUnreachable
            | Self::ConfigurationStale
            | Self::ShuttingDown
            | Self::NoUpstream
            | Self::UpstreamLeaving
            | Self::ClaimUnavailable => 503,
        }
    }

    /// Returns whether the same request may succeed later.
    pub const fn is_temporary(self) -> bool {
        matches!(
            self,
            Self::RateLimited
                | Self::QueueFull
                | Self::DeadlineUnreachable
                | Self::ConfigurationStale
                | Self::ShuttingDown
                | Self::NoUpstream
                | Self::UpstreamLeaving
                | Self::ClaimUnavailable
        )
    }
}
