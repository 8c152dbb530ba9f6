use std::fmt;

use crate::error;

/// Why a request got no response.
#[derive(Debug)]
pub struct Failure {
    /// Whether any byte of the request may have been sent. Only if false, the request certainly did not run.
    pub sent: bool,
    /// The error.
    pub error: error::Error,
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sent = if self.sent { "after" } else { "before" };
        write!(
            formatter,
            "failed {sent} the request was sent: {}",
            self.error
        )
    }
}

impl std::error::Error for Failure {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.error)
    }
}
