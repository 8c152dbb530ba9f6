//! Refusals of requests that would wait for longer than their callers, where the load is measured by work.

use std::collections;
use std::time;

use crate::clock;
use crate::contention;
use crate::name;
use crate::relay::effect;
use crate::relay::event;
use crate::relay::pending;
use crate::relay::reducer;
use crate::relay::refusal;
use crate::relay::view;

/// The longest `Retry-After` of a refusal for lack of a slot.
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_millis(4_000);

/// The requests that precede one, and how the queue drains.
#[derive(Clone, Copy, Debug)]
struct Place {
    ahead: u32,
    outlook: contention::Outlook,
}

impl reducer::Reducer {
    /// Returns how the queue of a request drains.
    fn outlook(
        &self,
        now: clock::Instant,
        request: &pending::Pending,
        queue: &reducer::QueueKey,
    ) -> contention::Outlook {
        let capacity =
            self.service_of(request)
                .map_or_else(contention::Capacity::default, |service| {
                    let selector = self.selector(now, &request.service, &service);
                    selector.capacity(&self.upstreams, request, self.host_count)
                });
        let model = request.model.as_ref();
        let load = contention::Load {
            send_rate: self.send_rates.rate(now, queue),
            own: self.queue_lengths.get(queue).copied().unwrap_or(0),
            competing: model.and_then(|model| self.competing(now, &request.service, model)),
            ready_in: model.and_then(|model| self.time_until_ready(now, model)),
        };
        let general = (request.service.clone(), None);
        let backlogs = &self.contention.backlogs;
        backlogs.outlook(now, queue, &general, capacity, load)
    }

    /// Returns the requests of all hosts that compete for the engines which hold a model; none without a recent view that
    /// tells it.
    fn competing(
        &self,
        now: clock::Instant,
        service: &name::Name,
        model: &name::Name,
    ) -> Option<u32> {
        let (received, view) = self.view.as_ref()?;
        let backlogs = view.backlogs.as_ref()?;
        if now.since(*received) > reducer::MAX_VIEW_AGE {
            return None;
        }
        let is_same =
            |backlog: &&view::Backlog| backlog.model == *model && backlog.service == *service;
        let backlog = backlogs.iter().find(is_same);
        Some(backlog.map_or(0, |backlog| backlog.waiting))
    }

    /// Refuses a new request that would be sent only after its caller has disconnected. Returns whether it did. None is refused
    /// while a holder has a free slot for this host, nor one that goes on with a stream in a queue that has just begun.
    pub(in crate::relay::reducer) fn refuse_crowded_out(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        key: &reducer::WaitingKey,
        queue: &reducer::QueueKey,
        effects: &mut Vec<effect::Effect>,
    ) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let ahead = self.count_ahead(key, queue);
        if ahead == 0 {
            return false;
        }
        let outlook = self.outlook(now, request, queue);
        let place = Place { ahead, outlook };
        let wait = self.excessive_wait(now, id, queue, place);
        if let Some(wait) = wait {
            self.refuse_contended(now, id, queue, place, wait, effects);
        }
        wait.is_some()
    }

    /// Returns how long a request would wait, if that is longer than its caller does.
    fn excessive_wait(
        &self,
        now: clock::Instant,
        id: event::Id,
        queue: &reducer::QueueKey,
        place: Place,
    ) -> Option<time::Duration> {
        let request = self.requests.get(&id)?;
        if place.outlook.has_free_slot || !self.is_wait_known(now, id, queue) {
            return None;
        }
        let standing = super::standing(&self.contention, request);
        let yields = standing.is_late(now) || !standing.overuse_delay.is_zero();
        let wait = place.outlook.wait(place.ahead, yields);
        let is_excessive =
            place.ahead > 0 && now + wait + place.outlook.lead > request.abandonment_time();
        is_excessive.then_some(wait)
    }

    /// Refuses the waiting requests, given in order, that would be sent only after their callers have disconnected.
    pub(in crate::relay::reducer) fn refuse_contending(
        &mut self,
        now: clock::Instant,
        waiting: &[event::Id],
        effects: &mut Vec<effect::Effect>,
    ) {
        let mut places = collections::HashMap::<reducer::QueueKey, Place>::new();
        let mut refused = Vec::new();
        for id in waiting {
            let Some(request) = self.requests.get(id) else {
                continue;
            };
            let queue = (request.service.clone(), request.model.clone());
            let place = *places.entry(queue.clone()).or_insert_with(|| Place {
                ahead: 0,
                outlook: self.outlook(now, request, &queue),
            });
            match self.excessive_wait(now, *id, &queue, place) {
                Some(wait) => refused.push((*id, queue, place, wait)),
                None => {
                    if let Some(place) = places.get_mut(&queue) {
                        place.ahead += 1;
                    }
                }
            }
        }
        for (id, queue, place, wait) in refused {
            self.refuse_contended(now, id, &queue, place, wait, effects);
        }
    }

    /// Refuses a request that would wait for `wait`.
    fn refuse_contended(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        queue: &reducer::QueueKey,
        place: Place,
        wait: time::Duration,
        effects: &mut Vec<effect::Effect>,
    ) {
        let verdict = contention::Verdict {
            cause: "queue",
            ahead: place.ahead,
            wait,
        };
        let reason = refusal::Reason::NoUpstream;
        self.refuse_with(
            now,
            id,
            queue,
            (reason, verdict, place.outlook.rate),
            effects,
        );
    }

    /// Returns the longest time for which a request waits for a model that no engine is loading. One with a long objective can
    /// wait until an engine has room.
    pub(in crate::relay::reducer) fn max_unplaced_wait(
        &self,
        request: &pending::Pending,
    ) -> time::Duration {
        let longest = self.options.max_unplaced_wait;
        if request.rank.is_some() {
            longest.max(request.route.objective / 2)
        } else {
            longest
        }
    }

    /// Refuses a request whose model is not held by any usable upstream for `wait`.
    pub(in crate::relay::reducer) fn refuse_unplaced(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        wait: time::Duration,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let queue = (request.service.clone(), request.model.clone());
        let outlook = self.outlook(now, request, &queue);
        let verdict = contention::Verdict {
            cause: "unplaced",
            ahead: self.count_ahead(&(request.queue_key(), id), &queue),
            wait,
        };
        let reason = refusal::Reason::NoUpstream;
        self.refuse_with(now, id, &queue, (reason, verdict, outlook.rate), effects);
    }

    /// Refuses a request whose caller disconnects before it has been sent. Returns whether it did: not if the request has no
    /// place among others, or an attempt of it is in progress.
    pub(in crate::relay::reducer) fn refuse_expired_waiting(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        effects: &mut Vec<effect::Effect>,
    ) -> bool {
        let is_contending =
            |request: &&pending::Pending| request.rank.is_some() && request.is_waiting();
        let Some(request) = self.requests.get(&id).filter(is_contending) else {
            return false;
        };
        let queue = (request.service.clone(), request.model.clone());
        let outlook = self.outlook(now, request, &queue);
        let ahead = self.count_ahead(&(request.queue_key(), id), &queue);
        let ready_in = outlook.ready_in.filter(|_| request.is_unplaced);
        let verdict = contention::Verdict {
            cause: "expired",
            ahead,
            wait: ready_in.unwrap_or_else(|| outlook.wait(ahead, false)),
        };
        let reason = refusal::Reason::Timeout;
        self.refuse_with(now, id, &queue, (reason, verdict, outlook.rate), effects);
        true
    }

    fn refuse_with(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        queue: &reducer::QueueKey,
        (reason, verdict, rate): (refusal::Reason, contention::Verdict, f64),
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.verdict = Some(verdict);
        let back = contention::Return {
            wait: verdict.wait,
            rate,
            left: request.caller_deadline.since(now),
            min: reducer::MIN_RETRY_AFTER,
            max: MAX_RETRY_AFTER,
            seed: &request.request_id,
        };
        let retry_after = self.contention.backlogs.record_refusal(now, queue, back);
        self.refuse(now, id, reason, Some(retry_after), effects);
    }
}
