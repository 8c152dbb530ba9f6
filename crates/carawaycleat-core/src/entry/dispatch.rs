use super::pending;
use crate::clock;
use crate::name;
use crate::outcome;
use crate::rate;
use crate::request;
use crate::routing;
use crate::timeline;

impl super::Reducer {
    /// Dispatches queued requests until no upstream can take another one.
    pub(super) fn dispatch_all(&mut self, now: clock::Instant) {
        loop {
            let (table, requests, zone) = (&self.table, &self.requests, &self.zone);
            let queued = self.queue.pop(now, |queued| {
                requests
                    .get(&queued.id)
                    .is_none_or(|pending| table.can_run(now, &criteria(pending, zone)))
            });
            let Some(queued) = queued else { return };
            self.dispatch(now, queued.id);
        }
    }

    fn dispatch(&mut self, now: clock::Instant, id: request::Id) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let criteria = criteria(pending, &self.zone);
        let random = &mut self.random;
        let Ok(upstream) = self.table.pick(now, &criteria, &mut || random.u64(..)) else {
            return self.enqueue(now, id);
        };
        if pending.attempts == 0 {
            self.budget.record_request(now);
        }
        self.start_attempt_at(now, id, upstream);
    }

    /// Sends a request that is silent at its upstream to another one as well, if one is available and the retry budget
    /// allows it. The earlier attempt goes on until the later one has brought a part of the response.
    fn dispatch_second(&mut self, now: clock::Instant, id: request::Id) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        if !pending.permits_second_attempt() {
            return;
        }
        let running = pending.running.iter();
        let running: Vec<_> = running.map(|attempt| attempt.upstream.clone()).collect();
        let mut exclude = pending.excluded.clone();
        exclude.extend(running.iter().cloned());
        let criteria = routing::Criteria {
            exclude: &exclude,
            ..criteria(pending, &self.zone)
        };
        let random = &mut self.random;
        let Ok(upstream) = self.table.pick(now, &criteria, &mut || random.u64(..)) else {
            return;
        };
        if !self.budget.take(now) {
            return;
        }
        let decision = match pending.delivered() {
            0 => super::Decision::Retried,
            _ => super::Decision::Resumed,
        };
        self.emit(super::Effect::CountRetry(decision));
        let reason = outcome::Reason::UpstreamTimeout.as_str();
        self.record_request(timeline::Kind::Retried, id, reason);
        self.start_attempt_at(now, id, upstream);
    }

    /// Starts further attempts beside those that are silent.
    pub(super) fn dispatch_silent(&mut self, now: clock::Instant) {
        let pending = self.requests.iter();
        let silent = pending.filter(|(_, pending)| pending.permits_second_attempt());
        let mut silent: Vec<_> = silent.map(|(id, _)| *id).collect();
        silent.sort_unstable();
        for id in silent {
            self.dispatch_second(now, id);
        }
    }

    fn start_attempt_at(&mut self, now: clock::Instant, id: request::Id, upstream: name::Name) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = attempt_id(id, pending.attempts);
        let criteria = criteria(pending, &self.zone);
        self.table.record_start(now, attempt, &upstream, &criteria);
        pending.attempts += 1;
        pending.stage = pending::Stage::Running;
        pending.running.push(pending::Attempt {
            id: attempt,
            upstream: upstream.clone(),
            sent: false,
            is_silent: false,
        });
        let effect = super::Effect::Dispatch {
            request: id,
            attempt,
            upstream,
            workspace: pending.workspace().cloned(),
            idempotent: pending.idempotent,
            position: pending.cursor.position(),
        };
        self.attempts.insert(attempt, id);
        self.emit(effect);
        self.record_request(timeline::Kind::Dispatched, id, "");
    }

    /// Ends a running attempt of a request as failed, and returns it.
    pub(super) fn end_attempt(
        &mut self,
        now: clock::Instant,
        id: request::Id,
        attempt: request::Id,
        failure: routing::Failure,
    ) -> Option<pending::Attempt> {
        let running = &mut self.requests.get_mut(&id)?.running;
        let index = running.iter().position(|running| running.id == attempt)?;
        let attempt = running.remove(index);
        self.attempts.remove(&attempt.id);
        self.table.record_failure(now, attempt.id, failure);
        self.record_ejections("wrong or incomplete response");
        Some(attempt)
    }

    /// Ends a request with an error response.
    pub(super) fn end_refused(
        &mut self,
        now: clock::Instant,
        id: request::Id,
        refusal: super::Refusal,
    ) {
        if !self.requests.contains_key(&id) {
            return;
        }
        self.record_request(timeline::Kind::Refused, id, refusal.reason.as_str());
        self.release(now, id);
        self.emit(super::Effect::Refuse(id, refusal));
    }

    /// Cancels a request whose caller disconnected.
    pub(super) fn cancel(&mut self, now: clock::Instant, id: request::Id) {
        if self.requests.contains_key(&id) {
            self.record_request(timeline::Kind::Cancelled, id, "");
            self.release(now, id);
            self.dispatch_all(now);
        }
    }

    /// Cancels the running attempts of a request except for `kept`.
    pub(super) fn cancel_attempts(
        &mut self,
        now: clock::Instant,
        id: request::Id,
        kept: Option<request::Id>,
    ) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let running = pending.running.iter().map(|attempt| attempt.id);
        let ended: Vec<_> = running.filter(|attempt| Some(*attempt) != kept).collect();
        for attempt in ended {
            let Some(attempt) = self.end_attempt(now, id, attempt, routing::Failure::Cancelled)
            else {
                continue;
            };
            if let Some(pending) = self.requests.get_mut(&id) {
                pending.earlier_outcome = match pending.earlier_outcome {
                    outcome::Outcome::Ran => outcome::Outcome::Ran,
                    _ => outcome::Outcome::Unknown,
                };
            }
            self.emit(super::Effect::Cancel {
                request: id,
                attempt: attempt.id,
                upstream: attempt.upstream,
            });
        }
    }

    /// Releases everything that a request holds: its place in a queue, its attempt, its claim and its unused tokens.
    fn release(&mut self, now: clock::Instant, id: request::Id) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        // Must be read before the attempt is removed, because both depend on whether one is running.
        let (outcome, used) = (pending.outcome(), pending.used());
        if let Some(workspace) = pending.workspace().cloned() {
            self.waitlist.remove(&workspace, id);
        }
        self.queue.remove(now, id);
        self.cancel_attempts(now, id, None);
        let Some(mut pending) = self.requests.remove(&id) else {
            return;
        };
        if let Some(reservation) = pending.reservation.take() {
            self.refund(now, reservation, used);
        }
        if pending.is_claimed {
            self.emit(super::Effect::ResolveClaim {
                request: id,
                outcome,
            });
        }
    }

    /// Records newly ejected upstreams in the timeline.
    pub(super) fn record_ejections(&mut self, detail: &str) {
        for upstream in self.table.take_ejected() {
            let record = super::Record::new(timeline::Kind::Ejected);
            self.record(record.upstream(upstream).detail(detail));
        }
    }

    /// Returns the unused tokens of a reservation to the bucket.
    pub(super) fn refund(
        &mut self,
        now: clock::Instant,
        reservation: rate::Reservation,
        used: u64,
    ) {
        let unused = reservation.tokens().saturating_sub(used);
        self.count_tokens(reservation.workspace(), super::Flow::Refunded, unused);
        self.ledger.settle(now, reservation, used);
    }

    /// Emits an effect that counts tokens of a workspace's rate, unless there are none.
    pub(super) fn count_tokens(&mut self, workspace: &name::Name, flow: super::Flow, tokens: u64) {
        if tokens > 0 {
            self.emit(super::Effect::CountTokens {
                workspace: workspace.clone(),
                flow,
                tokens,
            });
        }
    }

    /// Records an event of a request in the timeline, with the upstream of its latest attempt.
    pub(super) fn record_request(&mut self, kind: timeline::Kind, id: request::Id, detail: &str) {
        self.record_attempt(kind, id, None, detail);
    }

    /// Records an event of a running attempt in the timeline.
    pub(super) fn record_attempt(
        &mut self,
        kind: timeline::Kind,
        id: request::Id,
        attempt: Option<request::Id>,
        detail: &str,
    ) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let running = pending.running.iter();
        let mut named = running.filter(|running| Some(running.id) == attempt);
        let upstream = named.next().map(|attempt| attempt.upstream.clone());
        let latest = || {
            pending
                .running
                .last()
                .map(|attempt| attempt.upstream.clone())
        };
        let record = super::Record {
            kind,
            request: Some(id),
            workspace: pending.workspace().cloned(),
            model: pending.request.model.clone(),
            upstream: upstream.or_else(latest),
            detail: detail.to_owned(),
        };
        self.record(record);
    }
}

/// Returns the criteria for choosing the upstream of a request.
pub(super) fn criteria<'a>(
    pending: &'a pending::Pending,
    zone: &'a name::Name,
) -> routing::Criteria<'a> {
    routing::Criteria {
        model: pending.request.model.as_ref(),
        adapter: pending.request.adapter.as_ref(),
        group: &pending.group,
        prefixes: &pending.request.prefixes,
        zone,
        exclude: &pending.excluded,
    }
}

/// Returns the identifier of the attempt that follows `earlier` ones. It is unique because identifiers of requests are
/// random.
fn attempt_id(id: request::Id, earlier: u32) -> request::Id {
    request::Id::from_u128(id.as_u128().wrapping_add(u128::from(earlier)))
}
