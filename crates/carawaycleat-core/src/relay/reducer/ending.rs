//! Ends of requests that get no complete response: refusals and callers that disconnect.

use std::time;

use crate::clock;
use crate::relay::command;
use crate::relay::effect;
use crate::relay::event;
use crate::relay::refusal;
use crate::relay::summary;
use crate::timeline;

impl super::Reducer {
    /// Ends a request with a refusal, or cuts its response when a part of it has been passed on.
    pub(super) fn refuse(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        reason: refusal::Reason,
        retry_after: Option<time::Duration>,
        effects: &mut Vec<effect::Effect>,
    ) {
        self.end_standbys(now, id, effects);
        let request = self.requests.get(&id);
        let is_connecting = request.is_some_and(|request| request.phase.is_connecting());
        let in_progress = self.release(id);
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.waiting.remove(&(request.queue_key(), id));
        let census = self.census(now, &request);
        let verdict = request.verdict;
        let may_have_run = request.may_have_run() || in_progress.is_some() && !is_connecting;
        if !may_have_run && request.has_tokens {
            self.refund(&request);
        }
        let refusal = refusal::Refusal {
            reason,
            may_have_run,
            retry_after,
        };
        let outcome = if request.response_started {
            summary::Outcome::Cut(reason)
        } else {
            summary::Outcome::Refused(reason)
        };
        effects.push(effect::Effect::Measure(request.summary(now, outcome)));
        let decision = timeline::Decision::new("refused")
            .with_request(request.request_id)
            .with_subject(in_progress.map(|(upstream, _)| upstream))
            .with("reason", reason.as_str())
            .with("status", refusal.status())
            .with_some("workspace", request.workspace)
            .with("tokens", request.cost)
            .with_some("model", request.model)
            .with_some("adapter", request.adapter)
            .with("unplaced", request.is_unplaced)
            .with("attempts", request.attempt)
            .with("delivered", request.response_started)
            .with("connecting", is_connecting)
            .with("holders", census.holders)
            .with("ejected", census.ejected)
            .with("paused", census.paused)
            .with("ms", timeline::Value::millis(now.since(request.arrived_at)))
            .with_some(
                "retry_after_ms",
                refusal.retry_after.map(timeline::Value::millis),
            )
            .with_some("cause", verdict.map(|verdict| verdict.cause))
            .with_some("ahead", verdict.map(|verdict| verdict.ahead))
            .with_some(
                "expected_wait_ms",
                verdict.map(|verdict| timeline::Value::millis(verdict.wait)),
            )
            .with("config", self.config_version())
            .with_some("config_age_ms", self.config_age_field(now));
        effects.push(super::record(decision));
        effects.push(effect::Effect::Command(
            id,
            command::Command::Refuse(refusal),
        ));
    }

    /// Ends a request whose caller has disconnected.
    pub(super) fn handle_disconnect(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        effects: &mut Vec<effect::Effect>,
    ) {
        self.end_standbys(now, id, effects);
        let in_progress = self.release(id);
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.waiting.remove(&(request.queue_key(), id));
        if in_progress.is_some() {
            self.record_slot_time(now, &request);
        }
        let outcome = summary::Outcome::CallerDisconnected;
        effects.push(effect::Effect::Measure(request.summary(now, outcome)));
        let decision = timeline::Decision::new("caller_gone")
            .with_request(request.request_id)
            .with_subject(in_progress.map(|(upstream, _)| upstream))
            .with("attempts", request.attempt)
            .with("delivered", request.response_started)
            .with("ms", timeline::Value::millis(now.since(request.arrived_at)));
        effects.push(super::record(decision));
        self.dispatch_waiting(now, effects);
    }
}
