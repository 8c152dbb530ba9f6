use std::time;

use crate::server::reason;

/// A request that got no complete response from a handler, as [`crate::Server::observe_unanswered`] reports it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unanswered {
    /// The value of the header that identifies the request; none if the request has no such header or its head is
    /// incomplete.
    pub id: Option<String>,
    /// Why there is no complete response.
    pub reason: reason::Reason,
    /// The time since the head of the request was read, or since its first bytes if the head is incomplete.
    pub elapsed: time::Duration,
    /// Whether a part of the response was written.
    pub head_written: bool,
}
