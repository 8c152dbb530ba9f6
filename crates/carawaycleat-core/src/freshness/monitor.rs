use std::collections;
use std::time;

use crate::clock;
use crate::name;

#[derive(Clone, Debug)]
struct Peer {
    report: super::Report,
    /// The time since which this host has lacked the reported revision.
    behind_since: Option<clock::Instant>,
}

/// Tracks how recent a host's cached configuration is.
///
/// A *store contact* at a given time means that the cache contained everything that the store had at that time. A
/// report from a peer therefore refreshes the contact only once the peer's revision is applied here.
#[derive(Clone, Debug)]
pub struct Monitor {
    host: name::Name,
    roster: Vec<name::Name>,
    peers: collections::BTreeMap<name::Name, Peer>,
    /// The time of the last store contact; none before the first.
    contact: Option<clock::Instant>,
    /// The highest revision that has been applied to the cache.
    applied: u64,
    /// Whether the store or a majority of peers has confirmed the cache since the process started.
    is_confirmed: bool,
}

impl Monitor {
    /// Returns the monitor of `host` before its first store contact.
    pub fn new(host: name::Name) -> Self {
        Self {
            host,
            roster: Vec::new(),
            peers: collections::BTreeMap::new(),
            contact: None,
            applied: 0,
            is_confirmed: false,
        }
    }

    /// Sets the known entry hosts, and forgets the reports of others.
    pub fn set_roster(&mut self, hosts: &[name::Name]) {
        self.roster = hosts.to_vec();
        self.roster.sort();
        self.roster.dedup();
        let roster = &self.roster;
        self.peers.retain(|host, _| roster.contains(host));
    }

    /// Records that the store, in response to a request sent at `sent_at`, confirmed that the cache is up to date.
    pub fn record_store_contact(&mut self, sent_at: clock::Instant) {
        self.contact = self.contact.max(Some(sent_at));
        self.is_confirmed = true;
    }

    /// Records that the cache contains `revision` now.
    pub fn record_applied(&mut self, now: clock::Instant, revision: u64) {
        self.applied = self.applied.max(revision);
        let hosts: Vec<_> = self.peers.keys().cloned().collect();
        for host in hosts {
            self.update_contact(now, &host);
        }
        self.confirm(now);
    }

    /// Records a peer's response to an exchange.
    ///
    /// A report from an earlier process of the peer, or one older than the last, is ignored.
    pub fn record_report(&mut self, now: clock::Instant, report: super::Report) {
        if report.host == self.host || !self.roster.contains(&report.host) {
            return;
        }
        let mut behind_since = None;
        if let Some(last) = self.peers.get(&report.host) {
            let known = (last.report.incarnation, last.report.sent_at);
            if (report.incarnation, report.sent_at) < known {
                return;
            }
            behind_since = last.behind_since;
        }
        let host = report.host.clone();
        let peer = Peer {
            report,
            behind_since,
        };
        self.peers.insert(host.clone(), peer);
        self.update_contact(now, &host);
        self.confirm(now);
    }

    /// Updates the store contact and the lag from the report of `host`.
    fn update_contact(&mut self, now: clock::Instant, host: &name::Name) {
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        if peer.report.revision > self.applied {
            peer.behind_since.get_or_insert(now);
            return;
        }
        peer.behind_since = None;
        if peer.report.revision > 0
            && let Some(age) = peer.report.store_age
        {
            let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
            let contact = peer.report.sent_at.as_micros().checked_sub(age);
            self.contact = self.contact.max(contact.map(clock::Instant::from_micros));
        }
    }

    /// Confirms the cache of a restarted host once it contains the revisions of a majority.
    ///
    /// The host itself is not counted: its previous process may have been part of the majority that acknowledged a
    /// write, and the cache of that process is lost.
    fn confirm(&mut self, now: clock::Instant) {
        let is_applied = |p: &&Peer| p.report.revision <= self.applied;
        let count = self.recent_peers(now).filter(is_applied).count();
        self.is_confirmed |= self.is_majority(count);
    }

    /// Returns the peers with a recent report of a confirmed cache.
    fn recent_peers(&self, now: clock::Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| {
            peer.report.revision > 0 && now.since(peer.report.sent_at) <= super::MAX_REPORT_AGE
        })
    }

    fn is_majority(&self, count: usize) -> bool {
        count > self.roster.len() / 2
    }

    /// Returns 1 if this host counts towards a majority, else 0.
    fn own_vote(&self) -> usize {
        usize::from(self.is_confirmed && self.roster.contains(&self.host))
    }

    /// Returns the age of the last store contact; none before the first.
    pub fn store_age(&self, now: clock::Instant) -> Option<time::Duration> {
        self.contact.map(|contact| now.since(contact))
    }

    /// Returns the revision to report to peers: 0 while the cache is not confirmed.
    pub fn revision(&self) -> u64 {
        if self.is_confirmed { self.applied } else { 0 }
    }

    /// Returns whether the store or a majority of the hosts, not counting this one, has confirmed the cache since the
    /// process started.
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Returns how far the cache can be relied on.
    pub fn state(&self, now: clock::Instant) -> super::State {
        let age = self.store_age(now);
        let is_younger = |limit: time::Duration| age.is_some_and(|age| age < limit);
        if !self.is_confirmed {
            super::State::Isolated
        } else if is_younger(super::MAX_FRESH_AGE) {
            super::State::Fresh
        } else if self.is_outage(now) {
            super::State::Outage
        } else if is_younger(super::MAX_SERVING_AGE) {
            super::State::Asking
        } else {
            super::State::Isolated
        }
    }

    /// Returns whether a majority has no recent store contact.
    ///
    /// A peer whose revision this host has lacked for too long does not count.
    fn is_outage(&self, now: clock::Instant) -> bool {
        let without_contact = self.recent_peers(now).filter(|peer| {
            let age = peer.report.store_age;
            let is_too_far_behind =
                peer.behind_since.map(|since| now.since(since)) > Some(super::CATCH_UP_TIMEOUT);
            !is_too_far_behind && age.is_none_or(|age| age >= super::MAX_FRESH_AGE)
        });
        self.is_majority(without_contact.count() + self.own_vote())
    }

    /// Returns whether an operator's write may be accepted: a majority of the roster, this host included, has reported
    /// within 2 s.
    pub fn can_acknowledge(&self, now: clock::Instant) -> bool {
        self.is_majority(self.recent_peers(now).count() + self.own_vote())
    }

    /// Returns how many hosts of the roster have applied `revision`, this one included.
    pub fn applied_count(&self, revision: u64) -> usize {
        let peers = self.peers.values();
        let own = self.own_vote() * usize::from(self.applied >= revision);
        own + peers.filter(|p| p.report.revision >= revision).count()
    }

    /// Returns whether a majority has applied `revision`, so that a write at that revision may be acknowledged.
    pub fn is_acknowledged(&self, revision: u64) -> bool {
        self.is_majority(self.applied_count(revision))
    }
}
