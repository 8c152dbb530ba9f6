use std::collections;
use std::time;

use super::event;
use crate::clock;
use crate::memory;
use crate::outcome;

/// The time for which a non-idempotent request is remembered after its end.
///
/// It exceeds the time for which a copy of it can be on its way.
const MEMORY: time::Duration = time::Duration::from_secs(60);

/// The most requests that are remembered.
const CAPACITY: usize = 16_384;

/// The requests of a sidecar.
#[derive(Clone, Debug, Default)]
pub(super) struct Jobs {
    running: collections::BTreeMap<u128, event::Job>,
    ended: collections::BTreeMap<u128, (outcome::Reason, outcome::Outcome)>,
    ages: collections::VecDeque<(clock::Instant, u128)>,
}

impl Jobs {
    pub(super) fn in_flight(&self) -> usize {
        self.running.len()
    }

    pub(super) fn uses(&self, id: &memory::Id) -> bool {
        let uses = |found: &memory::Id| found == id || found.is_adapter_of(id);
        self.running
            .values()
            .any(|job| job.item.as_ref().is_some_and(uses))
    }

    /// Returns the answer to a further copy of a request.
    ///
    /// A copy of a running request says that the outcome is unknown: the first may run. A refused request stays
    /// refused, since a copy that starts later would make the refusal untrue.
    pub(super) fn earlier(&self, job: &event::Job) -> Option<(outcome::Reason, outcome::Outcome)> {
        if self.running.contains_key(&job.id) {
            return Some((outcome::Reason::DuplicateRequest, outcome::Outcome::Unknown));
        }
        self.ended.get(&job.id).copied()
    }

    pub(super) fn start(&mut self, job: event::Job) {
        self.running.insert(job.id, job);
    }

    pub(super) fn refuse(
        &mut self,
        now: clock::Instant,
        job: &event::Job,
        reason: outcome::Reason,
    ) {
        self.remember(now, job, reason, outcome::Outcome::NotRun);
    }

    pub(super) fn end(
        &mut self,
        now: clock::Instant,
        id: u128,
        outcome: outcome::Outcome,
    ) -> Option<event::Job> {
        let job = self.running.remove(&id)?;
        let reason = match outcome {
            outcome::Outcome::NotRun => outcome::Reason::UpstreamFailed,
            _ => outcome::Reason::DuplicateRequest,
        };
        self.remember(now, &job, reason, outcome);
        Some(job)
    }

    fn remember(
        &mut self,
        now: clock::Instant,
        job: &event::Job,
        reason: outcome::Reason,
        outcome: outcome::Outcome,
    ) {
        let is_old = |(at, _): &mut (clock::Instant, u128)| now.since(*at) >= MEMORY;
        while let Some((_, id)) = self.ages.pop_front_if(is_old) {
            self.ended.remove(&id);
        }
        // An idempotent request may come back, for instance to resume its stream.
        if job.idempotent || self.ended.contains_key(&job.id) {
            return;
        }
        if self.ages.len() >= CAPACITY
            && let Some((_, id)) = self.ages.pop_front()
        {
            self.ended.remove(&id);
        }
        self.ended.insert(job.id, (reason, outcome));
        self.ages.push_back((now, job.id));
    }
}
