use std::time;

use super::dispatch;
use super::event;
use super::pending;
use crate::clock;
use crate::outcome;
use crate::request;
use crate::retry;
use crate::routing;
use crate::stream;
use crate::timeline;

/// Time after a failed attempt before a request returns to an upstream at which an attempt failed.
const RETURN_DELAY: time::Duration = time::Duration::from_millis(500);

/// Cause of a failed attempt.
struct Cause {
    outcome: outcome::Outcome,
    reason: outcome::Reason,
    sent: bool,
    message: String,
    failure: routing::Failure,
}

impl super::Reducer {
    /// Processes the progress of an attempt. Progress of an abandoned attempt is ignored.
    pub(super) fn advance_attempt(
        &mut self,
        now: clock::Instant,
        attempt: request::Id,
        progress: event::Progress,
    ) {
        let Some(&id) = self.attempts.get(&attempt) else {
            return;
        };
        // A part names the attempt that it belongs to, and any running attempt may bring the next one.
        if let Some(cursor) = self.cursor(id) {
            cursor.resume(attempt);
        }
        match progress {
            event::Progress::Started => self.start_attempt(id, attempt),
            event::Progress::Token {
                frame_attempt,
                position,
            } => {
                let accepted = self
                    .cursor(id)
                    .map(|cursor| cursor.accept(frame_attempt, position));
                self.advance_response(now, attempt, id, accepted, 1);
            }
            event::Progress::Head(length) => {
                let accepted = self.cursor(id).map(|cursor| match length {
                    Some(length) => cursor.expect_length(length),
                    None => Ok(()),
                });
                if let (Some(Ok(())), Some(pending)) = (&accepted, self.requests.get_mut(&id)) {
                    pending.has_head = true;
                }
                self.advance_response(now, attempt, id, accepted, 0);
            }
            event::Progress::Bytes(bytes) => {
                let accepted = self
                    .cursor(id)
                    .map(|cursor| cursor.accept_bytes(attempt, bytes));
                self.advance_response(now, attempt, id, accepted, 0);
            }
            event::Progress::Ended {
                frame_attempt,
                count,
            } => self.end_response(now, attempt, id, frame_attempt, count),
            event::Progress::Failed {
                outcome,
                reason,
                sent,
                message,
            } => {
                let failure = upstream_failure(reason, sent);
                self.fail_attempt(
                    now,
                    id,
                    attempt,
                    Cause {
                        outcome,
                        reason,
                        sent,
                        message,
                        failure,
                    },
                );
            }
        }
    }

    fn cursor(&mut self, id: request::Id) -> Option<&mut stream::Cursor> {
        self.requests
            .get_mut(&id)
            .map(|pending| &mut pending.cursor)
    }

    fn start_attempt(&mut self, id: request::Id, attempt: request::Id) {
        if let Some(running) = self.running(id, attempt) {
            running.sent = true;
        }
        self.record_attempt(timeline::Kind::Started, id, Some(attempt), "");
    }

    fn running(&mut self, id: request::Id, attempt: request::Id) -> Option<&mut pending::Attempt> {
        self.requests.get_mut(&id)?.attempt_mut(attempt)
    }

    fn advance_response(
        &mut self,
        now: clock::Instant,
        attempt: request::Id,
        id: request::Id,
        accepted: Option<stream::Result<()>>,
        tokens: u64,
    ) {
        match accepted {
            Some(Ok(())) => {}
            Some(Err(error)) => {
                return self.fail_attempt(now, id, attempt, invalid_response(&error));
            }
            None => return,
        }
        self.cancel_attempts(now, id, Some(attempt));
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let position = pending.cursor.position();
        // A head or token implies that the request was sent, even if the frame that reports the start was lost.
        let is_first = match pending.attempt_mut(attempt) {
            Some(running) => {
                running.is_silent = false;
                !std::mem::replace(&mut running.sent, true) || position <= 1
            }
            None => false,
        };
        if is_first && tokens == position {
            self.table.record_first_token(now, attempt);
            if let Some(running) = pending.running.last() {
                self.table
                    .record_prefixes(&running.upstream, &pending.request.prefixes);
            }
            self.record_request(timeline::Kind::FirstToken, id, "");
        } else {
            self.table.record_token(now, attempt);
        }
        if let Some(pending) = self.requests.get(&id) {
            let (model, adapter) = (&pending.request.model, &pending.request.adapter);
            self.queue
                .record_served(now, model.as_ref(), adapter.as_ref(), tokens);
        }
        self.emit(super::Effect::Deliver(id));
    }

    fn end_response(
        &mut self,
        now: clock::Instant,
        attempt: request::Id,
        id: request::Id,
        frame_attempt: request::Id,
        count: u64,
    ) {
        if let Some(Err(error)) = self
            .cursor(id)
            .map(|cursor| cursor.finish(frame_attempt, count))
        {
            return self.fail_attempt(now, id, attempt, invalid_response(&error));
        }
        self.cancel_attempts(now, id, Some(attempt));
        self.table.record_success(now, attempt);
        self.attempts.remove(&attempt);
        self.record_request(timeline::Kind::Finished, id, "");
        let Some(mut pending) = self.requests.remove(&id) else {
            return;
        };
        let used = pending.used();
        if let Some(reservation) = pending.reservation.take() {
            self.refund(now, reservation, used);
        }
        if pending.is_claimed {
            let outcome = outcome::Outcome::Ran;
            self.emit(super::Effect::ResolveClaim {
                request: id,
                outcome,
            });
        }
        self.emit(super::Effect::Finish { request: id, count });
        self.admit_waiting(now);
        self.dispatch_all(now);
    }

    /// Retries or refuses a request after a failed attempt, unless another attempt at it is running.
    fn fail_attempt(
        &mut self,
        now: clock::Instant,
        id: request::Id,
        attempt: request::Id,
        cause: Cause,
    ) {
        let reason = cause.reason.as_str();
        self.record_attempt(timeline::Kind::Failed, id, Some(attempt), reason);
        let Some(attempt) = self.end_attempt(now, id, attempt, cause.failure) else {
            return;
        };
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let tried = retry::Attempt {
            outcome: cause.outcome,
            reason: cause.reason,
            sent: cause.sent,
            idempotent: pending.idempotent,
            attempts: 0,
            earlier_outcome: pending.earlier_outcome,
            // A response whose head was delivered cannot be restarted: the head of another execution may differ.
            delivered: pending.delivered(),
            resumable: pending.is_model(),
            deadline: pending.request.deadline,
        };
        let has_run = cause.sent && cause.outcome != outcome::Outcome::NotRun;
        pending.rejections += u32::from(!has_run);
        let tried = retry::Attempt {
            attempts: pending.counted_attempts(),
            ..tried
        };
        pending.earlier_outcome = tried.total_outcome();
        pending.failed_at = Some(now);
        pending.excluded.push(attempt.upstream.clone());
        let is_ended_here = cause.failure == routing::Failure::Timeout
            || cause.failure == routing::Failure::Mismatched
            || cause.failure == routing::Failure::Incomplete;
        if is_ended_here {
            let effect = super::Effect::Cancel {
                request: id,
                attempt: attempt.id,
                upstream: attempt.upstream,
            };
            self.emit(effect);
        }
        if self.is_running(id) {
            return self.dispatch_all(now);
        }
        let action = retry::decide(now, &tried, &mut self.budget);
        if action != retry::Action::Wait {
            self.emit(super::Effect::CountRetry(decision(&tried, action)));
        }
        match action {
            retry::Action::Retry | retry::Action::Resume { .. } => {
                self.record_request(timeline::Kind::Retried, id, cause.reason.as_str());
                self.enqueue(now, id);
            }
            retry::Action::Wait => {
                if let Some(pending) = self.requests.get_mut(&id) {
                    pending.stage = pending::Stage::Budget;
                }
            }
            retry::Action::Fail { outcome, reason } => {
                let refusal = super::Refusal::new(reason, outcome, cause.message);
                self.end_refused(now, id, refusal);
            }
        }
        self.dispatch_all(now);
    }

    /// Lets queued requests return to the upstreams at which their attempts failed, if no other one can serve them.
    fn return_waiting(&mut self, now: clock::Instant) {
        for pending in self.requests.values_mut() {
            let is_due = pending.stage == pending::Stage::Queue
                && !pending.excluded.is_empty()
                && pending
                    .failed_at
                    .is_some_and(|failed_at| now.since(failed_at) >= RETURN_DELAY);
            if is_due
                && !self
                    .table
                    .can_run(now, &dispatch::criteria(pending, &self.zone))
            {
                pending.excluded.clear();
            }
        }
    }

    /// Resumes the responses that wait for the retry budget, as far as it allows.
    fn resume_waiting(&mut self, now: clock::Instant) {
        let waiting = self.requests.iter();
        let waiting = waiting.filter(|(_, pending)| pending.stage == pending::Stage::Budget);
        let mut waiting: Vec<_> = waiting.map(|(id, _)| *id).collect();
        waiting.sort_unstable();
        for id in waiting {
            if !self.budget.take(now) {
                return;
            }
            self.emit(super::Effect::CountRetry(super::Decision::Resumed));
            self.record_request(timeline::Kind::Retried, id, "retry budget");
            self.enqueue(now, id);
        }
    }

    /// Returns whether an attempt at the request is running.
    fn is_running(&self, id: request::Id) -> bool {
        let pending = self.requests.get(&id);
        pending.is_some_and(|pending| !pending.running.is_empty())
    }

    /// Starts further attempts beside those that make no progress, and refuses requests whose deadline has passed.
    pub(super) fn expire(&mut self, now: clock::Instant) {
        let stalled = self.table.detect_stalls(now);
        self.record_ejections("no progress");
        for (attempt, _) in stalled {
            if let Some(&id) = self.attempts.get(&attempt)
                && let Some(running) = self.running(id, attempt)
            {
                running.is_silent = true;
            }
        }
        self.dispatch_silent(now);
        self.return_waiting(now);
        self.resume_waiting(now);
        for ticket in self.queue.expire(now) {
            let Some(pending) = self.requests.get(&ticket.id) else {
                continue;
            };
            let refusal = expiry_refusal(pending);
            if pending.attempts > 0 {
                self.emit(super::Effect::CountRetry(super::Decision::NoCandidate));
            }
            self.end_refused(now, ticket.id, refusal);
        }
        let is_overdue = |pending: &pending::Pending| {
            let waits = matches!(
                pending.stage,
                pending::Stage::Running | pending::Stage::Budget
            );
            waits && pending.request.deadline <= now
        };
        let overdue: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, pending)| is_overdue(pending))
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            let refusal = super::Refusal::new(
                outcome::Reason::UpstreamTimeout,
                self.requests[&id].outcome(),
                "the response was not complete by the deadline",
            );
            self.end_refused(now, id, refusal);
        }
    }
}

/// Returns the decision for the metrics.
fn decision(tried: &retry::Attempt, action: retry::Action) -> super::Decision {
    match action {
        retry::Action::Retry => super::Decision::Retried,
        retry::Action::Resume { .. } => super::Decision::Resumed,
        retry::Action::Fail { outcome, .. }
            if !tried.idempotent && outcome != outcome::Outcome::NotRun =>
        {
            super::Decision::NotIdempotent
        }
        retry::Action::Wait | retry::Action::Fail { .. } => super::Decision::Exhausted,
    }
}

fn expiry_refusal(pending: &pending::Pending) -> super::Refusal {
    let (reason, message) = if pending.attempts > 0 {
        (
            outcome::Reason::UpstreamFailed,
            "no other upstream became available before the deadline",
        )
    } else {
        (
            outcome::Reason::NoUpstream,
            "no upstream became available before the deadline",
        )
    };
    super::Refusal::new(reason, pending.outcome(), message)
}

fn invalid_response(error: &stream::Error) -> Cause {
    let failure = match error {
        stream::Error::Mismatched(..) => routing::Failure::Mismatched,
        _ => routing::Failure::Incomplete,
    };
    Cause {
        outcome: outcome::Outcome::Unknown,
        reason: outcome::Reason::UpstreamIncomplete,
        sent: true,
        message: error.to_string(),
        failure,
    }
}

/// Returns how a failure with this reason, before or after the request was sent, counts against the upstream.
fn upstream_failure(reason: outcome::Reason, sent: bool) -> routing::Failure {
    match reason {
        outcome::Reason::UpstreamTimeout if !sent => routing::Failure::Unconnected,
        outcome::Reason::UpstreamLeaving | outcome::Reason::ShuttingDown => {
            routing::Failure::Leaving
        }
        outcome::Reason::UpstreamTimeout => routing::Failure::Timeout,
        outcome::Reason::UpstreamIncomplete => routing::Failure::Incomplete,
        outcome::Reason::UpstreamFailed => routing::Failure::Error,
        _ => routing::Failure::Refused,
    }
}
