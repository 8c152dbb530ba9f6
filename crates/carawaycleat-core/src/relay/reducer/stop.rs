//! Requests at a host that stops: only those are sent to an upstream that can end before the process does.

use std::collections;
use std::sync;
use std::time;

use crate::clock;
use crate::name;
use crate::relay::effect;
use crate::relay::event;
use crate::relay::pending;
use crate::relay::refusal;

/// The maximum number of kinds of requests whose duration is kept.
const MAX_KINDS: usize = 1_024;
/// The fraction of the difference by which an estimate falls with each shorter request.
const DECAY: f64 = 0.05;
/// The factor between the estimate and the time that must be left.
const SAFETY_FACTOR: f64 = 1.25;
/// How long after the beginning of the stop a request may arrive for the estimate to be relied on. Later ones come on
/// connections that were open before, and a response that takes longer than any before would be cut.
const MAX_ESTIMATED_ARRIVAL: time::Duration = time::Duration::from_millis(2_500);

/// A stop of the process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stop {
    pub(super) began: clock::Instant,
    /// When the requests that are still without a response are refused.
    pub(super) deadline: clock::Instant,
}

/// A service, and the host and the prefix of a route.
type Kind = (name::Name, sync::Arc<str>, sync::Arc<str>);

/// How long requests take from the first attempt to the end of the response: slightly less than the longest of the latest
/// ones, by service and route.
#[derive(Clone, Debug, Default)]
pub(super) struct Durations {
    seconds: collections::HashMap<Kind, f64>,
}

impl Durations {
    /// Records the duration of a request.
    pub(super) fn record(&mut self, request: &pending::Pending, duration: time::Duration) {
        let kind = kind(request);
        if self.seconds.len() >= MAX_KINDS && !self.seconds.contains_key(&kind) {
            self.seconds.clear();
        }
        let latest = duration.as_secs_f64();
        let estimate = self.seconds.entry(kind).or_insert(latest);
        *estimate = latest.max(*estimate + DECAY * (latest - *estimate));
    }

    /// Returns the time within which a request of this kind is expected to end; none when none has ended yet.
    fn expected(&self, request: &pending::Pending) -> Option<time::Duration> {
        let seconds = self.seconds.get(&kind(request))?;
        Some(time::Duration::from_secs_f64(*seconds).mul_f64(SAFETY_FACTOR))
    }
}

fn kind(request: &pending::Pending) -> Kind {
    let route = &request.route;
    (
        request.service.clone(),
        route.host.clone(),
        route.prefix.clone(),
    )
}

impl super::Reducer {
    /// Refuses a request that would be sent now and may not end before the process does. Returns whether it did. A
    /// response that has begun goes on.
    pub(super) fn refuse_unfinishable(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        effects: &mut Vec<effect::Effect>,
    ) -> bool {
        let (Some(stop), Some(request)) = (&self.stop, self.requests.get(&id)) else {
            return false;
        };
        let limit = request.deadline.since(now);
        let is_late = request.arrived_at.since(stop.began) > MAX_ESTIMATED_ARRIVAL;
        let expected = self.durations.expected(request).filter(|_| !is_late);
        let duration = expected.map_or(limit, |expected| expected.min(limit));
        if request.response_started || now + duration < stop.deadline {
            return false;
        }
        let retry_after = Some(super::OTHER_HOST_RETRY);
        self.refuse(now, id, refusal::Reason::Stopping, retry_after, effects);
        true
    }
}
