//! Sidecars and upstreams: what they run, answer and report.

use carawaycleat_core::clock;
use carawaycleat_core::entry;
use carawaycleat_core::outcome;
use carawaycleat_core::routing;
use carawaycleat_core::side;

use crate::path_fake as fake;
use crate::routing as support;

impl super::Cluster {
    pub(super) fn fail(
        &mut self,
        job: &fake::Job,
        outcome: outcome::Outcome,
        reason: outcome::Reason,
        sent: bool,
        delay: u64,
    ) {
        let progress = entry::Progress::Failed {
            outcome,
            reason,
            sent,
            message: String::new(),
        };
        self.progress(job, progress, None, delay);
    }

    pub(super) fn progress(
        &mut self,
        job: &fake::Job,
        progress: entry::Progress,
        content: Option<fake::Content>,
        delay: u64,
    ) {
        let incarnation = self.hosts[job.host].incarnation;
        let event = entry::Event::Attempt(job.attempt, progress);
        self.send(
            delay,
            super::Message::Host(job.host, incarnation, Box::new(event), content),
        );
    }

    pub(super) fn send_job(&mut self, upstream: usize, job: fake::Job) {
        let unknown = outcome::Outcome::Unknown;
        let failed = outcome::Reason::UpstreamFailed;
        if self.upstreams[upstream].side.is_none() || self.strikes(super::Fault::CutBefore) {
            return self.fail(&job, outcome::Outcome::NotRun, failed, false, 0);
        }
        if self.is_cut_from(job.host, upstream) || self.strikes(super::Fault::JobLost) {
            return self.fail(&job, unknown, failed, true, super::SIDE_TIMEOUT_MS);
        }
        if self.strikes(super::Fault::JobLate) {
            self.fail(&job, unknown, failed, true, super::SIDE_TIMEOUT_MS);
            return self.send(
                super::SIDE_TIMEOUT_MS + super::LATE_MS,
                super::Message::Job(upstream, job),
            );
        }
        if self.strikes(super::Fault::JobTwice) {
            self.send(super::LATE_MS, super::Message::Job(upstream, job.clone()));
        }
        if self.strikes(super::Fault::CutAfter) {
            // The caller's side of the connection is gone, the request is not.
            self.fail(&job, unknown, failed, true, super::STEP_MS);
        }
        self.send(0, super::Message::Job(upstream, job));
    }

    pub(super) fn job(&mut self, upstream: usize, job: fake::Job) {
        let id = job.attempt.as_u128();
        let event = side::Event::JobArrived(side::Job {
            sent: job.sent.clone(),
            id,
            item: None,
            idempotent: job.idempotent,
            claim: job.claim.clone(),
        });
        let now = clock::Instant::from_millis(self.now);
        let Some(side) = &mut self.upstreams[upstream].side else {
            let failed = outcome::Reason::UpstreamFailed;
            return self.fail(&job, outcome::Outcome::Unknown, failed, true, 0);
        };
        let mut effects = side.step(now, event);
        let position = effects.iter().position(|effect| {
            matches!(effect, side::Effect::StartJob(found) if *found == id)
                || matches!(effect, side::Effect::RefuseJob(found, ..) if *found == id)
        });
        let answer = position.map(|position| effects.remove(position));
        match answer {
            Some(side::Effect::RefuseJob(_, reason, outcome)) => {
                // Only the first copy has a connection for the answer.
                let is_copy = self.upstreams[upstream]
                    .runs
                    .iter()
                    .any(|run| run.job.attempt == job.attempt);
                if !is_copy {
                    let sent = outcome != outcome::Outcome::NotRun;
                    self.fail(&job, outcome, reason, sent, 0);
                }
            }
            _ => self.execute(upstream, job),
        }
        self.perform_side(upstream, effects);
    }

    pub(super) fn advance(&mut self, index: usize) {
        let upstream = &self.upstreams[index];
        if self.now < upstream.silent_until.max(upstream.paused_until) {
            return;
        }
        for run in upstream.runs.clone() {
            if self.is_cut_from(run.job.host, index) {
                // The connection is broken; the upstream goes on.
                let (unknown, failed) =
                    (outcome::Outcome::Unknown, outcome::Reason::UpstreamFailed);
                self.drop_runs(index, |other| other.job.attempt == run.job.attempt, None);
                self.fail(&run.job, unknown, failed, true, 0);
                continue;
            }
            self.advance_run(index, &run);
        }
    }

    pub(super) fn advance_run(&mut self, index: usize, run: &fake::Run) {
        let caller = &self.callers[&run.job.request];
        let (length, is_model) = (caller.length, caller.is_model);
        let attempt = run.job.attempt;
        if !is_model && !run.is_headed {
            let found = self.upstreams[index].runs.iter_mut();
            for found in found.filter(|other| other.job.attempt == attempt) {
                found.is_headed = true;
            }
            return self.progress(&run.job, entry::Progress::Head(Some(length)), None, 0);
        }
        let upstream = &mut self.upstreams[index];
        let is_short = run.next + 1 == length && upstream.shorts > 0;
        if run.next == length || is_short {
            upstream.shorts -= u32::from(is_short);
            self.meet(super::Fault::Short, u64::from(is_short));
            self.upstreams[index]
                .runs
                .retain(|other| other.job.attempt != attempt);
            let ended = side::Event::JobEnded(attempt.as_u128(), outcome::Outcome::Ran, run.next);
            self.step_side(index, ended);
            let count = if is_short { length } else { run.next };
            let frame_attempt = attempt;
            return self.progress(
                &run.job,
                entry::Progress::Ended {
                    frame_attempt,
                    count,
                },
                None,
                0,
            );
        }
        for found in upstream.runs.iter_mut() {
            found.next += u64::from(found.job.attempt == attempt);
        }
        let mut shown = run.clone();
        let mut is_crossed = false;
        if upstream.crossings > 0 && is_model {
            let other = upstream.runs.iter();
            let mut other = other
                .filter(|other| other.job.request != run.job.request && other.job.claim.is_none());
            if let Some(other) = other.next_back().cloned() {
                upstream.crossings -= 1;
                is_crossed = true;
                shown = other;
            }
        }
        self.meet(super::Fault::Crossed, u64::from(is_crossed));
        let content = Some((shown.job.request, shown.next));
        let progress = if is_model {
            entry::Progress::Token {
                frame_attempt: shown.job.attempt,
                position: shown.next,
            }
        } else {
            entry::Progress::Bytes(1)
        };
        self.progress(&run.job, progress, content, 0);
    }

    pub(super) fn step_side(&mut self, index: usize, event: side::Event) {
        let now = clock::Instant::from_millis(self.now);
        let Some(side) = &mut self.upstreams[index].side else {
            return;
        };
        let effects = side.step(now, event);
        self.perform_side(index, effects);
    }

    pub(super) fn perform_side(&mut self, index: usize, effects: Vec<side::Effect>) {
        for effect in effects {
            match effect {
                side::Effect::Report(report) => self.report(index, &report),
                side::Effect::Exit => {
                    self.upstreams[index].side = None;
                    self.upstreams[index].restart_at = u64::MAX;
                }
                _ => {}
            }
        }
    }

    pub(super) fn report(&mut self, index: usize, report: &side::Report) {
        let load = routing::Report {
            upstream: fake::upstream(index),
            incarnation: report.incarnation,
            sequence: report.sequence,
            leaving: report.leaving && self.rule != super::Rule::ListOnly,
            reachable: true,
            resident: vec![routing::Resident {
                model: support::name("m"),
                adapter: None,
                answered: true,
            }],
            in_flight: u32::try_from(report.in_flight).expect("a small number"),
            waiting: 0,
            capacity: 0,
        };
        for host in 0..self.hosts.len() {
            let incarnation = self.hosts[host].incarnation;
            if self.is_cut_from(host, index) || self.strikes(super::Fault::ReportsLost) {
                continue;
            }
            let event = entry::Event::SidecarReported(Box::new(load.clone()));
            let message = || super::Message::Host(host, incarnation, Box::new(event.clone()), None);
            if self.strikes(super::Fault::ReportsTwice) {
                self.send(super::LATE_MS, message());
            }
            let delay = if self.strikes(super::Fault::ReportsLate) {
                super::LATE_MS
            } else {
                0
            };
            self.send(delay, message());
            self.direct(host, index);
        }
    }

    /// Sends a host's answer to the report of a sidecar.
    pub(super) fn direct(&mut self, host: usize, index: usize) {
        if self.now < self.hosts[host].paused_until {
            return;
        }
        let Some(reducer) = &self.hosts[host].reducer else {
            return;
        };
        let snapshot = reducer.history().snapshot();
        let name = fake::upstream(index);
        let found = snapshot.upstreams().find(|(known, _)| **known == name);
        let directive = side::Directive {
            sent: Some(self.origin(host)),
            revision: snapshot.revision(),
            leaving: found.is_some_and(|(_, upstream)| upstream.leaving),
            ..side::Directive::default()
        };
        self.send(0, super::Message::Directive(index, directive));
    }
}
