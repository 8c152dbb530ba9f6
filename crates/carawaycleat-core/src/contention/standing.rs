use std::time;

use crate::clock;

/// The delay in the order for each priority level below the most urgent one. It exceeds the shortest objectives, so that
/// of two such requests the one with the lower level goes first.
const PRIORITY_DELAY: time::Duration = time::Duration::from_millis(300);
/// The time to the first event with which an idle engine answers; a request with less time left cannot meet its
/// objective. It is at most the time until the target divided by [`FIRST_EVENT_PARTS`].
const FIRST_EVENT_TIME: time::Duration = time::Duration::from_millis(50);
/// The shortest time until the target with which a request is patient: it yields until its latest start.
const MIN_PATIENT_TIME: time::Duration = time::Duration::from_secs(1);
/// The time that is left to a patient request at its latest start, as a fraction of the time until its target. A queue of one
/// host may send a request every second only; with a quarter, patient requests were late under lasting overload.
const PATIENT_MARGIN: f64 = 0.4;
/// The time to the first event counts as at most the time until the target divided by this.
const FIRST_EVENT_PARTS: u32 = 4;
/// The place of a request that cannot meet its objective any more: this long after its caller disconnects. A late answer is
/// worth about a third, so it goes after those that can still be in time, and before patient requests that have longer.
const LATE_DELAY: time::Duration = time::Duration::from_secs(1);
/// The longest time by which a request that comes back after a refusal precedes others.
const MAX_RETURN_CREDIT: time::Duration = PRIORITY_DELAY;

/// What the place of a request among those that wait depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Standing {
    /// When it arrived.
    pub(crate) arrived_at: clock::Instant,
    /// When the response should begin.
    pub(crate) target: clock::Instant,
    /// When its caller disconnects.
    pub(crate) abandoned_at: clock::Instant,
    /// The priority; 0 is the most urgent.
    pub(crate) priority: u8,
    /// Whether its caller has a part of the response.
    pub(crate) has_part: bool,
    /// The time for which its caller has waited at hosts that refused it.
    pub(crate) waited_before: time::Duration,
    /// The delay for the overuse of its workspace.
    pub(crate) overuse_delay: time::Duration,
}

impl Standing {
    fn is_patient(&self) -> bool {
        self.target.since(self.arrived_at) >= MIN_PATIENT_TIME
    }

    /// Returns the time by which it has to be sent.
    pub(crate) fn latest_start(&self) -> clock::Instant {
        if self.is_patient() {
            self.target - self.target.since(self.arrived_at).mul_f64(PATIENT_MARGIN)
        } else {
            self.target
        }
    }

    /// Returns whether it cannot meet its objective any more. One that came back after a refusal keeps its place before newer
    /// requests.
    pub(crate) fn is_late(&self, now: clock::Instant) -> bool {
        let needed = FIRST_EVENT_TIME.min(self.target.since(self.arrived_at) / FIRST_EVENT_PARTS);
        !self.has_part && self.waited_before.is_zero() && now + needed > self.target
    }

    /// Returns its place: requests with an earlier one are sent first.
    pub(crate) fn rank(&self, now: clock::Instant) -> clock::Instant {
        let level = PRIORITY_DELAY * u32::from(self.priority);
        if self.has_part {
            return self.arrived_at + level;
        }
        if self.is_late(now) {
            return self.abandoned_at + LATE_DELAY + level + self.overuse_delay;
        }
        let place = self.latest_start() - self.waited_before.min(MAX_RETURN_CREDIT);
        // A patient request has yielded until its latest start, whatever its priority.
        let level = if self.is_patient() {
            time::Duration::ZERO
        } else {
            level
        };
        place + level + self.overuse_delay
    }
}
