use std::fmt;

/// What an event records.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A request arrived at an entry host.
    Arrived,
    /// A request was refused.
    Refused,
    /// A request was sent to an upstream.
    Dispatched,
    /// An upstream began to execute a request.
    Started,
    /// The first token of a response arrived.
    FirstToken,
    /// A response was completed.
    Finished,
    /// A request failed after it was admitted.
    Failed,
    /// A request was sent again to another upstream.
    Retried,
    /// A caller disconnected and the request was cancelled.
    Cancelled,
    /// An idempotency key was claimed.
    Claimed,
    /// A placement plan was written or adopted.
    PlanChanged,
    /// A placement order was sent to an engine.
    OrderSent,
    /// A placement order took effect or can no longer take effect.
    OrderSettled,
    /// An upstream or host stopped accepting new requests.
    Leaving,
    /// An upstream was excluded from routing for some time because of failures.
    Ejected,
    /// A configuration revision was applied.
    ConfigurationApplied,
    /// A key was withdrawn.
    KeyWithdrawn,
    /// Tokens were lent to another host.
    TokensLent,
    /// Tokens were borrowed from another host.
    TokensBorrowed,
    /// The freshness state or the readiness of a process changed.
    StateChanged,
}

impl Kind {
    /// Returns the text used in JSON and on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Arrived => "arrived",
            Self::Refused => "refused",
            Self::Dispatched => "dispatched",
            Self::Started => "started",
            Self::FirstToken => "first_token",
            Self::Finished => "finished",
            Self::Failed => "failed",
            Self::Retried => "retried",
            Self::Cancelled => "cancelled",
            Self::Claimed => "claimed",
            Self::PlanChanged => "plan_changed",
            Self::OrderSent => "order_sent",
            Self::OrderSettled => "order_settled",
            Self::Leaving => "leaving",
            Self::Ejected => "ejected",
            Self::ConfigurationApplied => "configuration_applied",
            Self::KeyWithdrawn => "key_withdrawn",
            Self::TokensLent => "tokens_lent",
            Self::TokensBorrowed => "tokens_borrowed",
            Self::StateChanged => "state_changed",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
