//! Division of the requests to cold upstreams among the hosts.

mod contact;
mod ledger;

use std::collections;
use std::time;

use crate::clock;
use crate::cold;
use crate::name;
use crate::relay;

/// The time after an election, or after an upstream has become cold, without permits. Within it, permits of another
/// coordinator expire, and requests that were sent without a limit leave the window.
const SETTLING_TIME: time::Duration = time::Duration::from_millis(1_600);
/// The time since the last tick with the lease for which permits are given.
const MAX_LEASE_AGE: time::Duration = time::Duration::from_millis(200);
/// The fraction of what the bound allows beyond the rate that permits make use of, and the same of the slack. The rest is for
/// requests that leave some hundred milliseconds after the decision to send them.
const OVERSHOOT_FRACTION: f64 = 0.5;
const SLACK_FRACTION: f64 = 0.8;
/// The time since its last report or registration for which a host may send requests.
const CONTACT_RETENTION: time::Duration = time::Duration::from_secs(5);

/// The requests that a cold upstream may get in a second, as a multiple of its rate and a number beyond that.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// The multiple of the rate.
    pub overshoot: f64,
    /// The number beyond that.
    pub slack: f64,
}

impl Default for Bound {
    fn default() -> Self {
        Self {
            overshoot: 1.5,
            slack: 5.0,
        }
    }
}

impl Bound {
    /// Returns the number of requests in a second that permits make use of.
    fn usable(self, rate: f64) -> f64 {
        let overshoot = 1.0 + OVERSHOOT_FRACTION * (self.overshoot - 1.0).max(0.0);
        rate * overshoot + SLACK_FRACTION * self.slack.max(0.0)
    }
}

/// The permits for cold upstreams.
///
/// Each permit names the number of requests up to which a host may send, counted since the host learned of the upstream. A
/// permit is given only if the requests that may have been sent in the last second, those permitted and not yet known to be
/// sent, and one for each host that may send without permits stay within the bound. Whatever is lost or late, every request
/// in a window of one second has then been counted when the last permit used in the window was given.
#[derive(Clone, Debug)]
pub(super) struct Division {
    pub(super) starts: cold::Starts,
    bound: Bound,
    /// The limits after a start, by service.
    services: collections::BTreeMap<name::Name, relay::ColdStart>,
    /// Whether this host has read all entries since it started.
    is_listed: bool,
    elected_at: Option<clock::Instant>,
    /// The last tick at which the lease was certain.
    lease_seen_at: Option<clock::Instant>,
    registered: collections::BTreeSet<name::Name>,
    contacts: collections::BTreeMap<name::Name, contact::Contact>,
    ledgers: collections::BTreeMap<name::Name, ledger::Ledger>,
}

impl Division {
    pub(super) fn new(bound: Bound) -> Self {
        Self {
            starts: cold::Starts::default(),
            bound,
            services: collections::BTreeMap::new(),
            is_listed: false,
            elected_at: None,
            lease_seen_at: None,
            registered: collections::BTreeSet::new(),
            contacts: collections::BTreeMap::new(),
            ledgers: collections::BTreeMap::new(),
        }
    }

    /// Sets the limits after a start, by service.
    pub(super) fn configure(&mut self, services: Vec<(name::Name, relay::ColdStart)>) {
        self.services = services.into_iter().collect();
    }

    /// Records that all entries have been read.
    pub(super) fn record_listing(&mut self) {
        self.is_listed = true;
    }

    pub(super) fn record_entry(&mut self, now: clock::Instant, entry: &relay::Registration) {
        let limit = self.services.get(&entry.service).copied();
        self.starts.record_entry(now, entry, limit, !self.is_listed);
    }

    /// Discards what is known of hosts and permits, because another host was the coordinator.
    pub(super) fn begin_term(&mut self, now: clock::Instant) {
        self.elected_at = Some(now);
        self.lease_seen_at = None;
        self.contacts.clear();
        self.ledgers.clear();
    }

    pub(super) fn set_hosts(&mut self, hosts: &[name::Name]) {
        self.registered = hosts.iter().cloned().collect();
    }

    /// Does the periodic work. `may_order` says that no other host can be the coordinator for half of the lease.
    pub(super) fn tick(&mut self, now: clock::Instant, may_order: bool) {
        if may_order {
            self.lease_seen_at = Some(now);
        }
        if self.starts.is_empty() {
            return;
        }
        self.starts.forget(now);
        for host in &self.registered {
            let contact = self.contacts.entry(host.clone()).or_default();
            contact.seen_at = now;
        }
        self.contacts
            .retain(|_, contact| now.since(contact.seen_at) < CONTACT_RETENTION);
        self.update_ledgers(now);
    }

    /// Opens a ledger for each upstream that has become cold, and removes those of the others.
    fn update_ledgers(&mut self, now: clock::Instant) {
        let cold: collections::BTreeMap<_, _> = self
            .starts
            .cold(now)
            .map(|(id, rate, _)| (id.clone(), rate))
            .collect();
        self.ledgers.retain(|id, _| cold.contains_key(id));
        for (id, rate) in cold {
            self.ledgers
                .entry(id)
                .or_insert_with(|| ledger::Ledger::new(now))
                .advance(now, rate);
        }
    }

    /// Applies what a host has reported.
    pub(super) fn record_report(
        &mut self,
        now: clock::Instant,
        epoch: u64,
        report: &relay::Report,
    ) {
        let colds = &report.colds;
        if self.starts.is_empty() || colds.process == 0 {
            return;
        }
        for known in &colds.upstreams {
            let named = time::Duration::from_millis(known.named_ms);
            self.starts
                .record_response(now, &known.upstream, None, named);
        }
        let held = if colds.epoch == epoch { colds.held } else { 0 };
        let contact = self.contacts.entry(report.host.clone()).or_default();
        if !contact.record_report(now, colds.process, report.number, held) {
            return;
        }
        for known in &colds.upstreams {
            if let Some(ledger) = self.ledgers.get_mut(&known.upstream) {
                ledger.record_report(now, &report.host, colds.process, report.number, held, known);
            }
        }
    }

    /// Returns whether permits are given: the lease is certain, and those of a predecessor have expired.
    fn may_permit(&self, now: clock::Instant) -> bool {
        self.has_lease(now)
            && self
                .elected_at
                .is_some_and(|elected| now.since(elected) >= SETTLING_TIME)
    }

    fn has_lease(&self, now: clock::Instant) -> bool {
        self.lease_seen_at
            .is_some_and(|seen| now.since(seen) <= MAX_LEASE_AGE)
    }

    /// Determines how many requests may be permitted to `host` in response to its report `number`.
    pub(super) fn prepare(&mut self, now: clock::Instant, host: &name::Name, number: u64) {
        if self.ledgers.is_empty() {
            return;
        }
        self.update_ledgers(now);
        let may_permit = self.may_permit(now);
        let uncoordinated = self
            .contacts
            .values()
            .filter(|contact| contact.may_fall_back(now))
            .count();
        for (id, ledger) in &mut self.ledgers {
            let limit = self.starts.get(id).filter(|_| may_permit);
            let usable = limit.map_or(0.0, |(limit, _)| self.bound.usable(limit.rate));
            ledger.prepare(now, host, number, usable - uncoordinated as f64);
        }
    }

    /// Returns the further requests that may be permitted to the host of [`Self::prepare`] at an upstream; none when it is
    /// not cold.
    pub(super) fn available(&self, id: &name::Name) -> Option<u32> {
        Some(self.ledgers.get(id)?.available())
    }

    /// Permits the host of [`Self::prepare`] one request, for which a slot was reserved.
    pub(super) fn reserve(&mut self, id: &name::Name) {
        if let Some(ledger) = self.ledgers.get_mut(id) {
            ledger.reserve();
        }
    }

    /// Returns the permits of the host of [`Self::prepare`] until its next view.
    pub(super) fn permit(
        &mut self,
        now: clock::Instant,
        host: &name::Name,
        number: u64,
    ) -> relay::ColdPermits {
        if self.starts.is_empty() {
            return relay::ColdPermits::default();
        }
        let hosts = self.registered.len().max(self.contacts.len());
        let has_lease = self.has_lease(now);
        let Some(contact) = self.contacts.get_mut(host) else {
            return relay::ColdPermits::default();
        };
        if contact.number != number {
            // The report was late, and a later one was responded to.
            return relay::ColdPermits::default();
        }
        let exclusive = if has_lease {
            cold::fallback_delay(hosts)
        } else {
            time::Duration::ZERO
        };
        contact.record_view(now, exclusive);
        let process = contact.process;
        let mut permits = Vec::new();
        for (id, ledger) in &mut self.ledgers {
            let ceiling = ledger.permit(now, host, number);
            let Some((_, until)) = self.starts.get(id) else {
                continue;
            };
            if ceiling != Some(0) {
                let remaining = until.since(now).as_millis();
                permits.push(relay::ColdPermit {
                    upstream: id.clone(),
                    remaining_ms: u64::try_from(remaining).unwrap_or(u64::MAX),
                    ceiling: ceiling.unwrap_or(0),
                });
            }
        }
        relay::ColdPermits {
            process,
            exclusive_ms: u64::try_from(exclusive.as_millis()).unwrap_or(u64::MAX),
            permits,
        }
    }

    /// Returns the state of all cold upstreams for the log: of each its rate, the requests in the last second, and those
    /// that are permitted and wait; none when no upstream is cold.
    pub(super) fn summary(&self, now: clock::Instant) -> Option<String> {
        let summaries: Vec<_> = self
            .ledgers
            .iter()
            .map(|(id, ledger)| format!("{id}={}", ledger.summary(now)))
            .collect();
        (!summaries.is_empty()).then(|| summaries.join(" "))
    }
}
