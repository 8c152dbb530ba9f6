use std::collections;
use std::time;

use super::amount;
use super::message;
use crate::clock;
use crate::name;

/// The time without a report after which a host counts as silent, so that an equal share is kept for it.
const MAX_SILENCE: time::Duration = time::Duration::from_secs(1);
/// The time for which a silent host may use what it held last: until its view is too old, and a report interval.
const MAX_HELD_TIME: time::Duration = time::Duration::from_millis(2_500);
/// The time for which an equal share is kept for a host that is not registered any more. A host that was frozen or cut off may
/// still have connections open.
const DEPARTURE_TIME: time::Duration = time::Duration::from_secs(10);
/// The time from the beginning of a term in which no share grows: grants of the coordinator before may still be in use.
const TAKE_OVER_TIME: time::Duration = time::Duration::from_millis(2_500);
/// The factor by which what a host wanted counts less with each report, so that pauses of a second do not take its share.
const WANTED_DECAY: f64 = 0.8;
/// The factor of what a host wants, so that a burst finds room before the next view.
const HEADROOM: f64 = 1.5;
/// What each host counts beside what it wants, so that a host without requests has a part of the rest too.
const EQUAL_WEIGHT: f64 = 1.0;

/// A report whose number is lower than the last one's by less than this was overtaken.
const MAX_OVERTAKEN: u64 = 16;

/// What one host may hold of an upstream.
#[derive(Clone, Debug, Default)]
struct Account {
    /// The connections that it may have open: what it reported, or a higher grant since.
    held: u32,
    /// The moving maximum of what it wanted.
    wanted: f64,
    running: u32,
}

/// What is known of a host.
#[derive(Clone, Debug, Default)]
struct Host {
    /// Its last report; none in this term.
    reported_at: Option<clock::Instant>,
    /// The number of its last report.
    number: u64,
    /// When its entry was removed.
    left_at: Option<clock::Instant>,
    accounts: collections::BTreeMap<name::Name, Account>,
}

impl Host {
    fn is_silent(&self, now: clock::Instant, hosts: usize) -> bool {
        let at = self.reported_at;
        at.is_none_or(|at| now.since(at) >= amount::stretch(MAX_SILENCE, hosts))
    }

    /// Returns the connections that it may have open now, or soon by itself.
    fn committed(
        &self,
        now: clock::Instant,
        upstream: &name::Name,
        usable: u32,
        hosts: usize,
    ) -> u32 {
        let account = self.accounts.get(upstream);
        let held = account.map_or(0, |account| account.held);
        if !self.is_silent(now, hosts) {
            return held.max(amount::base(usable, hosts));
        }
        let at = self.reported_at;
        let may_hold = at.is_some_and(|at| now.since(at) < amount::stretch(MAX_HELD_TIME, hosts));
        let equal = amount::equal(usable, hosts);
        if may_hold { held.max(equal) } else { equal }
    }
}

/// An upstream as the coordinator knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Capacity {
    /// The connections that all hosts together may use.
    pub usable: u32,
    /// Its slots; none if it holds models.
    pub slots: Option<u32>,
}

/// The coordinator's account of the connections that hosts may hold.
///
/// A share is given to another host only once the host that had it has reported that it does without it. What hosts may use
/// by themselves, while no view reaches them, is kept for them.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    hosts: collections::BTreeMap<name::Name, Host>,
    started_at: clock::Instant,
}

impl Ledger {
    /// Begins a term, in which no host has reported yet.
    pub fn restart(&mut self, now: clock::Instant) {
        self.started_at = now;
        for host in self.hosts.values_mut() {
            host.reported_at = None;
            host.accounts.clear();
        }
    }

    /// Replaces the registered hosts.
    pub fn set_hosts(&mut self, now: clock::Instant, hosts: &[name::Name]) {
        for (name, host) in &mut self.hosts {
            if hosts.contains(name) {
                host.left_at = None;
            } else {
                host.left_at.get_or_insert(now);
            }
        }
        for host in hosts {
            self.hosts.entry(host.clone()).or_default();
        }
    }

    /// Forgets the hosts that left long ago and do not report.
    pub fn forget(&mut self, now: clock::Instant) {
        let count = self.hosts.len();
        self.hosts.retain(|_, host| {
            let is_away =
                |left: clock::Instant| now.since(left) >= amount::stretch(DEPARTURE_TIME, count);
            !host.left_at.is_some_and(is_away) || !host.is_silent(now, count)
        });
    }

    /// Applies the report of a host with this number. What it does not name it does not use beyond the base. Reports that were
    /// overtaken by later ones are ignored.
    pub fn record_report(
        &mut self,
        now: clock::Instant,
        host: &name::Name,
        number: u64,
        uses: &[message::Use],
    ) {
        let host = self.hosts.entry(host.clone()).or_default();
        // The numbers of a restarted host begin anew.
        if (1..MAX_OVERTAKEN).contains(&host.number.saturating_sub(number)) {
            return;
        }
        host.number = number;
        host.reported_at = Some(now);
        let mut previous = std::mem::take(&mut host.accounts);
        for usage in uses {
            let account = previous.remove(&usage.upstream).unwrap_or_default();
            let account = Account {
                held: usage.held,
                wanted: f64::from(usage.wanted).max(account.wanted * WANTED_DECAY),
                running: usage.running,
            };
            host.accounts.insert(usage.upstream.clone(), account);
        }
    }

    /// Returns the grants for the upstreams that the last report of `host` names.
    pub fn grant(
        &mut self,
        now: clock::Instant,
        host: &name::Name,
        capacity: impl Fn(&name::Name) -> Option<Capacity>,
    ) -> Vec<message::Grant> {
        let Some(known) = self.hosts.get(host) else {
            return Vec::new();
        };
        let upstreams: Vec<_> = known.accounts.keys().cloned().collect();
        let grants = upstreams.into_iter().filter_map(|upstream| {
            let capacity = capacity(&upstream)?;
            Some(self.grant_one(now, host, upstream, capacity))
        });
        grants.collect()
    }

    fn grant_one(
        &mut self,
        now: clock::Instant,
        host: &name::Name,
        upstream: name::Name,
        capacity: Capacity,
    ) -> message::Grant {
        let count = self.hosts.len();
        let usable = capacity.usable;
        let base = amount::base(usable, count);
        let weight = |account: &Account| {
            (account.wanted * HEADROOM - f64::from(base)).max(0.0) + EQUAL_WEIGHT
        };
        let (mut committed, mut reserved, mut weights) = (0_u32, 0_u32, 0.0);
        let (mut wanted, mut running) = (0.0, 0_u32);
        for (name, other) in &self.hosts {
            let may_hold = other.committed(now, &upstream, usable, count);
            let account = other.accounts.get(&upstream);
            if name != host {
                committed = committed.saturating_add(may_hold);
            }
            let account = account.filter(|_| !other.is_silent(now, count));
            if let Some(account) = account {
                weights += weight(account);
                wanted += account.wanted;
                running = running.saturating_add(account.running);
                reserved = reserved.saturating_add(base);
            } else {
                reserved = reserved.saturating_add(may_hold);
            }
        }
        let divisible = amount::divisible(usable);
        let own = self.hosts.get_mut(host);
        let own = own.and_then(|known| known.accounts.get_mut(&upstream));
        let Some(own) = own else {
            return message::Grant {
                upstream,
                connections: base,
                places: 0,
                others: running,
            };
        };
        let spare = f64::from(divisible.saturating_sub(reserved));
        let share = spare * weight(own) / weights.max(EQUAL_WEIGHT);
        let target = base.saturating_add(share as u32);
        let available = divisible.saturating_sub(committed);
        let take_over = amount::stretch(TAKE_OVER_TIME, count);
        let connections = if now.since(self.started_at) < take_over {
            own.held.max(base)
        } else {
            target.min(available).max(base)
        };
        own.held = own.held.max(connections);
        let others = running.saturating_sub(own.running);
        let places = capacity.slots.map_or(0, |slots| {
            // While there is room for what all want, each gets that and some headroom.
            let places = amount::places(slots);
            let share = places / (wanted * HEADROOM).max(places);
            (own.wanted * HEADROOM * share).round() as u32
        });
        message::Grant {
            upstream,
            connections,
            places,
            others,
        }
    }

    /// Returns how many connections all hosts together may hold of an upstream.
    #[must_use]
    pub fn committed(&self, now: clock::Instant, upstream: &name::Name, usable: u32) -> u32 {
        let count = self.hosts.len();
        let hosts = self.hosts.values();
        hosts
            .map(|host| host.committed(now, upstream, usable, count))
            .fold(0, u32::saturating_add)
    }
}
