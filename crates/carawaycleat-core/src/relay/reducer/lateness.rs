//! Ticks that come late because the process did not run, or had no processor time, for a while.

use std::time;

use crate::clock;
use crate::relay::event;
use crate::relay::pending;

/// The time between two ticks of a host that is not late.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(25);
/// The longest time between two ticks in which upstreams count as silent. What arrives while the process does not run is read
/// only afterwards.
const MAX_TICK_STEP: time::Duration = TICK_INTERVAL.saturating_mul(4);
/// The weight of the latest tick in the average delay is 1 divided by this.
const DELAY_PARTS: u32 = 4;
/// The longest delay of the host itself that is allowed for.
const MAX_DELAY: time::Duration = time::Duration::from_millis(150);

/// When ticks came.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Lateness {
    last_tick: Option<clock::Instant>,
    was_late: bool,
    /// The moving average of the time by which ticks are late.
    mean_delay: time::Duration,
}

impl Lateness {
    /// Returns the time that this host is expected to take for what should be done at once.
    pub(super) fn delay(&self) -> time::Duration {
        self.mean_delay.min(MAX_DELAY)
    }
}

impl super::Reducer {
    /// Returns when the attempts of a request have to end.
    pub(super) fn limit(&self, id: event::Id) -> clock::Instant {
        let delay = self.lateness.delay();
        let request = self.requests.get(&id);
        request.map_or_else(clock::Instant::default, |request| request.limit(delay))
    }

    /// Excludes the time by which a tick is late from the silence of upstreams. Returns whether what had arrived by then
    /// goes before the timers, except for deadlines: at the first late tick in a row.
    pub(super) fn discount_lateness(&mut self, now: clock::Instant) -> bool {
        let last = self.lateness.last_tick.replace(now).unwrap_or(now);
        let delay = now.since(last).saturating_sub(TICK_INTERVAL);
        self.lateness.mean_delay -= self.lateness.mean_delay / DELAY_PARTS;
        self.lateness.mean_delay += delay / DELAY_PARTS;
        let excess = now.since(last).saturating_sub(MAX_TICK_STEP);
        let is_late = !excess.is_zero();
        let was_late = std::mem::replace(&mut self.lateness.was_late, is_late);
        if !is_late {
            return false;
        }
        for request in self.requests.values_mut() {
            for phase in std::iter::once(&mut request.phase).chain(&mut request.standbys) {
                if let pending::Phase::Sent { last_progress, .. } = phase {
                    *last_progress = now.min(*last_progress + excess);
                }
            }
        }
        for entry in self.upstreams.values_mut() {
            entry.last_progress = now.min(entry.last_progress + excess);
            entry.busy_since = now.min(entry.busy_since + excess);
        }
        !was_late
    }
}
