use std::collections;
use std::time;

use super::event;
use crate::clock;
use crate::memory;
use crate::outcome;

/// The time for which a non-idempotent request is remembered after its end.
///
/// It exceeds the time for which a duplicate of it can be in transit.
const RETENTION: time::Duration = time::Duration::from_secs(60);

/// The largest number of ended requests that are remembered.
const MAX_ENDED: usize = 16_384;

/// The running requests of a sidecar, and the recently ended ones that must not run again.
#[derive(Clone, Debug, Default)]
pub(super) struct Jobs {
    running: collections::BTreeMap<u128, event::Job>,
    ended: collections::BTreeMap<u128, (outcome::Reason, outcome::Outcome)>,
    /// The identifiers of `ended` with the time at which each was added, oldest first.
    ended_at: collections::VecDeque<(clock::Instant, u128)>,
}

impl Jobs {
    pub(super) fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Returns whether a running request uses `id`, or an adapter of it.
    pub(super) fn uses(&self, id: &memory::Id) -> bool {
        let uses = |found: &memory::Id| found == id || found.is_adapter_of(id);
        self.running
            .values()
            .any(|job| job.item.as_ref().is_some_and(uses))
    }

    /// Returns the refusal of a duplicate of an earlier request, or none if the request is new.
    ///
    /// For a running request, the outcome is unknown: the first copy may still run. A refused request stays refused,
    /// since running a duplicate later would contradict the refusal.
    pub(super) fn refusal_of_duplicate(
        &self,
        job: &event::Job,
    ) -> Option<(outcome::Reason, outcome::Outcome)> {
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
        let is_old = |(ended_at, _): &mut (clock::Instant, u128)| now.since(*ended_at) >= RETENTION;
        while let Some((_, id)) = self.ended_at.pop_front_if(is_old) {
            self.ended.remove(&id);
        }
        // An idempotent request may be sent again, for instance to resume its stream.
        if job.idempotent || self.ended.contains_key(&job.id) {
            return;
        }
        if self.ended_at.len() >= MAX_ENDED
            && let Some((_, id)) = self.ended_at.pop_front()
        {
            self.ended.remove(&id);
        }
        self.ended.insert(job.id, (reason, outcome));
        self.ended_at.push_back((now, job.id));
    }
}
