use std::collections;
use std::time;

use super::amount;
use super::message;
use crate::clock;
use crate::name;

/// The age of a view from which a host uses no more than an equal share. The coordinator counts on it when it gives the share
/// of a host that is silent to others.
const MAX_GRANT_AGE: time::Duration = time::Duration::from_secs(2);
/// The time without a view after which a host with less than an equal share uses an equal one. By then the coordinator has
/// missed it for a second, and the other hosts have a later view or none for [`MAX_GRANT_AGE`].
const SETTLING_TIME: time::Duration = time::Duration::from_secs(4);

/// What one host may use of an upstream now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bound {
    /// The connections, idle ones included.
    pub connections: u32,
    /// The requests in progress; none at upstreams whose slots are divided otherwise.
    pub places: Option<u32>,
    /// Whether the upstream is in the host's subset.
    pub is_own: bool,
    /// How close the upstream is to the host, for a stable preference.
    pub affinity: u64,
}

impl Bound {
    /// Returns whether another request may be sent to an upstream with `slots` slots, at which the host has `own` requests and
    /// the others have `others`.
    #[must_use]
    pub fn admits(&self, own: u32, others: u32, slots: u32) -> bool {
        let has_slot = match self.places {
            Some(places) => own < places,
            None => own.saturating_add(others) < slots,
        };
        own < self.connections && has_slot
    }
}

/// The grants of one host and their age.
#[derive(Clone, Debug)]
pub struct Holding {
    /// When the last view was received, or when the host began without one.
    since: clock::Instant,
    has_view: bool,
    grants: collections::HashMap<name::Name, message::Grant>,
}

impl Holding {
    /// Returns the holding of a host that starts, or that is back after it was out of touch for long.
    #[must_use]
    pub fn new(now: clock::Instant) -> Self {
        Self {
            since: now,
            has_view: false,
            grants: collections::HashMap::new(),
        }
    }

    /// Replaces the grants by those of a view.
    pub fn record_view(&mut self, now: clock::Instant, grants: Vec<message::Grant>) {
        self.since = now;
        self.has_view = true;
        self.grants = grants
            .into_iter()
            .map(|grant| (grant.upstream.clone(), grant))
            .collect();
    }

    /// Returns the grant of an upstream in a recent view, in a fleet of `hosts` hosts.
    #[must_use]
    pub fn grant(
        &self,
        now: clock::Instant,
        upstream: &name::Name,
        hosts: usize,
    ) -> Option<&message::Grant> {
        let is_recent = now.since(self.since) < amount::stretch(MAX_GRANT_AGE, hosts);
        self.grants.get(upstream).filter(|_| is_recent)
    }

    /// Returns the connections that the host may have open to an upstream of which all of `hosts` hosts may use `usable`.
    #[must_use]
    pub fn share(
        &self,
        now: clock::Instant,
        upstream: &name::Name,
        usable: u32,
        hosts: usize,
    ) -> u32 {
        let age = now.since(self.since);
        let equal = amount::equal(usable, hosts);
        if age >= amount::stretch(SETTLING_TIME, hosts) {
            return equal;
        }
        if !self.has_view {
            return amount::starting(usable, hosts);
        }
        let granted = self.grants.get(upstream).map(|grant| grant.connections);
        let granted = granted.unwrap_or_else(|| amount::base(usable, hosts));
        if age < amount::stretch(MAX_GRANT_AGE, hosts) {
            granted.min(usable)
        } else {
            granted.min(equal)
        }
    }
}
