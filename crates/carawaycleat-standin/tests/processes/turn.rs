//! Limits how many tests run at the same time.

use std::sync;

/// The tests that run at the same time. Each has about ten processes, whose time limits must hold on a busy machine.
const LIMIT: usize = 6;

static RUNNING: sync::Mutex<usize> = sync::Mutex::new(0);
static ENDED: sync::Condvar = sync::Condvar::new();

/// The right to run, which ends with the value.
pub(crate) struct Turn;

impl Turn {
    /// Waits for a turn.
    pub(crate) fn take() -> Self {
        let running = RUNNING.lock().expect("no holder panics");
        let mut running = ENDED
            .wait_while(running, |running| *running >= LIMIT)
            .expect("no holder panics");
        *running += 1;
        Self
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *RUNNING.lock().expect("no holder panics") -= 1;
        ENDED.notify_one();
    }
}
