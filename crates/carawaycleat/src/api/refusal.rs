use std::time;

use carawaycleat_core::entry;
use carawaycleat_core::outcome;
use carawaycleat_net as net;

/// The header with the outcome of a refused request, as in the error body.
const OUTCOME_HEADER: &str = "Carawaycleat-Outcome";

/// The error response to a request that was refused or failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The reason, which determines the error code and, unless `allowed_methods` is set, the status.
    pub reason: outcome::Reason,
    /// Whether the request was executed, as far as is known.
    pub outcome: outcome::Outcome,
    /// The human-readable message.
    pub message: String,
    /// The delay before a retry, sent as `Retry-After` in whole seconds; none omits the header.
    pub retry_after: Option<time::Duration>,
    /// The methods that the path supports, when the request used another one (status 405).
    pub allowed_methods: Option<&'static str>,
}

impl Refusal {
    /// Returns a refusal of a request that was not executed.
    pub fn not_run(reason: outcome::Reason, message: impl Into<String>) -> Self {
        entry::Refusal::not_run(reason, message).into()
    }

    /// Sets the methods that the path supports and returns the refusal.
    #[must_use]
    pub fn with_allowed_methods(mut self, methods: &'static str) -> Self {
        self.allowed_methods = Some(methods);
        self
    }

    /// Returns the HTTP status.
    pub const fn status(&self) -> u16 {
        match self.allowed_methods {
            Some(_) => 405,
            None => self.reason.status(),
        }
    }

    /// Returns the error body.
    pub fn to_json(&self) -> serde_json::Value {
        serde_json::json!({"error": {
            "message": self.message,
            "type": self.error_type(),
            "code": self.reason.as_str(),
            "outcome": self.outcome.as_str(),
        }})
    }

    /// Returns the refusal as an HTTP response.
    pub fn to_response(&self) -> net::Response {
        let mut response = net::Response::json(self.status(), &self.to_json())
            .header(OUTCOME_HEADER, self.outcome.as_str());
        if let Some(methods) = self.allowed_methods {
            response = response.header("Allow", methods);
        }
        if self.status() == 401 {
            response = response.header("WWW-Authenticate", "Bearer");
        }
        match self.retry_after {
            Some(delay) => response.header(
                "Retry-After",
                delay.as_millis().div_ceil(1_000).max(1).to_string(),
            ),
            None => response,
        }
    }

    /// Appends the refusal as the last event of a stream that has already started.
    pub fn write_event(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(b"event: error\ndata: ");
        out.extend_from_slice(self.to_json().to_string().as_bytes());
        out.extend_from_slice(b"\n\n");
    }

    fn error_type(&self) -> &'static str {
        match self.reason.status() {
            401 => "authentication_error",
            403 => "permission_error",
            429 => "rate_limit_error",
            status if status < 500 => "invalid_request_error",
            _ => "server_error",
        }
    }
}

impl From<entry::Refusal> for Refusal {
    fn from(refusal: entry::Refusal) -> Self {
        Self {
            reason: refusal.reason,
            outcome: refusal.outcome,
            message: refusal.message,
            retry_after: refusal.retry_after,
            allowed_methods: None,
        }
    }
}
