//! Sidecars and upstreams: the requests that they run, their responses and their reports.

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
        self.send_progress(job, progress, None, delay);
    }

    pub(super) fn send_progress(
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
        if self.upstreams[upstream].side.is_none()
            || self.take_fault(super::Fault::DisconnectedBeforeSend)
        {
            return self.fail(&job, outcome::Outcome::NotRun, failed, false, 0);
        }
        if self.is_partitioned_from(job.host, upstream) || self.take_fault(super::Fault::JobLost) {
            return self.fail(&job, unknown, failed, true, super::SIDE_TIMEOUT_MS);
        }
        if self.take_fault(super::Fault::JobDelayed) {
            self.fail(&job, unknown, failed, true, super::SIDE_TIMEOUT_MS);
            return self.send(
                super::SIDE_TIMEOUT_MS + super::DELAY_MS,
                super::Message::Job(upstream, job),
            );
        }
        if self.take_fault(super::Fault::JobDuplicated) {
            self.send(super::DELAY_MS, super::Message::Job(upstream, job.clone()));
        }
        if self.take_fault(super::Fault::DisconnectedAfterSend) {
            // The host's side of the connection fails, but the request still arrives.
            self.fail(&job, unknown, failed, true, super::STEP_MS);
        }
        self.send(0, super::Message::Job(upstream, job));
    }

    pub(super) fn receive_job(&mut self, upstream: usize, job: fake::Job) {
        let id = job.attempt.as_u128();
        let event = side::Event::JobArrived(side::Job {
            sent_at: job.sent.clone(),
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
        let response = position.map(|position| effects.remove(position));
        match response {
            Some(side::Effect::RefuseJob(_, reason, outcome)) => {
                // Only the first of the duplicates has a connection for the response.
                let is_duplicate = self.upstreams[upstream]
                    .runs
                    .iter()
                    .any(|run| run.job.attempt == job.attempt);
                if !is_duplicate {
                    let sent = outcome != outcome::Outcome::NotRun;
                    self.fail(&job, outcome, reason, sent, 0);
                }
            }
            _ => self.execute(upstream, job),
        }
        self.perform_side(upstream, effects);
    }

    pub(super) fn advance_upstream(&mut self, index: usize) {
        let upstream = &self.upstreams[index];
        if self.now < upstream.silent_until.max(upstream.paused_until) {
            return;
        }
        for run in upstream.runs.clone() {
            if self.is_partitioned_from(run.job.host, index) {
                // The partition breaks the connection; the upstream itself continues.
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
        if !is_model && !run.has_sent_head {
            let found = self.upstreams[index].runs.iter_mut();
            for found in found.filter(|other| other.job.attempt == attempt) {
                found.has_sent_head = true;
            }
            return self.send_progress(&run.job, entry::Progress::Head(Some(length)), None, 0);
        }
        let upstream = &mut self.upstreams[index];
        let is_short = run.next + 1 == length && upstream.truncations > 0;
        if run.next == length || is_short {
            upstream.truncations -= u32::from(is_short);
            self.count_hits(super::Fault::ResponseTruncated, u64::from(is_short));
            self.upstreams[index]
                .runs
                .retain(|other| other.job.attempt != attempt);
            let ended = side::Event::JobEnded(attempt.as_u128(), outcome::Outcome::Ran, run.next);
            self.step_side(index, ended);
            let count = if is_short { length } else { run.next };
            let frame_attempt = attempt;
            return self.send_progress(
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
        let mut is_swapped = false;
        if upstream.swaps > 0 && is_model {
            let other = upstream.runs.iter();
            let mut other = other
                .filter(|other| other.job.request != run.job.request && other.job.claim.is_none());
            if let Some(other) = other.next_back().cloned() {
                upstream.swaps -= 1;
                is_swapped = true;
                shown = other;
            }
        }
        self.count_hits(super::Fault::ResponsesSwapped, u64::from(is_swapped));
        let content = Some((shown.job.request, shown.next));
        let progress = if is_model {
            entry::Progress::Token {
                frame_attempt: shown.job.attempt,
                position: shown.next,
            }
        } else {
            entry::Progress::Bytes(1)
        };
        self.send_progress(&run.job, progress, content, 0);
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
                side::Effect::Report(report) => self.send_report(index, &report),
                side::Effect::Exit => {
                    self.upstreams[index].side = None;
                    self.upstreams[index].restart_at = u64::MAX;
                }
                _ => {}
            }
        }
    }

    pub(super) fn send_report(&mut self, index: usize, report: &side::Report) {
        let load = routing::Report {
            upstream: fake::upstream(index),
            incarnation: report.incarnation,
            sequence: report.sequence,
            leaving: report.leaving && self.rule != super::Rule::HostListOnly,
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
            if self.is_partitioned_from(host, index) || self.take_fault(super::Fault::ReportsLost) {
                continue;
            }
            let event = entry::Event::SidecarReported(Box::new(load.clone()));
            let message = || super::Message::Host(host, incarnation, Box::new(event.clone()), None);
            if self.take_fault(super::Fault::ReportsDuplicated) {
                self.send(super::DELAY_MS, message());
            }
            let delay = if self.take_fault(super::Fault::ReportsDelayed) {
                super::DELAY_MS
            } else {
                0
            };
            self.send(delay, message());
            self.send_directive(host, index);
        }
    }

    /// Sends a host's response to the report of a sidecar.
    pub(super) fn send_directive(&mut self, host: usize, index: usize) {
        if self.now < self.hosts[host].paused_until {
            return;
        }
        let Some(reducer) = &self.hosts[host].reducer else {
            return;
        };
        let snapshot = reducer.configuration().snapshot();
        let name = fake::upstream(index);
        let found = snapshot.upstreams().find(|(known, _)| **known == name);
        let directive = side::Directive {
            sent_at: Some(self.origin(host)),
            revision: snapshot.revision(),
            leaving: found.is_some_and(|(_, upstream)| upstream.leaving),
            ..side::Directive::default()
        };
        self.send(0, super::Message::Directive(index, directive));
    }
}
