use std::collections;
use std::time;

use crate::clock;
use crate::name;

#[derive(Clone, Debug)]
struct Peer {
    report: super::Report,
    /// Since when this host has lacked the reported revision.
    behind_since: Option<clock::Instant>,
}

/// The age of one host's knowledge of the store.
///
/// A *store contact* at a time means that the host's copy held everything that the store had at that time. A report
/// from a peer therefore refreshes the contact only once the peer's revision is applied here.
#[derive(Clone, Debug)]
pub struct Monitor {
    host: name::Name,
    roster: Vec<name::Name>,
    peers: collections::BTreeMap<name::Name, Peer>,
    contact: Option<clock::Instant>,
    applied: u64,
    is_confirmed: bool,
}

impl Monitor {
    /// Returns the monitor of `host`, which has had no contact yet.
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

    /// Sets the known entry hosts.
    pub fn set_roster(&mut self, hosts: &[name::Name]) {
        self.roster = hosts.to_vec();
        self.roster.sort();
        self.roster.dedup();
        let roster = &self.roster;
        self.peers.retain(|host, _| roster.contains(host));
    }

    /// Notes that the store, asked at `sent`, confirmed that the copy holds its latest revision.
    pub fn record_store_contact(&mut self, sent: clock::Instant) {
        self.contact = self.contact.max(Some(sent));
        self.is_confirmed = true;
    }

    /// Notes that the copy holds `revision` now.
    pub fn record_applied(&mut self, now: clock::Instant, revision: u64) {
        self.applied = self.applied.max(revision);
        let hosts: Vec<_> = self.peers.keys().cloned().collect();
        for host in hosts {
            self.settle(now, &host);
        }
        self.confirm(now);
    }

    /// Notes a peer's answer to an exchange.
    ///
    /// A report from an earlier process of the peer, or older than the last one, is dropped.
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
        self.settle(now, &host);
        self.confirm(now);
    }

    fn settle(&mut self, now: clock::Instant, host: &name::Name) {
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

    /// Confirms the copy of a restarted host from its peers.
    ///
    /// The host itself is not counted: the process before it may have been part of the majority that acknowledged a
    /// write, and its copy is gone.
    fn confirm(&mut self, now: clock::Instant) {
        let is_applied = |p: &&Peer| p.report.revision <= self.applied;
        let count = self.heard_peers(now).filter(is_applied).count();
        self.is_confirmed |= self.is_majority(count);
    }

    fn heard_peers(&self, now: clock::Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| {
            peer.report.revision > 0 && now.since(peer.report.sent_at) <= super::MAX_REPORT_AGE
        })
    }

    fn is_majority(&self, count: usize) -> bool {
        count > self.roster.len() / 2
    }

    fn own_vote(&self) -> usize {
        usize::from(self.is_confirmed && self.roster.contains(&self.host))
    }

    /// Returns the age of the last store contact, or none before the first.
    pub fn store_age(&self, now: clock::Instant) -> Option<time::Duration> {
        self.contact.map(|contact| now.since(contact))
    }

    /// Returns the revision to report to peers: 0 while the copy is not confirmed.
    pub fn revision(&self) -> u64 {
        if self.is_confirmed { self.applied } else { 0 }
    }

    /// Returns whether the store or a majority of the other hosts has confirmed the copy since the process started.
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Returns how far the copy can be relied on.
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

    fn is_outage(&self, now: clock::Instant) -> bool {
        let without_contact = self.heard_peers(now).filter(|peer| {
            let age = peer.report.store_age;
            let is_late =
                peer.behind_since.map(|since| now.since(since)) > Some(super::CATCH_UP_TIMEOUT);
            !is_late && age.is_none_or(|age| age >= super::MAX_FRESH_AGE)
        });
        self.is_majority(without_contact.count() + self.own_vote())
    }

    /// Returns whether an operator's write may be accepted: a majority of the roster was heard within 2 s.
    pub fn can_acknowledge(&self, now: clock::Instant) -> bool {
        self.is_majority(self.heard_peers(now).count() + self.own_vote())
    }

    /// Returns how many hosts of the roster have applied `revision`, this one included.
    pub fn applied_count(&self, revision: u64) -> usize {
        let peers = self.peers.values();
        let own = self.own_vote() * usize::from(self.applied >= revision);
        own + peers.filter(|p| p.report.revision >= revision).count()
    }

    /// Returns whether so many hosts that a write at `revision` may be acknowledged have applied it.
    pub fn is_acknowledged(&self, revision: u64) -> bool {
        self.is_majority(self.applied_count(revision))
    }
}
