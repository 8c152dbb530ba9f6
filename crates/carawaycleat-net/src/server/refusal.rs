use crate::response;
use crate::server::reason;

/// An error response that the server sends without calling the handler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Refusal {
    status: u16,
    code: &'static str,
    message: &'static str,
}

impl Refusal {
    pub(super) const BODY_TOO_LARGE: Self =
        Self::new(413, "body_too_large", "the body is too large");
    pub(super) const HEADER_TOO_LARGE: Self =
        Self::new(431, "header_too_large", "the header section is too large");
    pub(super) const TOO_MANY_CONNECTIONS: Self =
        Self::new(503, "queue_full", "too many connections");
    pub(super) const TOO_MANY_REQUESTS: Self =
        Self::new(503, "queue_full", "too many requests in progress");
    pub(super) const NO_MEMORY: Self =
        Self::new(503, "queue_full", "no memory is left for the body");
    pub(super) const TOO_SLOW: Self =
        Self::new(408, "invalid_request", "the request arrived too slowly");
    pub(super) const SHUTTING_DOWN: Self =
        Self::new(503, "shutting_down", "the server is shutting down");
    /// For a request that is on its way on a connection that is closed because it was idle.
    pub(super) const IDLE: Self = Self::new(408, "connection_idle", "the connection was idle");

    const fn new(status: u16, code: &'static str, message: &'static str) -> Self {
        Self {
            status,
            code,
            message,
        }
    }

    pub(super) const fn invalid(message: &'static str) -> Self {
        Self::new(400, "invalid_request", message)
    }

    /// Returns whether the request itself is invalid, as opposed to refused because of load.
    pub(super) fn is_malformed(&self) -> bool {
        self.status != 503
    }

    /// Returns the reason for which a request is reported.
    pub(super) fn reason(&self) -> reason::Reason {
        if *self == Self::TOO_SLOW {
            return reason::Reason::TooSlow;
        }
        reason::Reason::Refused {
            status: self.status,
            code: self.code,
        }
    }

    pub(super) fn response(&self) -> response::Response {
        let body = serde_json::json!({"error": {
            "message": self.message,
            "type": if self.is_malformed() { "invalid_request_error" } else { "server_error" },
            "code": self.code,
            "outcome": "not_run",
        }});
        let mut response =
            response::Response::json(self.status, &body).header("Carawaycleat-Outcome", "not_run");
        if self.status == 503 {
            response.headers.set("Retry-After", "1");
        }
        response
    }
}
