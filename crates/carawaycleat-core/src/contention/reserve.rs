use std::collections;
use std::hash;
use std::time;

use crate::clock;
use crate::name;

/// The fraction of an engine's slots that is left free for urgent requests: 3 of 24 and 4 of 32. A slot becomes free within
/// some tens of milliseconds on such engines, so a few are enough for the urgent requests that arrive meanwhile.
const RESERVED_FRACTION: f64 = 0.125;
/// The highest fraction, which bounds the rounded number of slots of small engines.
const MAX_RESERVED_FRACTION: f64 = 0.25;
/// How long after an urgent request was sent to an engine further ones are expected there.
const EXPECTATION_TIME: time::Duration = time::Duration::from_secs(1);

/// The last urgent request that was sent to an engine.
#[derive(Clone, Copy, Debug)]
struct Use {
    at: clock::Instant,
    priority: u8,
}

/// The engines and queues whose last slots are left free for urgent requests.
#[derive(Clone, Debug)]
pub(crate) struct Reserve<K> {
    uses: collections::HashMap<name::Name, Use>,
    /// The highest priority of the urgent requests that wait, by queue.
    waiting: collections::HashMap<K, u8>,
}

impl<K> Default for Reserve<K> {
    fn default() -> Self {
        Self {
            uses: collections::HashMap::new(),
            waiting: collections::HashMap::new(),
        }
    }
}

impl<K: Eq + hash::Hash> Reserve<K> {
    /// Records that an urgent request was sent.
    pub(crate) fn record_send(&mut self, now: clock::Instant, upstream: &name::Name, priority: u8) {
        let latest = Use { at: now, priority };
        let last = self.uses.entry(upstream.clone()).or_insert(latest);
        let is_over = now.since(last.at) > EXPECTATION_TIME;
        if is_over || priority <= last.priority {
            *last = latest;
        }
    }

    /// Forgets the urgent requests that wait.
    pub(crate) fn clear_waiting(&mut self) {
        self.waiting.clear();
    }

    /// Records that an urgent request waits.
    pub(crate) fn record_waiting(&mut self, queue: K, priority: u8) {
        let highest = self.waiting.entry(queue).or_insert(priority);
        *highest = priority.min(*highest);
    }

    /// Removes the engines that no urgent request is expected at.
    pub(crate) fn forget(&mut self, now: clock::Instant) {
        self.uses
            .retain(|_, last| now.since(last.at) <= EXPECTATION_TIME);
    }

    /// Returns how many of the `slots` of an engine a less urgent request of `priority` in `queue` leaves free.
    pub(crate) fn reserved(
        &self,
        now: clock::Instant,
        upstream: &name::Name,
        queue: &K,
        priority: u8,
        slots: u32,
    ) -> u32 {
        let is_expected =
            |last: &Use| now.since(last.at) <= EXPECTATION_TIME && last.priority <= priority;
        let waits = |highest: &u8| *highest <= priority;
        if self.uses.get(upstream).is_some_and(is_expected)
            || self.waiting.get(queue).is_some_and(waits)
        {
            let slots = f64::from(slots);
            let most = (slots * MAX_RESERVED_FRACTION).floor();
            (slots * RESERVED_FRACTION).ceil().min(most) as u32
        } else {
            0
        }
    }
}
