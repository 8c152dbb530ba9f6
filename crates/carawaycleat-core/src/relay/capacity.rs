//! What a host may use of the upstreams that hold what a request needs.

use std::time;

use super::pending;
use super::selection;
use super::upstream;
use crate::contention;

/// The requests that leave the last slots of engines free for urgent ones.
#[derive(Clone, Copy, Debug)]
pub(super) struct Yielding<'a> {
    pub(super) reserve: &'a contention::Reserve<super::reducer::QueueKey>,
    pub(super) queue: &'a super::reducer::QueueKey,
    /// The priority of the request.
    pub(super) priority: u8,
}

impl selection::Selector<'_> {
    /// Returns the slots of an upstream that the request may use.
    pub(super) fn open_slots(&self, upstream: &upstream::Upstream) -> u32 {
        let slots = self.slots(upstream);
        let reserved = self.yielding.map_or(0, |yielding| {
            let id = &upstream.registration.id;
            let (queue, priority) = (yielding.queue, yielding.priority);
            let reserve = yielding.reserve;
            reserve.reserved(self.now, id, queue, priority, slots)
        });
        slots.saturating_sub(reserved)
    }

    /// Returns what this host, one of `hosts`, may use of the upstreams that hold what the request needs.
    pub(super) fn capacity(
        &self,
        upstreams: &upstream::Table,
        request: &pending::Pending,
        hosts: usize,
    ) -> contention::Capacity {
        let mut capacity = contention::Capacity::default();
        for upstream in upstreams.values() {
            let is_usable = self.is_eligible(upstream, request)
                && !upstream.is_ejected(self.now)
                && upstream.paused_until(self.now).is_none();
            if !is_usable {
                continue;
            }
            let slots = self.slots(upstream);
            let used = upstream.own_requests + upstream.granted_slots(self.now);
            // The coordinator divides slots that become free among the hosts whose requests wait.
            let equal = f64::from(slots) / hosts.max(1) as f64;
            capacity.holders += 1;
            capacity.slots += f64::from(slots);
            capacity.concurrency += f64::from(used.min(slots)).max(equal);
            capacity.has_free_slot |= upstream.has_free_slot(self.now, slots);
            let latency = upstream.mean_latency().map(time::Duration::from_secs_f64);
            capacity.latency = match (capacity.latency, latency) {
                (Some(one), Some(other)) => Some(one.min(other)),
                (one, other) => one.or(other),
            };
        }
        capacity
    }
}
