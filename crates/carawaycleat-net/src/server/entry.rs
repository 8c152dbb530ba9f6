use std::sync::atomic;
use std::time;

use crate::server::reason;
use crate::server::unanswered;

/// What is known of a request in progress.
#[derive(Debug)]
pub(super) struct Entry {
    id: Option<String>,
    since: time::Instant,
    /// Whether a part of the response was written.
    pub(super) head_written: atomic::AtomicBool,
}

impl Entry {
    /// Returns the entry of a request whose head was read at `since`.
    pub(super) fn new(id: Option<String>, since: time::Instant) -> Self {
        Self {
            id,
            since,
            head_written: atomic::AtomicBool::new(false),
        }
    }

    /// Reports the request as one without a complete response.
    pub(super) fn unanswered(&self, reason: reason::Reason) -> unanswered::Unanswered {
        unanswered::Unanswered {
            id: self.id.clone(),
            reason,
            elapsed: self.since.elapsed(),
            head_written: self.head_written.load(atomic::Ordering::Relaxed),
        }
    }
}
