//! The invariants over executions, configuration and answers.

use carawaycleat_core::entry;
use carawaycleat_core::outcome;

use super::is_open;
use crate::path_fake as fake;

impl super::Cluster {
    /// Records that an upstream begins a request, and checks that it may.
    pub(super) fn execute(&mut self, upstream: usize, job: fake::Job) {
        let id = job.request;
        let seen = format!("{} {job:?}", job.seen);
        for workspace in ["w1", "w2", "w3"] {
            let is_seen = seen.contains(&fake::secret(workspace))
                || seen.contains(&fake::digest(workspace).to_hex());
            self.check_that(!is_seen, super::Violation::KeySeen, seen.clone());
        }
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        caller.executions += 1;
        let caller = caller.clone();
        let is_own = job.workspace.as_deref() == Some(caller.workspace);
        self.check_that(
            is_own,
            super::Violation::Workspace,
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
        // A job that the network or a paused sidecar kept for longer than the bound was sent before it.
        let is_kept = self.delayed.contains_key(&super::Fault::JobLate)
            || self.delayed.contains_key(&super::Fault::JobTwice)
            || self.upstreams[upstream].paused_until > 0;
        let broken = if is_kept {
            super::Violation::LateStart
        } else {
            super::Violation::Withdrawn
        };
        self.check_that(!is_withdrawn, broken, format!("{id:?} starts"));
        let leaves_at = self.upstreams[upstream].leaves_at;
        let leaving = leaves_at.map(|at| at.max(self.cut_until));
        self.check_that(
            leaving.is_none_or(|at| self.now <= at + 3_000),
            super::Violation::LeavingWork,
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
        self.progress(&job, entry::Progress::Started, None, 0);
        let next = job.position;
        self.upstreams[upstream].runs.push(fake::Run {
            job,
            next,
            is_headed: false,
        });
    }

    pub(super) fn check(&mut self) {
        for index in 0..self.hosts.len() {
            let host = &self.hosts[index];
            if host.reducer.is_none() {
                continue;
            }
            let revision = match self.rule {
                super::Rule::LastArrival => host.last_arrival,
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
                super::Violation::NotInForce,
                format!("e{index} has {revision}, not {due}"),
            );
        }
        let used = self.used.get("w3").copied().unwrap_or(0);
        let allowed = fake::BURST + fake::RATE * self.now / 1_000;
        self.check_that(
            used <= allowed,
            super::Violation::Rate,
            format!("{used} of {allowed}"),
        );
        let wrong = self.callers.iter().find(|(_, caller)| {
            let is_whole = caller.got.len() as u64 == caller.length;
            (caller.is_finished && !is_whole) || caller.heads > 1
        });
        if let Some((id, caller)) = wrong {
            let detail = format!("{id:?} {caller:?}");
            self.break_with(super::Violation::Answer, detail);
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
            let broken = if self.hosts[host].has_exited {
                super::Violation::Stopped
            } else {
                super::Violation::Unended
            };
            let detail = format!("{id:?} {:?}", self.callers[&id]);
            self.break_with(broken, detail);
        }
    }
}
