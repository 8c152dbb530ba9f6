use std::time;

use carawaycleat_core::clock;

/// The reading of the clock at the start of the process, so that times before the start can be expressed, too.
const START_OFFSET: clock::Instant = clock::Instant::from_millis(60_000);

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

    /// Returns the current time.
    pub(crate) fn now(self) -> clock::Instant {
        START_OFFSET + self.started_at.elapsed()
    }
}
