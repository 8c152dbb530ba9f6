use std::sync;
use std::sync::atomic;
use std::time;

use crate::memory;
use crate::server::entry;
use crate::server::reason;
use crate::server::state;

/// The memory that a request takes in terms of its body: the body and a copy that is passed on.
const BODY_COPIES: usize = 2;

/// A request in progress. It counts as such until it is dropped, and is then reported unless it was answered.
#[derive(Debug)]
pub(super) struct Active {
    state: sync::Arc<state::State>,
    key: u64,
    entry: sync::Arc<entry::Entry>,
    /// The memory of the body.
    reservation: Option<memory::Reservation>,
    /// Why the request has no complete response, as far as is known; none once it is answered.
    reason: Option<reason::Reason>,
}

impl Active {
    /// Counts the request `id` whose head was read at `now`; returns none if too many are in progress.
    pub(super) fn new(
        state: &sync::Arc<state::State>,
        id: Option<String>,
        now: time::Instant,
    ) -> Option<Self> {
        let limits = state.limits();
        let entry = sync::Arc::new(entry::Entry::new(id, now));
        let key = state.begin(entry.clone(), limits.max_requests)?;
        Some(Self {
            state: state.clone(),
            key,
            entry,
            reservation: limits.memory.map(|memory| memory.reservation()),
            // Only an abort drops a request without a reason of its own.
            reason: Some(reason::Reason::ServerAborted),
        })
    }

    /// Reserves memory for further bytes of the body and for their copy. Returns false if too little is left.
    pub(super) fn reserve(&mut self, bytes: usize) -> bool {
        let Some(reservation) = &mut self.reservation else {
            return true;
        };
        let is_reserved = reservation.grow(bytes.saturating_mul(BODY_COPIES));
        if !is_reserved {
            self.state.count_queue_full();
        }
        is_reserved
    }

    /// Returns the flag that says whether a part of the response was written.
    pub(super) fn head_written(&self) -> &atomic::AtomicBool {
        &self.entry.head_written
    }

    /// Ends a request that got a complete response.
    pub(super) fn answered(mut self) {
        self.reason = None;
    }

    /// Ends a request that got no complete response.
    pub(super) fn unanswered(mut self, reason: reason::Reason) {
        self.reason = Some(reason);
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.state.end(self.key);
        if let Some(reason) = self.reason {
            self.state.report(self.entry.unanswered(reason));
        }
    }
}
