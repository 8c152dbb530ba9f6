//! The network: reachability, and messages in transit.

use carawaycleat_core::entry;
use carawaycleat_core::freshness;
use carawaycleat_core::side;

use crate::path_fake as fake;

impl super::Cluster {
    pub(super) fn is_partitioned(&self, first_in_a: bool, second_in_a: bool) -> bool {
        self.now < self.partitioned_until && first_in_a != second_in_a
    }

    /// Region A has the first host, the first engine and the first service; region B has the rest and the store.
    pub(super) fn is_partitioned_from(&self, host: usize, upstream: usize) -> bool {
        self.is_partitioned(host == 0, upstream.is_multiple_of(2))
    }

    pub(super) fn has_store(&self, host: usize) -> bool {
        self.now >= self.store.down_until && !self.is_partitioned(host == 0, false)
    }

    pub(super) fn store_delay(&self) -> u64 {
        if self.now < self.store.slow_until {
            super::DELAY_MS
        } else {
            0
        }
    }

    pub(super) fn send(&mut self, delay: u64, message: super::Message) {
        self.sent += 1;
        self.messages.push((self.now + delay, self.sent, message));
    }

    /// Sends the store's changes to the hosts, and exchanges reports between hosts.
    pub(super) fn exchange_messages(&mut self) {
        for host in 0..self.hosts.len() {
            let is_up = self.hosts[host].reducer.is_some();
            if !(is_up && self.has_store(host) && self.now >= self.hosts[host].paused_until) {
                self.hosts[host].connected_since = self.now + super::STEP_MS;
                continue;
            }
            let (incarnation, since) = (self.hosts[host].incarnation, self.hosts[host].watched);
            let through = self.store.revision;
            let mut delay = self.store_delay();
            if through > since {
                self.hosts[host].watched = through;
                let event = entry::Event::Changes {
                    since,
                    through,
                    changes: self.store.since(since),
                };
                let message =
                    || super::Message::Host(host, incarnation, Box::new(event.clone()), None);
                if self.take_fault(super::Fault::ChangesDuplicated) {
                    self.send(super::DELAY_MS, message());
                }
                if self.take_fault(super::Fault::ChangesDelayed) {
                    delay += super::DELAY_MS;
                }
                if !self.take_fault(super::Fault::ChangesLost) {
                    self.send(delay, message());
                }
            }
            let contact = super::Message::Contact(host, incarnation, self.clock(host), through);
            self.send(delay, contact);
        }
        if self.step.is_multiple_of(2) {
            for host in 0..self.hosts.len() {
                for peer in (0..self.hosts.len()).filter(|peer| *peer != host) {
                    self.exchange(host, peer);
                }
            }
        }
    }

    pub(super) fn exchange(&mut self, host: usize, peer: usize) {
        let is_running = |h: &super::Host| h.reducer.is_some() && self.now >= h.paused_until;
        if !is_running(&self.hosts[host])
            || !is_running(&self.hosts[peer])
            || self.is_partitioned(host == 0, peer == 0)
        {
            return;
        }
        let now = self.clock(peer);
        let incarnation = self.hosts[peer].incarnation;
        let Some(reducer) = &mut self.hosts[peer].reducer else {
            return;
        };
        let report = freshness::Report {
            host: fake::host(peer),
            incarnation,
            revision: reducer.monitor().revision(),
            store_age: reducer.monitor().store_age(now),
            sent_at: self.clock(host),
        };
        let offers = self.hosts[peer]
            .reducer
            .as_mut()
            .map(|r| r.offers(now))
            .unwrap_or_default();
        let event = entry::Event::PeerReported { report, offers };
        let delay = if self.take_fault(super::Fault::ExchangesDelayed) {
            super::DELAY_MS
        } else {
            0
        };
        let incarnation = self.hosts[host].incarnation;
        self.send(
            delay,
            super::Message::Host(host, incarnation, Box::new(event), None),
        );
    }

    pub(super) fn deliver(&mut self) {
        loop {
            let now = self.now;
            let is_due = |m: &(u64, u64, super::Message)| m.0 <= now;
            let mut due: Vec<_> = self.messages.extract_if(.., |m| is_due(m)).collect();
            due.sort_by_key(|(at, sequence, _)| (*at, *sequence));
            if due.is_empty() {
                return;
            }
            for (_, _, message) in due {
                self.receive(message);
            }
        }
    }

    pub(super) fn receive(&mut self, message: super::Message) {
        match message {
            super::Message::Host(host, incarnation, event, content) => {
                if self.postpone_host(host, incarnation) {
                    let until = self.hosts[host].paused_until - self.now;
                    return self.send(
                        until,
                        super::Message::Host(host, incarnation, event, content),
                    );
                }
                if self.hosts[host].incarnation == incarnation {
                    self.step_host(host, *event, content);
                }
            }
            super::Message::Contact(host, incarnation, sent, revision) => {
                if self.postpone_host(host, incarnation) {
                    let until = self.hosts[host].paused_until - self.now;
                    return self.send(
                        until,
                        super::Message::Contact(host, incarnation, sent, revision),
                    );
                }
                let applied = self.revision(host);
                if self.hosts[host].incarnation == incarnation && applied >= revision {
                    self.step_host(host, entry::Event::StoreContact(sent), None);
                } else if self.rule != super::Rule::NoRefetch && self.hosts[host].watched > applied
                {
                    // The watch restarts after the applied revision.
                    self.hosts[host].watched = applied;
                }
            }
            super::Message::Claim(host, incarnation, id, event) => {
                if self.hosts[host].incarnation == incarnation {
                    self.step_claim(host, id, event);
                }
            }
            super::Message::Job(upstream, job) => {
                let until = self.upstreams[upstream].paused_until;
                if self.now < until {
                    return self.send(until - self.now, super::Message::Job(upstream, job));
                }
                self.receive_job(upstream, job);
            }
            super::Message::Directive(upstream, directive) => {
                self.step_side(upstream, side::Event::Directive(directive));
            }
        }
    }

    pub(super) fn postpone_host(&self, host: usize, incarnation: u64) -> bool {
        let host = &self.hosts[host];
        host.incarnation == incarnation && self.now < host.paused_until
    }
}
