//! The injection of faults.

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
            | super::Fault::JobLate
            | super::Fault::JobTwice
            | super::Fault::CutBefore
            | super::Fault::CutAfter => {
                self.delayed.insert(fault, 2);
            }
            super::Fault::ReportsLost | super::Fault::ReportsLate | super::Fault::ReportsTwice => {
                self.delayed.insert(fault, 8);
            }
            super::Fault::ChangesLost | super::Fault::ChangesLate | super::Fault::ChangesTwice => {
                self.delayed.insert(fault, 2);
                // A change for the fault to meet.
                self.wishes.push(super::Wish::Rewrite(3));
            }
            super::Fault::ExchangesLate => {
                self.delayed.insert(fault, 12);
            }
            super::Fault::ListLate => {
                let event = entry::Event::UpstreamListed(fake::upstream(1), true);
                self.send(10_000, super::Message::Host(0, 1, Box::new(event), None));
                self.meet(fault, 1);
            }
            super::Fault::HostKilled => self.kill_host(0),
            super::Fault::HostPaused => self.hosts[0].paused_until = now + super::PAUSE_MS,
            super::Fault::SideKilled => self.kill_side(2),
            super::Fault::SidePaused => self.upstreams[2].paused_until = now + super::PAUSE_MS,
            super::Fault::RegionCut => self.cut_until = now + super::CUT_MS,
            super::Fault::Silent => {
                for upstream in [0, 2] {
                    self.upstreams[upstream].silent_until = now + super::PAUSE_MS;
                }
            }
            super::Fault::Short => {
                for upstream in &mut self.upstreams {
                    upstream.shorts += 1;
                }
            }
            super::Fault::Crossed => {
                for upstream in &mut self.upstreams {
                    upstream.crossings += 1;
                }
            }
            super::Fault::KeyWithdrawn => {
                self.wishes.push(super::Wish::Withdraw);
            }
            super::Fault::StoreDown => self.store.down_until = now + super::CUT_MS,
            super::Fault::StoreSlow => self.store.slow_until = now + super::CUT_MS,
            super::Fault::AnswerLost => self.store.answers_to_lose += 1,
            super::Fault::Leaving => self.leave(2),
            super::Fault::HostStopped => self.stop_host(1),
            super::Fault::SideStopped => self.stop_side(0),
            super::Fault::CallerGone => self.leave_callers(),
        }
        let meets_at_once = !matches!(
            fault,
            super::Fault::JobLost
                | super::Fault::JobLate
                | super::Fault::JobTwice
                | super::Fault::CutBefore
                | super::Fault::CutAfter
                | super::Fault::ReportsLost
                | super::Fault::ReportsLate
                | super::Fault::ReportsTwice
                | super::Fault::ChangesLost
                | super::Fault::ChangesLate
                | super::Fault::ChangesTwice
                | super::Fault::ExchangesLate
                | super::Fault::Short
                | super::Fault::Crossed
                | super::Fault::AnswerLost
                | super::Fault::ListLate
        );
        self.meet(fault, u64::from(meets_at_once));
    }

    /// Takes one occurrence of a fault of a message or connection.
    pub(super) fn strikes(&mut self, fault: super::Fault) -> bool {
        let Some(left) = self.delayed.get_mut(&fault).filter(|left| **left > 0) else {
            return false;
        };
        *left -= 1;
        self.meet(fault, 1);
        true
    }

    /// Performs what operators want as soon as the store takes writes.
    pub(super) fn operate(&mut self) {
        if self.now < self.store.down_until {
            return;
        }
        for wish in std::mem::take(&mut self.wishes) {
            match wish {
                super::Wish::Rewrite(upstream) => {
                    let leaving = self.upstreams[upstream].leaving;
                    self.store.write_upstream(upstream, leaving);
                }
                super::Wish::Leave(upstream) => {
                    self.upstreams[upstream].leaving = true;
                    self.upstreams[upstream].leaves_at.get_or_insert(self.now);
                    self.store.write_upstream(upstream, true);
                }
                super::Wish::Withdraw => {
                    let id = resource::Id::new(resource::Kind::Key, support::name("k-w1"));
                    self.store.put(config::key(&id), None);
                    self.withdrawn_at.get_or_insert(self.now);
                }
            }
            self.writes.push((self.store.revision, self.now));
        }
    }

    pub(super) fn leave(&mut self, index: usize) {
        if self.rule == super::Rule::ListOnly {
            self.upstreams[index].leaves_at.get_or_insert(self.now);
            let event = entry::Event::UpstreamListed(fake::upstream(index), true);
            for host in 0..self.hosts.len() {
                let incarnation = self.hosts[host].incarnation;
                self.send(
                    10_000,
                    super::Message::Host(host, incarnation, Box::new(event.clone()), None),
                );
            }
        } else {
            self.wishes.push(super::Wish::Leave(index));
        }
    }

    pub(super) fn kill_host(&mut self, index: usize) {
        self.hosts[index].reducer = None;
        self.hosts[index].restart_at = self.now + 3_000;
        self.hosts[index].flows.clear();
        for caller in self.callers.values_mut().filter(|c| c.host == index) {
            caller.is_lost = true;
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
        if self.rule == super::Rule::StopAtOnce {
            self.hosts[index].reducer = None;
            self.hosts[index].has_exited = true;
            return;
        }
        self.hosts[index].is_stopping = true;
        self.step_host(index, entry::Event::Stop, None);
    }

    pub(super) fn stop_side(&mut self, index: usize) {
        self.upstreams[index].leaves_at.get_or_insert(self.now);
        if self.rule == super::Rule::StopAtOnce {
            return self.kill_side(index);
        }
        self.step_side(index, side::Event::Shutdown);
    }

    pub(super) fn leave_callers(&mut self) {
        let open = self.callers.iter().filter(|(_, c)| is_open(c));
        let open: Vec<_> = open.map(|(id, c)| (*id, c.host)).step_by(2).collect();
        for (id, host) in open {
            if let Some(caller) = self.callers.get_mut(&id) {
                caller.is_lost = true;
            }
            self.step_host(host, entry::Event::CallerDisconnected(id), None);
        }
    }

    /// Ends running requests of an upstream; with an outcome, their hosts hear of it.
    pub(super) fn drop_runs(
        &mut self,
        index: usize,
        is_hit: impl Fn(&fake::Run) -> bool,
        said: Option<outcome::Outcome>,
    ) {
        let runs = std::mem::take(&mut self.upstreams[index].runs);
        let (hit, kept) = runs.into_iter().partition(is_hit);
        self.upstreams[index].runs = kept;
        for run in hit {
            let run: fake::Run = run;
            let event =
                side::Event::JobEnded(run.job.attempt.as_u128(), outcome::Outcome::Unknown, 0);
            self.step_side(index, event);
            if let Some(outcome) = said {
                self.fail(&run.job, outcome, outcome::Reason::UpstreamFailed, true, 0);
            }
        }
    }

    pub(super) fn restart(&mut self) {
        for index in 0..self.hosts.len() {
            let host = &self.hosts[index];
            if host.reducer.is_none() && !host.has_exited && self.now >= host.restart_at {
                let incarnation = host.incarnation + 1;
                let reducer = self.reducer(index, incarnation);
                let host = &mut self.hosts[index];
                host.reducer = Some(reducer);
                (host.incarnation, host.watched, host.in_force) = (incarnation, 0, 0);
                (host.connected_since, host.last_arrival) = (self.now, 0);
            }
        }
        for upstream in &mut self.upstreams {
            if upstream.side.is_none() && self.now >= upstream.restart_at {
                let (incarnation, leaves_at) = (upstream.incarnation + 1, upstream.leaves_at);
                let (leaving, was_stopped) = (upstream.leaving, leaves_at.is_some());
                *upstream = fake::Upstream::new(incarnation);
                // A sidecar that was stopped and started again takes work, unless its resource says otherwise.
                upstream.leaving = leaving;
                upstream.leaves_at = leaves_at.filter(|_| was_stopped && leaving);
            }
        }
    }
}
