//! Invariants of executions, configuration and responses.

use carawaycleat_core::entry;
use carawaycleat_core::outcome;

use super::is_open;
use crate::path_fake as fake;

impl super::Cluster {
    /// Records that an upstream starts a request, and checks that it may.
    pub(super) fn execute(&mut self, upstream: usize, job: fake::Job) {
        let id = job.request;
        let visible = format!("{} {job:?}", job.forwarded_key);
        for workspace in ["w1", "w2", "w3"] {
            let is_exposed = visible.contains(&fake::secret(workspace))
                || visible.contains(&fake::digest(workspace).to_hex());
            self.check_that(!is_exposed, super::Violation::KeyExposed, visible.clone());
        }
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        caller.executions += 1;
        let caller = caller.clone();
        let is_own = job.workspace.as_deref() == Some(caller.workspace);
        self.check_that(
            is_own,
            super::Violation::WrongWorkspace,
            format!("{id:?} {job:?}"),
        );
        let was_refused = caller.refused.map(|(_, o)| o) == Some(outcome::Outcome::NotRun);
        self.check_that(
            !was_refused,
            super::Violation::FalseNotRun,
            format!("{id:?} runs"),
        );
        let is_withdrawn =
            caller.workspace == "w1" && self.withdrawn_at.is_some_and(|at| self.now > at + 5_000);
        // A job that the network or a paused sidecar delayed beyond the limit had been sent before the withdrawal.
        let is_delayed = self.remaining.contains_key(&super::Fault::JobDelayed)
            || self.remaining.contains_key(&super::Fault::JobDuplicated)
            || self.upstreams[upstream].paused_until > 0;
        let violation = if is_delayed {
            super::Violation::LateStart
        } else {
            super::Violation::WithdrawnKey
        };
        self.check_that(!is_withdrawn, violation, format!("{id:?} starts"));
        let leaving_since = self.upstreams[upstream].leaving_since;
        let leaving = leaving_since.map(|at| at.max(self.partitioned_until));
        self.check_that(
            leaving.is_none_or(|at| self.now <= at + 3_000),
            super::Violation::WorkWhileLeaving,
            format!("{id:?} at u{upstream}"),
        );
        if caller.method == "POST" && !caller.is_model {
            let same = self.callers.values().filter(|other| {
                caller.claim.is_some()
                    && other.claim == caller.claim
                    && other.workspace == caller.workspace
            });
            let total: u32 = same.map(|other| other.executions).sum();
            let total = total.max(caller.executions);
            self.check_that(
                total <= 1,
                super::Violation::RanTwice,
                format!("{id:?} {job:?}"),
            );
        }
        self.send_progress(&job, entry::Progress::Started, None, 0);
        let next = job.position;
        self.upstreams[upstream].runs.push(fake::Run {
            job,
            next,
            has_sent_head: false,
        });
    }

    pub(super) fn check_invariants(&mut self) {
        for index in 0..self.hosts.len() {
            let host = &self.hosts[index];
            if host.reducer.is_none() {
                continue;
            }
            let revision = match self.rule {
                super::Rule::LastReceived => host.last_received,
                _ => self.revision(index),
            };
            let (before, since) = (host.in_force, host.connected_since);
            let is_paused = self.now < host.paused_until;
            self.hosts[index].in_force = revision;
            self.check_that(
                revision >= before,
                super::Violation::Reverted,
                format!("e{index} from {before} to {revision}"),
            );
            let due = self
                .writes
                .iter()
                .filter(|(_, at)| self.now >= *at.max(&since) + 3_000);
            let due = due.map(|(revision, _)| *revision).max().unwrap_or(0);
            self.check_that(
                is_paused || revision >= due,
                super::Violation::NotApplied,
                format!("e{index} has {revision}, not {due}"),
            );
        }
        let used = self.used_tokens.get("w3").copied().unwrap_or(0);
        let allowed = fake::BURST + fake::RATE * self.now / 1_000;
        self.check_that(
            used <= allowed,
            super::Violation::RateExceeded,
            format!("{used} of {allowed}"),
        );
        let wrong = self.callers.iter().find(|(_, caller)| {
            let is_whole = caller.received.len() as u64 == caller.length;
            (caller.is_finished && !is_whole) || caller.heads > 1
        });
        if let Some((id, caller)) = wrong {
            let detail = format!("{id:?} {caller:?}");
            self.record_violation(super::Violation::Response, detail);
        }
    }

    pub(super) fn check_end(&mut self) {
        let open: Vec<_> = self
            .callers
            .iter()
            .filter(|(_, caller)| is_open(caller))
            .map(|(id, caller)| (*id, caller.host))
            .collect();
        for (id, host) in open {
            let violation = if self.hosts[host].has_exited {
                super::Violation::Interrupted
            } else {
                super::Violation::NeverEnded
            };
            let detail = format!("{id:?} {:?}", self.callers[&id]);
            self.record_violation(violation, detail);
        }
    }
}
