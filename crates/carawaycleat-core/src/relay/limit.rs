use std::time;

use super::view;
use crate::clock;

/// The time for which a limit holds after the last response that named it, at any host, and for which its end is
/// reported to the coordinator.
pub(crate) const LIMIT_LIFETIME: time::Duration = time::Duration::from_secs(10);
/// The time for which the permits of the coordinator are used. Later a host uses an equal share of the limit.
const PERMIT_LIFETIME: time::Duration = time::Duration::from_millis(1_000);

/// The requests per second that an upstream takes from all hosts together, and what this host may send of them.
///
/// The coordinator divides the requests among the hosts with each view. A host without a recent view uses an equal
/// share.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    /// The requests per second of all hosts.
    pub(super) rate: f64,
    /// When the latest response that named the limit arrived, at this or another host.
    pub(super) named_at: clock::Instant,
    /// The requests sent since this host learned of the limit.
    pub(super) sent: u64,
    /// The number of hosts.
    hosts: usize,
    /// The requests that the coordinator still permits, and when it did.
    permits: u32,
    permitted_at: Option<clock::Instant>,
    /// The requests that this host may send without permits, as of `refilled_at`.
    level: f64,
    refilled_at: clock::Instant,
}

impl Limit {
    /// Returns a limit that a response has named.
    pub(super) fn new(now: clock::Instant, rate: f64) -> Self {
        Self {
            rate,
            named_at: now,
            sent: 0,
            hosts: 1,
            permits: 0,
            permitted_at: None,
            level: 1.0,
            refilled_at: now,
        }
    }

    /// Applies the coordinator's permit, which names a limit known at `named_at`.
    pub(super) fn update(
        &mut self,
        now: clock::Instant,
        named_at: clock::Instant,
        permit: &view::Permit,
    ) {
        if named_at > self.named_at {
            self.named_at = named_at;
            self.rate = permit.rate;
        }
        self.permits = permit.requests;
        self.permitted_at = Some(now);
        self.level = 0.0;
        self.refilled_at = now;
    }

    /// Adds the requests that an equal share of the limit allows since the last call.
    pub(super) fn refill(&mut self, now: clock::Instant, hosts: usize) {
        self.hosts = hosts.max(1);
        self.level = self.level_at(now);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn level_at(&self, now: clock::Instant) -> f64 {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        (self.level + elapsed * self.rate / self.hosts as f64).min(1.0)
    }

    /// Returns whether this host may send another request.
    pub(super) fn may_send(&self, now: clock::Instant) -> bool {
        match self.permitted_at {
            Some(at) if now.since(at) < PERMIT_LIFETIME => self.permits > 0,
            _ => self.level_at(now) >= 1.0,
        }
    }

    /// Records that a request was sent.
    pub(super) fn record_send(&mut self) {
        self.sent += 1;
        self.permits = self.permits.saturating_sub(1);
        self.level = (self.level - 1.0).max(0.0);
    }

    /// Returns whether no host has been told of the limit for a long time.
    pub(super) fn is_expired(&self, now: clock::Instant) -> bool {
        now.since(self.named_at) > LIMIT_LIFETIME
    }
}
