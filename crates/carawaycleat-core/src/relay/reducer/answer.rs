//! What becomes of the answers and failures of attempts.

use std::time;

use crate::clock;
use crate::name;
use crate::relay::command;
use crate::relay::effect;
use crate::relay::event;
use crate::relay::pending;
use crate::relay::refusal;
use crate::relay::summary;
use crate::timeline;

/// The status of an answer that streams.
const STREAM_STATUS: u16 = 200;

impl super::Reducer {
    /// Frees the slot of the attempt in progress and returns its upstream with the time that it took.
    pub(super) fn release(&mut self, id: event::Id) -> Option<(name::Name, clock::Instant)> {
        let request = self.requests.get_mut(&id)?;
        let place = std::mem::replace(&mut request.place, pending::Place::Waiting);
        let pending::Place::At { upstream, sent, .. } = place else {
            return None;
        };
        if let Some(entry) = self.table.get_mut(&upstream) {
            entry.ended();
        }
        Some((upstream, sent))
    }

    pub(super) fn is_attempt(&self, id: event::Id, attempt: u32) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|request| request.attempt == attempt && !request.is_waiting())
    }

    pub(super) fn answer(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        attempt: u32,
        answer: event::Response,
        effects: &mut Vec<effect::Effect>,
    ) {
        if !self.is_attempt(id, attempt) {
            return;
        }
        let misdirected = answer.status == 421;
        if answer.not_run || misdirected {
            return self.rejected(now, id, misdirected, effects);
        }
        let succeeded = answer.status < 500;
        if succeeded && answer.is_stream {
            self.begin_stream(now, id, effects);
            return;
        }
        let Some((upstream, sent)) = self.release(id) else {
            return;
        };
        if let Some(entry) = self.table.get_mut(&upstream) {
            entry.answered(now, now.since(sent));
            entry.observe(now, !succeeded);
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.runs += 1;
        request.answered.get_or_insert(now);
        if request.delivered {
            // A resumed stream was answered by something else.
            return self.retry_or_refuse(now, id, refusal::Reason::UpstreamFailed, effects);
        }
        if !succeeded && self.try_again(now, id, "failed", effects) {
            return;
        }
        self.finish(now, id, upstream, answer.status, effects);
    }

    /// Ends a request whose answer is complete.
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
        let outcome = if status < 500 {
            summary::Outcome::Completed
        } else {
            summary::Outcome::Failed
        };
        effects.push(effect::Effect::Measure(request.summary(now, outcome)));
        let decision = timeline::Decision::new("answered")
            .about(request.name)
            .at(upstream)
            .with("status", status)
            .with("attempts", request.attempt)
            .with("ms", timeline::Value::millis(now.since(request.arrived)))
            .with_some("last_event", request.after);
        effects.push(super::record(decision));
        effects.push(effect::Effect::Command(id, command::Command::Deliver));
        self.serve_waiting(now, effects);
    }

    pub(super) fn begin_stream(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if let pending::Place::At { progress, .. } = &mut request.place {
            *progress = now;
        }
        request.delivered = true;
        effects.push(effect::Effect::Command(id, command::Command::Deliver));
    }

    pub(super) fn progress(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        attempt: u32,
        after: Option<u64>,
    ) {
        if !self.is_attempt(id, attempt) {
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.answered.get_or_insert(now);
        request.after = after.or(request.after);
        let pending::Place::At {
            upstream,
            sent,
            progress,
            answered,
        } = &mut request.place
        else {
            return;
        };
        *progress = now;
        if let Some(entry) = self.table.get_mut(upstream) {
            entry.progress = now;
            if !*answered {
                entry.answered(now, now.since(*sent));
            }
        }
        *answered = true;
    }

    pub(super) fn end(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        attempt: u32,
        effects: &mut Vec<effect::Effect>,
    ) {
        if !self.is_attempt(id, attempt) {
            return;
        }
        let Some((upstream, _)) = self.release(id) else {
            return;
        };
        if let Some(entry) = self.table.get_mut(&upstream) {
            entry.observe(now, false);
        }
        self.finish(now, id, upstream, STREAM_STATUS, effects);
    }

    /// Follows an upstream's statement that it did not run the request.
    pub(super) fn rejected(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        misdirected: bool,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some((upstream, _)) = self.release(id) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.rejected += 1;
        if let Some(entry) = self.table.get_mut(&upstream) {
            entry.progress = now;
            match (&request.model, misdirected) {
                (Some(model), true) => entry.lacks(now, model, request.adapter.as_ref()),
                (None, true) => entry.avoid(now),
                (_, false) => entry.was_full(now),
            }
        }
        let decision = timeline::Decision::new("not_run")
            .about(request.name.as_str())
            .at(upstream)
            .with("attempt", request.attempt)
            .with("misdirected", misdirected)
            .with_some("model", request.model.as_ref())
            .with_some("adapter", request.adapter.as_ref());
        effects.push(super::record(decision));
        if !self.try_again(now, id, "rejected", effects) {
            let retry = time::Duration::from_millis(300);
            self.refuse(now, id, refusal::Reason::NoUpstream, Some(retry), effects);
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn fail(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        attempt: u32,
        sent: bool,
        unreachable: bool,
        effects: &mut Vec<effect::Effect>,
    ) {
        if !self.is_attempt(id, attempt) {
            return;
        }
        let Some((upstream, _)) = self.release(id) else {
            return;
        };
        if let Some(entry) = self.table.get_mut(&upstream) {
            entry.observe(now, true);
            if unreachable {
                entry.avoid(now);
            } else {
                entry.broke(now);
            }
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if sent {
            request.runs += 1;
        } else {
            request.arrivals -= 1;
        }
        let decision = timeline::Decision::new("attempt_failed")
            .about(request.name.as_str())
            .at(upstream)
            .with("attempt", attempt)
            .with("sent", sent)
            .with("unreachable", unreachable);
        effects.push(super::record(decision));
        if !sent && now + super::MIN_REMAINING < self.due(id) {
            // Nothing arrived anywhere, so that this takes nothing of the budget.
            return self.seek(now, id, effects);
        }
        self.retry_or_refuse(now, id, refusal::Reason::UpstreamFailed, effects);
    }

    pub(super) fn due(&self, id: event::Id) -> clock::Instant {
        self.requests
            .get(&id)
            .map_or_else(clock::Instant::default, |request| request.due)
    }

    pub(super) fn retry_or_refuse(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        reason: refusal::Reason,
        effects: &mut Vec<effect::Effect>,
    ) {
        if !self.try_again(now, id, reason.as_str(), effects) {
            let runs = self.requests.get(&id).map_or(0, |request| request.runs);
            let retry = (runs == 0).then_some(time::Duration::from_millis(300));
            self.refuse(now, id, reason, retry, effects);
        }
    }

    /// Lets a request seek another upstream, where the route, the budget and the time that is left allow it.
    pub(super) fn try_again(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        cause: &'static str,
        effects: &mut Vec<effect::Effect>,
    ) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let allowed = (request.runs == 0 || request.may_repeat())
            && request.arrivals < super::MAX_SENDS
            && now + super::MIN_REMAINING < request.due;
        let budget = self.budgets.get_mut(&request.service);
        if !allowed || !budget.is_some_and(|budget| budget.take(now)) {
            return false;
        }
        let decision = timeline::Decision::new("retried")
            .about(request.name.as_str())
            .with("cause", cause)
            .with("attempt", request.attempt);
        effects.push(super::record(decision));
        self.seek(now, id, effects);
        true
    }

    /// Ends a request with an answer of this host's own.
    pub(super) fn refuse(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        reason: refusal::Reason,
        retry_after: Option<time::Duration>,
        effects: &mut Vec<effect::Effect>,
    ) {
        let in_progress = self.release(id);
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.waiting.remove(&(request.urgency(), id));
        let may_have_run = request.runs > 0 || in_progress.is_some();
        if !may_have_run && request.has_tokens {
            self.give_back(&request);
        }
        let refusal = refusal::Refusal {
            reason,
            may_have_run,
            retry_after,
        };
        let outcome = if request.delivered {
            summary::Outcome::Cut
        } else {
            summary::Outcome::Refused
        };
        effects.push(effect::Effect::Measure(request.summary(now, outcome)));
        let decision = timeline::Decision::new("refused")
            .about(request.name)
            .at(in_progress.map(|(upstream, _)| upstream))
            .with("reason", reason.as_str())
            .with("status", refusal.status())
            .with_some("workspace", request.workspace)
            .with("tokens", request.cost)
            .with_some("model", request.model)
            .with_some("adapter", request.adapter)
            .with("unplaced", request.unplaced)
            .with("attempts", request.attempt)
            .with("delivered", request.delivered)
            .with("ms", timeline::Value::millis(now.since(request.arrived)))
            .with_some(
                "retry_after_ms",
                refusal.retry_after.map(timeline::Value::millis),
            )
            .with("config", self.config_version())
            .with_some("config_age_ms", self.config_age_field(now));
        effects.push(super::record(decision));
        effects.push(effect::Effect::Command(
            id,
            command::Command::Refuse(refusal),
        ));
    }

    pub(super) fn abandon(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        effects: &mut Vec<effect::Effect>,
    ) {
        let in_progress = self.release(id);
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.waiting.remove(&(request.urgency(), id));
        let outcome = summary::Outcome::CallerDisconnected;
        effects.push(effect::Effect::Measure(request.summary(now, outcome)));
        let decision = timeline::Decision::new("caller_gone")
            .about(request.name)
            .at(in_progress.map(|(upstream, _)| upstream))
            .with("attempts", request.attempt)
            .with("delivered", request.delivered)
            .with("ms", timeline::Value::millis(now.since(request.arrived)));
        effects.push(super::record(decision));
        self.serve_waiting(now, effects);
    }
}
