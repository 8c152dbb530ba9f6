//! Injection of faults, and operations such as planned stops.

use carawaycleat_core::config;
use carawaycleat_core::entry;
use carawaycleat_core::outcome;
use carawaycleat_core::resource;
use carawaycleat_core::side;

use super::is_open;
use crate::path_fake as fake;
use crate::routing as support;

impl super::Cluster {
    pub(super) fn inject(&mut self, fault: super::Fault) {
        let now = self.now;
        match fault {
            super::Fault::JobLost
            | super::Fault::JobDelayed
            | super::Fault::JobDuplicated
            | super::Fault::DisconnectedBeforeSend
            | super::Fault::DisconnectedAfterSend => {
                self.remaining.insert(fault, 2);
            }
            super::Fault::ReportsLost
            | super::Fault::ReportsDelayed
            | super::Fault::ReportsDuplicated => {
                self.remaining.insert(fault, 8);
            }
            super::Fault::ChangesLost
            | super::Fault::ChangesDelayed
            | super::Fault::ChangesDuplicated => {
                self.remaining.insert(fault, 2);
                // A write whose change the fault can affect.
                self.operator_writes.push(super::OperatorWrite::Rewrite(3));
            }
            super::Fault::ExchangesDelayed => {
                self.remaining.insert(fault, 12);
            }
            super::Fault::HostListDelayed => {
                let event = entry::Event::UpstreamListed(fake::upstream(1), true);
                self.send(10_000, super::Message::Host(0, 1, Box::new(event), None));
                self.count_hits(fault, 1);
            }
            super::Fault::HostKilled => self.kill_host(0),
            super::Fault::HostPaused => self.hosts[0].paused_until = now + super::PAUSE_MS,
            super::Fault::SideKilled => self.kill_side(2),
            super::Fault::SidePaused => self.upstreams[2].paused_until = now + super::PAUSE_MS,
            super::Fault::Partition => self.partitioned_until = now + super::OUTAGE_MS,
            super::Fault::UpstreamsHung => {
                for upstream in [0, 2] {
                    self.upstreams[upstream].silent_until = now + super::PAUSE_MS;
                }
            }
            super::Fault::ResponseTruncated => {
                for upstream in &mut self.upstreams {
                    upstream.truncations += 1;
                }
            }
            super::Fault::ResponsesSwapped => {
                for upstream in &mut self.upstreams {
                    upstream.swaps += 1;
                }
            }
            super::Fault::KeyWithdrawn => {
                self.operator_writes.push(super::OperatorWrite::WithdrawKey);
            }
            super::Fault::StoreDown => self.store.down_until = now + super::OUTAGE_MS,
            super::Fault::StoreSlow => self.store.slow_until = now + super::OUTAGE_MS,
            super::Fault::StoreResponseLost => self.store.responses_to_lose += 1,
            super::Fault::UpstreamLeaving => self.drain_upstream(2),
            super::Fault::HostStopped => self.stop_host(1),
            super::Fault::SideStopped => self.stop_side(0),
            super::Fault::CallerDisconnected => self.disconnect_callers(),
        }
        let is_immediate = !matches!(
            fault,
            super::Fault::JobLost
                | super::Fault::JobDelayed
                | super::Fault::JobDuplicated
                | super::Fault::DisconnectedBeforeSend
                | super::Fault::DisconnectedAfterSend
                | super::Fault::ReportsLost
                | super::Fault::ReportsDelayed
                | super::Fault::ReportsDuplicated
                | super::Fault::ChangesLost
                | super::Fault::ChangesDelayed
                | super::Fault::ChangesDuplicated
                | super::Fault::ExchangesDelayed
                | super::Fault::ResponseTruncated
                | super::Fault::ResponsesSwapped
                | super::Fault::StoreResponseLost
                | super::Fault::HostListDelayed
        );
        self.count_hits(fault, u64::from(is_immediate));
    }

    /// Returns whether a fault affects the current message or connection, and counts down its remaining occurrences.
    pub(super) fn take_fault(&mut self, fault: super::Fault) -> bool {
        let Some(left) = self.remaining.get_mut(&fault).filter(|left| **left > 0) else {
            return false;
        };
        *left -= 1;
        self.count_hits(fault, 1);
        true
    }

    /// Performs the pending writes of operators if the store accepts writes.
    pub(super) fn apply_operator_writes(&mut self) {
        if self.now < self.store.down_until {
            return;
        }
        for write in std::mem::take(&mut self.operator_writes) {
            match write {
                super::OperatorWrite::Rewrite(upstream) => {
                    let leaving = self.upstreams[upstream].leaving;
                    self.store.write_upstream(upstream, leaving);
                }
                super::OperatorWrite::Drain(upstream) => {
                    self.upstreams[upstream].leaving = true;
                    self.upstreams[upstream]
                        .leaving_since
                        .get_or_insert(self.now);
                    self.store.write_upstream(upstream, true);
                }
                super::OperatorWrite::WithdrawKey => {
                    let id = resource::Id::new(resource::Kind::Key, support::name("k-w1"));
                    self.store.put(config::key(&id), None);
                    self.withdrawn_at.get_or_insert(self.now);
                }
            }
            self.writes.push((self.store.revision, self.now));
        }
    }

    pub(super) fn drain_upstream(&mut self, index: usize) {
        if self.rule == super::Rule::HostListOnly {
            self.upstreams[index].leaving_since.get_or_insert(self.now);
            let event = entry::Event::UpstreamListed(fake::upstream(index), true);
            for host in 0..self.hosts.len() {
                let incarnation = self.hosts[host].incarnation;
                self.send(
                    10_000,
                    super::Message::Host(host, incarnation, Box::new(event.clone()), None),
                );
            }
        } else {
            self.operator_writes
                .push(super::OperatorWrite::Drain(index));
        }
    }

    pub(super) fn kill_host(&mut self, index: usize) {
        self.hosts[index].reducer = None;
        self.hosts[index].restart_at = self.now + 3_000;
        self.hosts[index].claims.clear();
        for caller in self.callers.values_mut().filter(|c| c.host == index) {
            caller.is_disconnected = true;
        }
        for upstream in 0..self.upstreams.len() {
            self.drop_runs(upstream, |run| run.job.host == index, None);
        }
    }

    pub(super) fn kill_side(&mut self, index: usize) {
        self.drop_runs(index, |_| true, Some(outcome::Outcome::Unknown));
        self.upstreams[index].side = None;
        self.upstreams[index].restart_at = self.now + 2_000;
    }

    pub(super) fn stop_host(&mut self, index: usize) {
        if self.rule == super::Rule::StopImmediately {
            self.hosts[index].reducer = None;
            self.hosts[index].has_exited = true;
            return;
        }
        self.hosts[index].is_stopping = true;
        self.step_host(index, entry::Event::Stop, None);
    }

    pub(super) fn stop_side(&mut self, index: usize) {
        self.upstreams[index].leaving_since.get_or_insert(self.now);
        if self.rule == super::Rule::StopImmediately {
            return self.kill_side(index);
        }
        self.step_side(index, side::Event::Shutdown);
    }

    pub(super) fn disconnect_callers(&mut self) {
        let open = self.callers.iter().filter(|(_, c)| is_open(c));
        let open: Vec<_> = open.map(|(id, c)| (*id, c.host)).step_by(2).collect();
        for (id, host) in open {
            if let Some(caller) = self.callers.get_mut(&id) {
                caller.is_disconnected = true;
            }
            self.step_host(host, entry::Event::CallerDisconnected(id), None);
        }
    }

    /// Ends running requests of an upstream, and reports the failure to their hosts if `reported` has an outcome.
    pub(super) fn drop_runs(
        &mut self,
        index: usize,
        is_affected: impl Fn(&fake::Run) -> bool,
        reported: Option<outcome::Outcome>,
    ) {
        let runs = std::mem::take(&mut self.upstreams[index].runs);
        let (affected, kept) = runs.into_iter().partition(is_affected);
        self.upstreams[index].runs = kept;
        for run in affected {
            let run: fake::Run = run;
            let event =
                side::Event::JobEnded(run.job.attempt.as_u128(), outcome::Outcome::Unknown, 0);
            self.step_side(index, event);
            if let Some(outcome) = reported {
                self.fail(&run.job, outcome, outcome::Reason::UpstreamFailed, true, 0);
            }
        }
    }

    pub(super) fn restart_processes(&mut self) {
        for index in 0..self.hosts.len() {
            let host = &self.hosts[index];
            if host.reducer.is_none() && !host.has_exited && self.now >= host.restart_at {
                let incarnation = host.incarnation + 1;
                let reducer = self.reducer(index, incarnation);
                let host = &mut self.hosts[index];
                host.reducer = Some(reducer);
                (host.incarnation, host.watched, host.in_force) = (incarnation, 0, 0);
                (host.connected_since, host.last_received) = (self.now, 0);
            }
        }
        for upstream in &mut self.upstreams {
            if upstream.side.is_none() && self.now >= upstream.restart_at {
                let (incarnation, leaving_since) =
                    (upstream.incarnation + 1, upstream.leaving_since);
                let (leaving, was_stopped) = (upstream.leaving, leaving_since.is_some());
                *upstream = fake::Upstream::new(incarnation);
                // A sidecar that was stopped and restarted accepts requests, unless its resource is marked as leaving.
                upstream.leaving = leaving;
                upstream.leaving_since = leaving_since.filter(|_| was_stopped && leaving);
            }
        }
    }
}
