use std::time;

use super::upstream;
use crate::clock;
use crate::name;

/// The time after an attempt has ended without an answer for which the same upstream does not get the next one.
const MIN_REST: time::Duration = time::Duration::from_millis(50);
/// The longest such time. It doubles with each attempt at the upstream.
const MAX_REST: time::Duration = time::Duration::from_millis(800);

/// One attempt.
#[derive(Clone, Debug)]
struct Visit {
    attempt: u32,
    upstream: name::Name,
    /// The start of the upstream's process.
    started: u64,
    /// Whether the upstream may be running the request, or may have run it.
    may_have_run: bool,
    /// When the attempt ended; none while it is in progress.
    ended: Option<clock::Instant>,
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
            may_have_run: true,
            ended: None,
        });
    }

    /// Records that an attempt has ended without an answer for the caller.
    pub(super) fn record_end(&mut self, now: clock::Instant, attempt: u32) {
        if let Some(visit) = self.visit_mut(attempt) {
            visit.ended = Some(now);
        }
    }

    /// Records that an attempt has ended and has certainly not run.
    pub(super) fn record_not_run(&mut self, now: clock::Instant, attempt: u32) {
        if let Some(visit) = self.visit_mut(attempt) {
            visit.ended = Some(now);
            visit.may_have_run = false;
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

    /// Returns whether an upstream may get another attempt in place of a silent one: it had none, or it has been heard from
    /// since its last one ended.
    pub(super) fn permits_return(&self, upstream: &upstream::Upstream) -> bool {
        let last = self.visits_of(&upstream.registration.id).last();
        last.is_none_or(|visit| {
            visit
                .ended
                .is_some_and(|ended| upstream.last_progress > ended)
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

    /// Returns whether a request that at most `max_upstreams` upstreams may run may be sent to `upstream`. An upstream that
    /// has run it counts once, and not at all when its process has ended.
    pub(super) fn permits(
        &self,
        upstream: &upstream::Upstream,
        upstreams: &upstream::Table,
        max_upstreams: u32,
    ) -> bool {
        let is_visit_of = |visit: &Visit, entry: &upstream::Upstream| {
            visit.upstream == entry.registration.id && visit.started == entry.registration.started
        };
        let ran = || self.visits.iter().filter(|visit| visit.may_have_run);
        if ran().any(|visit| is_visit_of(visit, upstream)) {
            return true;
        }
        let runs_still = |entry: &&upstream::Upstream| {
            entry.removed.is_none()
                && !entry.has_refused()
                && ran().any(|visit| is_visit_of(visit, entry))
        };
        let mut visited: Vec<_> = ran().map(|visit| &visit.upstream).collect();
        visited.sort_unstable();
        visited.dedup();
        let entries = visited.into_iter().filter_map(|id| upstreams.get(id));
        let count = entries.filter(runs_still).count();
        count < usize::try_from(max_upstreams).unwrap_or(usize::MAX)
    }
}
