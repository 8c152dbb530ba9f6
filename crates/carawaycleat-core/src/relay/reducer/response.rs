//! Handling of the responses and failures of attempts, and of the ends of requests.

use std::time;

use crate::clock;
use crate::name;
use crate::quarantine;
use crate::relay::command;
use crate::relay::effect;
use crate::relay::event;
use crate::relay::failure;
use crate::relay::pause;
use crate::relay::pending;
use crate::relay::refusal;
use crate::relay::summary;
use crate::relay::upstream;
use crate::timeline;

/// The status of a response that streams events.
const STREAM_STATUS: u16 = 200;
/// The status of an upstream that ends an attempt at the time limit.
const TIMEOUT_STATUS: u16 = 504;
/// The statuses that promise to a caller that its request has not run and will not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

impl super::Reducer {
    /// Ends the attempt in progress, if any, and returns its upstream and when it was sent.
    pub(super) fn release(&mut self, id: event::Id) -> Option<(name::Name, clock::Instant)> {
        let request = self.requests.get_mut(&id)?;
        let phase = std::mem::replace(&mut request.phase, pending::Phase::Waiting);
        let pending::Phase::Sent {
            attempt,
            upstream,
            sent,
            ..
        } = phase
        else {
            return None;
        };
        self.tracker.ledger.remove(&upstream, (id, attempt));
        if let Some(entry) = self.upstreams.get_mut(&upstream) {
            entry.record_end();
        }
        Some((upstream, sent))
    }

    /// Returns whether `attempt` is the attempt in progress of a request.
    pub(super) fn is_attempt(&self, id: event::Id, attempt: u32) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|request| request.phase.attempt() == Some(attempt))
    }

    /// Handles the head of a response; the whole response, unless it is a stream.
    pub(super) fn handle_response(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        attempt: u32,
        response: event::Response,
        effects: &mut Vec<effect::Effect>,
    ) {
        self.focus(id, attempt);
        if !self.is_attempt(id, attempt) {
            return;
        }
        self.record_limit(now, id, response.request_limit, effects);
        if let Some(pause) = response.pause {
            self.record_pause(now, id, pause, effects);
        }
        let misdirected = response.status == 421;
        if response.not_run || misdirected {
            return self.handle_rejection(now, id, attempt, misdirected, effects);
        }
        let succeeded = response.status < 500;
        if succeeded && response.is_stream {
            return self.begin_stream(now, id, attempt, effects);
        }
        self.record_harmless(now, id, effects);
        let may_follow = |request: &pending::Pending| !request.response_started;
        if succeeded
            && !NOT_RUN_STATUSES.contains(&response.status)
            && self.requests.get(&id).is_some_and(may_follow)
        {
            self.end_standbys(now, id, effects);
            self.track_answer(now, id);
        }
        let Some((upstream, sent)) = self.release(id) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(entry) = self.upstreams.get_mut(&upstream) {
            if response.status == TIMEOUT_STATUS && request.is_at_limit(now, sent) {
                // It has only kept to the time that it was given.
                entry.record_progress(now);
            } else {
                entry.record_first_byte(now, now.since(sent));
                entry.record_outcome(now, !succeeded);
            }
        }
        request.possible_executions += 1;
        request.history.record_answer(now, attempt);
        request.first_byte_at.get_or_insert(now);
        if request.response_started {
            // The upstream did not resume the stream: its response cannot follow what the caller has received.
            return self.retry_or_refuse(now, id, refusal::Reason::UpstreamFailed, effects);
        }
        if NOT_RUN_STATUSES.contains(&response.status) {
            // The upstream does not say that it has not run the request, so the caller must not be told so.
            return self.retry_or_refuse(now, id, refusal::Reason::UpstreamFailed, effects);
        }
        if !succeeded && self.retry(now, id, "failed", effects) {
            return;
        }
        self.finish(now, id, upstream, response.status, effects);
    }

    /// Returns the upstream of the attempt in progress.
    fn attempted_upstream(&mut self, id: event::Id) -> Option<&mut upstream::Upstream> {
        match &self.requests.get(&id)?.phase {
            pending::Phase::Sent { upstream, .. } => self.upstreams.get_mut(upstream),
            pending::Phase::Waiting => None,
        }
    }

    /// Records the pause that the response to the attempt in progress asked for.
    fn record_pause(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        requested: time::Duration,
        effects: &mut Vec<effect::Effect>,
    ) {
        let host = self.host.clone();
        let Some(entry) = self.attempted_upstream(id) else {
            return;
        };
        let upstream = entry.registration.id.clone();
        let length = requested.min(pause::MAX_PAUSE);
        let spread = pause::spread(&host, &upstream, length);
        entry.record_pause(now, length, spread);
        let decision = timeline::Decision::new("upstream_paused")
            .with_subject(upstream)
            .with("requested_ms", timeline::Value::millis(requested))
            .with("ms", timeline::Value::millis(length + spread));
        effects.push(super::record(decision));
    }

    /// Records the limit on requests that the response to the attempt in progress named.
    fn record_limit(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        limit: Option<f64>,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(entry) = self.attempted_upstream(id) else {
            return;
        };
        if entry.record_limit(now, limit) {
            let decision = timeline::Decision::new("request_limit")
                .with_subject(entry.registration.id.clone())
                .with_some("per_second", limit.map(|limit| format!("{limit:.2}")));
            effects.push(super::record(decision));
        }
    }

    /// Ends a request whose response is complete.
    fn finish(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        upstream: name::Name,
        status: u16,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        if let Some(sent) = request.first_sent_at.filter(|_| status < 300) {
            self.durations.record(&request, now.since(sent));
            self.record_service(&request, now.since(sent));
        }
        self.record_slot_time(now, &request);
        let overdue = (now > request.deadline).then(|| now.since(request.deadline));
        let outcome = if status < 500 {
            summary::Outcome::Completed
        } else {
            summary::Outcome::Failed
        };
        effects.push(effect::Effect::Measure(request.summary(now, outcome)));
        let decision = timeline::Decision::new("answered")
            .with_request(request.request_id)
            .with_subject(upstream)
            .with("status", status)
            .with("attempts", request.attempt)
            .with("ms", timeline::Value::millis(now.since(request.arrived_at)))
            .with_some("overdue_ms", overdue.map(timeline::Value::millis))
            .with_some("last_event", request.last_event);
        effects.push(super::record(decision));
        effects.push(effect::Effect::Command(id, command::Command::Deliver));
        self.dispatch_waiting(now, effects);
    }

    /// Passes the beginning of a stream on to the caller.
    pub(super) fn begin_stream(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        attempt: u32,
        effects: &mut Vec<effect::Effect>,
    ) {
        if !self.admits_response(id) {
            return self.end_inadmissible(now, id, attempt, effects);
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if let pending::Phase::Sent {
            departed,
            last_progress,
            head_received,
            ..
        } = &mut request.phase
        {
            departed.get_or_insert(now);
            *last_progress = now;
            *head_received = true;
        }
        request.response_started = true;
        effects.push(effect::Effect::Command(id, command::Command::Deliver));
    }

    /// Ends the attempt in progress, whose events cannot follow those that the caller has.
    fn end_inadmissible(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        attempt: u32,
        effects: &mut Vec<effect::Effect>,
    ) {
        let released = self.release(id);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.possible_executions += 1;
        request.history.record_end(now, attempt);
        let decision = timeline::Decision::new("attempt_of_other_version")
            .with_request(request.request_id.as_str())
            .with_subject(released.map(|(upstream, _)| upstream))
            .with("attempt", attempt)
            .with_some("last_event", request.last_event);
        effects.push(super::record(decision));
        effects.push(effect::Effect::Command(id, command::Command::End(attempt)));
        self.retry_or_refuse(now, id, refusal::Reason::UpstreamFailed, effects);
    }

    /// Records that events of a stream have arrived, the last one with the identifier `last_event`. The first events of an
    /// attempt are reported before they are passed on: they are not if this ends the attempt.
    pub(super) fn handle_progress(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        attempt: u32,
        last_event: Option<u64>,
        effects: &mut Vec<effect::Effect>,
    ) {
        self.track_progress(now, id, attempt, last_event);
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_caller_blocked = false;
        }
        if last_event.is_some() {
            self.focus(id, attempt);
        }
        if !self.is_attempt(id, attempt) {
            if let Some(entry) = self.standby_upstream(id, attempt) {
                entry.record_progress(now);
            }
            return;
        }
        let request = self.requests.get(&id);
        let is_first = request.is_some_and(pending::Pending::is_without_event);
        if last_event.is_some() {
            if is_first && !self.admit_events(now, id) {
                return self.end_inadmissible(now, id, attempt, effects);
            }
            self.end_standbys(now, id, effects);
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.first_byte_at.get_or_insert(now);
        request.last_event = last_event.or(request.last_event);
        let pending::Phase::Sent {
            upstream,
            sent,
            last_progress,
            first_byte_received,
            event_received,
            ..
        } = &mut request.phase
        else {
            return;
        };
        // Bytes show that the upstream runs, but only whole events bring the stream nearer to its end.
        if last_event.is_some() {
            *last_progress = now;
            request.eventless_attempts = 0;
        }
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.record_progress(now);
            if !*first_byte_received {
                entry.record_first_byte(now, now.since(*sent));
            }
        }
        *first_byte_received = true;
        if last_event.is_some() && !std::mem::replace(event_received, true) {
            self.record_harmless(now, id, effects);
        }
    }

    /// Ends a request whose stream is complete.
    pub(super) fn handle_stream_end(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        attempt: u32,
        effects: &mut Vec<effect::Effect>,
    ) {
        self.focus(id, attempt);
        if !self.is_attempt(id, attempt) {
            return;
        }
        self.end_standbys(now, id, effects);
        self.forget_stream(id);
        self.track_stream_end(now, id);
        let Some((upstream, _)) = self.release(id) else {
            return;
        };
        if let Some(entry) = self.upstreams.get_mut(&upstream) {
            entry.record_outcome(now, false);
        }
        self.finish(now, id, upstream, STREAM_STATUS, effects);
    }

    /// Handles a response that says that the upstream did not run the request. `misdirected` means that the upstream
    /// does not hold what the request needs; otherwise it had no free slot.
    pub(super) fn handle_rejection(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        attempt: u32,
        misdirected: bool,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some((upstream, _)) = self.release(id) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.rejections += 1;
        request.history.record_not_run(now, attempt);
        if let Some(entry) = self.upstreams.get_mut(&upstream) {
            entry.record_progress(now);
            match (&request.model, misdirected) {
                (Some(model), true) => entry.record_missing(now, model, request.adapter.as_ref()),
                (None, true) => entry.eject(now),
                (_, false) => entry.record_full(now),
            }
        }
        let decision = timeline::Decision::new("not_run")
            .with_request(request.request_id.as_str())
            .with_subject(upstream)
            .with("attempt", attempt)
            .with("misdirected", misdirected)
            .with_some("model", request.model.as_ref())
            .with_some("adapter", request.adapter.as_ref());
        effects.push(super::record(decision));
        if !self.retry(now, id, "rejected", effects) {
            let retry_after = time::Duration::from_millis(300);
            self.refuse(
                now,
                id,
                refusal::Reason::NoUpstream,
                Some(retry_after),
                effects,
            );
        }
    }

    /// Handles an attempt that failed without a complete response.
    pub(super) fn handle_failure(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        attempt: u32,
        failure: failure::Failure,
        effects: &mut Vec<effect::Effect>,
    ) {
        let sent = failure.may_have_sent();
        self.focus(id, attempt);
        if !self.is_attempt(id, attempt) {
            return;
        }
        let request = self.requests.get(&id);
        let head_received = request.is_some_and(pending::Pending::is_head_received);
        let is_without_event = request.is_some_and(pending::Pending::is_without_event);
        let Some((upstream, sent_at)) = self.release(id) else {
            return;
        };
        let request = self.requests.get(&id);
        let is_at_limit = request.is_some_and(|request| request.is_at_limit(now, sent_at));
        let failure = match failure {
            failure::Failure::BrokenOff if is_at_limit => failure::Failure::TimedOut,
            failure => failure,
        };
        self.record_evidence(now, &upstream, failure);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if sent {
            request.possible_executions += 1;
            request.history.record_end(now, attempt);
        } else {
            request.sent_attempts -= 1;
            request.history.record_not_run(now, attempt);
        }
        if failure == failure::Failure::Refused {
            request.history.record_lost(&upstream);
        }
        let decision = timeline::Decision::new("attempt_failed")
            .with_request(request.request_id.as_str())
            .with_subject(upstream.clone())
            .with("attempt", attempt)
            .with("sent", sent)
            .with("failure", failure.as_str())
            .with("head", head_received)
            .with_some("last_event", request.last_event)
            .with("sent_ms", timeline::Value::millis(now.since(sent_at)))
            .with("prompt", super::crash::prompt_text(&request.prompt))
            .with("fingerprint", &request.fingerprint);
        let suspect = quarantine::Suspect {
            parts: request.prompt.clone(),
            fingerprint: request.fingerprint.clone(),
            has_begun: head_received,
        };
        effects.push(super::record(decision));
        if failure == failure::Failure::TimedOut {
            if !self.resume_standby(now, id, effects) {
                let retry_after = Some(super::TIMEOUT_RETRY);
                self.refuse(now, id, refusal::Reason::Timeout, retry_after, effects);
            }
            return;
        }
        if sent && is_without_event {
            let is_suspect = self.quarantine.is_suspect(now, &suspect);
            self.record_breakage(now, &upstream, suspect, effects);
            if self.resume_standby(now, id, effects) {
                return;
            }
            let is_harmless = self.requests.get_mut(&id).is_some_and(|request| {
                request.eventless_attempts += 1;
                request.is_harmless()
            });
            if is_suspect && !is_harmless {
                // It broke off like requests that crashed other upstreams, so it must not reach a further one.
                return self.refuse(now, id, refusal::Reason::CrashSuspected, None, effects);
            }
        }
        if self.resume_standby(now, id, effects) {
            return;
        }
        if !sent && now + super::MIN_ATTEMPT_TIME < self.limit(id) {
            // No upstream received anything, so another attempt adds no load and is not charged to the retry budget.
            return self.dispatch_or_queue(now, id, effects);
        }
        self.retry_or_refuse(now, id, refusal::Reason::UpstreamFailed, effects);
    }

    /// Retries a request after a failure, or refuses it for `reason`.
    pub(super) fn retry_or_refuse(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        reason: refusal::Reason,
        effects: &mut Vec<effect::Effect>,
    ) {
        if !self.retry(now, id, reason.as_str(), effects) {
            let request = self.requests.get(&id);
            let may_have_run = request.is_some_and(pending::Pending::may_have_run);
            let retry_after = (!may_have_run).then_some(time::Duration::from_millis(300));
            self.refuse(now, id, reason, retry_after, effects);
        }
    }

    /// Goes on with the standby, or dispatches a request again where the route, the budget and the time left allow it.
    /// Returns whether it did.
    pub(super) fn retry(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        cause: &'static str,
        effects: &mut Vec<effect::Effect>,
    ) -> bool {
        if self.resume_standby(now, id, effects) {
            return true;
        }
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let allowed = (request.possible_executions == 0 || request.may_repeat())
            && (request.has_received_part() || request.sent_attempts < super::MAX_SENT_ATTEMPTS)
            && now + super::MIN_ATTEMPT_TIME < request.limit(self.lateness.delay());
        // Without a further attempt, the caller would lose the part of the response that it has.
        let may_wait = request.has_received_part();
        let budget = self.budgets.get_mut(&request.service);
        if !allowed {
            return false;
        }
        let is_charged = budget.is_some_and(|budget| budget.take(now));
        if !is_charged && !may_wait {
            return false;
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.awaits_budget = !is_charged;
        }
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let decision = timeline::Decision::new("retried")
            .with_request(request.request_id.as_str())
            .with("cause", cause)
            .with("attempt", request.attempt)
            .with("charged", is_charged);
        effects.push(super::record(decision));
        self.dispatch_or_queue(now, id, effects);
        true
    }
}
