use std::collections;
use std::time;

use super::upstream;
use crate::clock;
use crate::name;

/// The time after an attempt has ended without an answer for which the same upstream does not get the next one.
const MIN_REST: time::Duration = time::Duration::from_millis(50);
/// The longest such time. It doubles with each attempt at the upstream.
const MAX_REST: time::Duration = time::Duration::from_millis(800);

/// The time after the end of an attempt at an upstream that may only have been silent until it may take the place of another
/// silent one.
const RETURN_TIME: time::Duration = time::Duration::from_secs(1);
/// The time after the end of an attempt for which an upstream without an entry may still be at work: a process that leaves
/// serves on for some seconds, and an entry may lapse while the store is away.
const LEAVING_TIME: time::Duration = time::Duration::from_secs(8);

/// One attempt.
#[derive(Clone, Debug)]
struct Visit {
    attempt: u32,
    upstream: name::Name,
    /// The start of the upstream's process.
    started: u64,
    /// Whether the upstream may be running the request, or may have run it and its process may go on.
    may_be_running: bool,
    /// When the attempt ended; none while it is in progress.
    ended: Option<clock::Instant>,
    /// Whether it ended with a complete response.
    is_answered: bool,
}

/// The attempts at one request, in order.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    visits: Vec<Visit>,
}

impl History {
    /// Records that an attempt was sent to `upstream`.
    pub(super) fn record_send(&mut self, attempt: u32, upstream: &upstream::Upstream) {
        self.visits.push(Visit {
            attempt,
            upstream: upstream.registration.id.clone(),
            started: upstream.registration.started,
            may_be_running: true,
            ended: None,
            is_answered: false,
        });
    }

    /// Records that an attempt has ended without an answer for the caller.
    pub(super) fn record_end(&mut self, now: clock::Instant, attempt: u32) {
        if let Some(visit) = self.visit_mut(attempt) {
            visit.ended = Some(now);
        }
    }

    /// Records that the process of an upstream has ended, so that none of its attempts runs any more.
    pub(super) fn record_lost(&mut self, upstream: &name::Name) {
        for visit in &mut self.visits {
            if visit.upstream == *upstream && visit.ended.is_some() {
                visit.may_be_running = false;
            }
        }
    }

    /// Records that an attempt has ended with a complete response that is not passed on, at least for now.
    pub(super) fn record_answer(&mut self, now: clock::Instant, attempt: u32) {
        self.record_end(now, attempt);
        if let Some(visit) = self.visit_mut(attempt) {
            visit.is_answered = true;
        }
    }

    /// Returns the number of upstreams that have given complete responses.
    pub(super) fn answering_upstreams(&self) -> usize {
        let answers = self.visits.iter().filter(|visit| visit.is_answered);
        let upstreams: collections::BTreeSet<_> = answers.map(|visit| &visit.upstream).collect();
        upstreams.len()
    }

    /// Records that an attempt has ended and has certainly not run.
    pub(super) fn record_not_run(&mut self, now: clock::Instant, attempt: u32) {
        if let Some(visit) = self.visit_mut(attempt) {
            visit.ended = Some(now);
            visit.may_be_running = false;
        }
    }

    fn visit_mut(&mut self, attempt: u32) -> Option<&mut Visit> {
        let mut visits = self.visits.iter_mut();
        visits.find(|visit| visit.attempt == attempt)
    }

    fn visits_of<'a>(&'a self, upstream: &'a name::Name) -> impl Iterator<Item = &'a Visit> {
        let visits = self.visits.iter();
        visits.filter(move |visit| visit.upstream == *upstream)
    }

    /// Returns whether there was no attempt yet.
    pub(super) const fn is_empty(&self) -> bool {
        self.visits.is_empty()
    }

    /// Returns whether an attempt was sent to an upstream.
    pub(super) fn includes(&self, upstream: &name::Name) -> bool {
        self.visits_of(upstream).next().is_some()
    }

    /// Returns whether an upstream may get another attempt in place of a silent one: it had none, or its last one ended a
    /// while ago, or it has been heard from since.
    pub(super) fn permits_return(
        &self,
        now: clock::Instant,
        upstream: &upstream::Upstream,
    ) -> bool {
        let last = self.visits_of(&upstream.registration.id).last();
        last.is_none_or(|visit| {
            visit.ended.is_some_and(|ended| {
                upstream.last_progress > ended || now.since(ended) >= RETURN_TIME
            })
        })
    }

    /// Returns whether an upstream does not get an attempt yet, because its last one has ended only just now.
    pub(super) fn is_resting(&self, now: clock::Instant, upstream: &name::Name) -> bool {
        let ended = || self.visits_of(upstream).filter_map(|visit| visit.ended);
        let rest = ended()
            .skip(1)
            .fold(MIN_REST, |rest, _| MAX_REST.min(rest * 2));
        ended().max().is_some_and(|last| now.since(last) < rest)
    }

    /// Returns whether as many upstreams as may run the request have run it or are running it. One counts once, and no more
    /// when its process has ended.
    pub(super) fn is_exhausted(
        &self,
        now: clock::Instant,
        upstreams: &upstream::Table,
        max_upstreams: u32,
    ) -> bool {
        let counts = |visit: &&Visit| {
            let Some(entry) = upstreams.get(&visit.upstream) else {
                return visit
                    .ended
                    .is_none_or(|ended| now.since(ended) < LEAVING_TIME);
            };
            let is_same = entry.registration.started == visit.started && !entry.has_refused();
            is_same
                && (entry.removed.is_none()
                    || visit
                        .ended
                        .is_none_or(|ended| now.since(ended) < LEAVING_TIME))
        };
        let ran = self.visits.iter().filter(|visit| visit.may_be_running);
        let upstreams: collections::BTreeSet<_> =
            ran.filter(counts).map(|visit| &visit.upstream).collect();
        upstreams.len() >= usize::try_from(max_upstreams).unwrap_or(usize::MAX)
    }

    /// Returns whether the process of an upstream has run the request or is running it.
    pub(super) fn has_run_at(&self, upstream: &upstream::Upstream) -> bool {
        self.visits.iter().any(|visit| {
            visit.may_be_running
                && visit.upstream == upstream.registration.id
                && visit.started == upstream.registration.started
        })
    }
}
