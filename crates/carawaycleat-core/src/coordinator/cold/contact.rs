use std::collections;
use std::time;

use crate::clock;
use crate::cold;

/// The maximum number of views whose receipt is awaited.
const MAX_VIEWS: usize = 64;

/// A host as far as its requests without permits are concerned.
#[derive(Clone, Debug, Default)]
pub(super) struct Contact {
    /// Its process, and the number of its last report.
    pub(super) process: u64,
    pub(super) number: u64,
    /// When it last reported or was registered.
    pub(super) seen_at: clock::Instant,
    /// The numbers of the reports that were responded to, and until when each view keeps the host from sending without
    /// permits, at the earliest.
    views: collections::VecDeque<(u64, clock::Instant)>,
    /// Until when views that the host has received keep it from that.
    exclusive_until: clock::Instant,
    /// Until when requests that it may have sent before are within the window.
    counted_until: clock::Instant,
}

impl Contact {
    /// Records a report, whose host has received the view in response to the report `held`. Returns whether it is later
    /// than the last one, or of another process.
    pub(super) fn record_report(
        &mut self,
        now: clock::Instant,
        process: u64,
        number: u64,
        held: u64,
    ) -> bool {
        if process == self.process && number <= self.number {
            return false;
        }
        if process != self.process {
            self.process = process;
            self.views.clear();
        }
        self.number = number;
        self.seen_at = now;
        let view = self.views.iter().position(|(other, _)| *other == held);
        if let Some(index) = view {
            if now >= self.exclusive_until {
                self.counted_until = now + cold::WINDOW;
            }
            let (_, until) = self.views[index];
            self.exclusive_until = self.exclusive_until.max(until);
            self.views.drain(..=index);
        }
        true
    }

    /// Records that a view was sent in response to the last report, which keeps the host from sending without permits for
    /// `exclusive`.
    pub(super) fn record_view(&mut self, now: clock::Instant, exclusive: time::Duration) {
        if exclusive.is_zero() {
            return;
        }
        self.views.push_back((self.number, now + exclusive));
        if self.views.len() > MAX_VIEWS {
            self.views.pop_front();
        }
    }

    /// Returns whether the host may send requests without permits in the window of a permit given now, which may be used
    /// until its lifetime is over.
    pub(super) fn may_fall_back(&self, now: clock::Instant) -> bool {
        let end = now + cold::PERMIT_LIFETIME + cold::WINDOW;
        self.exclusive_until <= end || now < self.counted_until
    }
}
