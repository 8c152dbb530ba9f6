use std::time;

use carawaycleat_core::clock;

/// The time before the start of a process that its clock can still express.
const BEFORE_START: clock::Instant = clock::Instant::from_millis(60_000);

/// The monotonic clock of one process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Monotonic {
    started_at: time::Instant,
}

impl Monotonic {
    /// Starts a clock.
    pub(crate) fn start() -> Self {
        Self {
            started_at: time::Instant::now(),
        }
    }

    /// Returns the present time.
    pub(crate) fn now(self) -> clock::Instant {
        BEFORE_START + self.started_at.elapsed()
    }
}
