//! Several attempts at one request at a time: those whose upstreams are silent, and the one that is to take their place.

use std::time;

use crate::clock;
use crate::relay::command;
use crate::relay::config;
use crate::relay::effect;
use crate::relay::event;
use crate::relay::pending;
use crate::relay::upstream;
use crate::timeline;

/// The longest time for which two upstreams work on one stream. The platform allows 400 ms.
const MAX_OVERLAP: time::Duration = time::Duration::from_millis(300);

impl super::Reducer {
    /// Keeps the attempt in progress beside the next one.
    pub(super) fn set_aside(&mut self, id: event::Id) {
        if let Some(request) = self.requests.get_mut(&id) {
            let phase = std::mem::replace(&mut request.phase, pending::Phase::Waiting);
            request.standbys.push(phase);
        }
    }

    /// Makes `attempt` the attempt in progress, and that one a standby, if `attempt` is a standby.
    pub(super) fn focus(&mut self, id: event::Id, attempt: u32) {
        if let Some(request) = self.requests.get_mut(&id) {
            let mut standbys = request.standbys.iter_mut();
            if let Some(standby) = standbys.find(|standby| standby.attempt() == Some(attempt)) {
                std::mem::swap(&mut request.phase, standby);
            }
        }
    }

    /// Records that an attempt beside another one has left for its upstream.
    pub(super) fn record_departure(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        attempt: u32,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let mut phases = std::iter::once(&mut request.phase).chain(&mut request.standbys);
        let phase = phases.find(|phase| phase.attempt() == Some(attempt));
        let Some(pending::Phase::Sent {
            upstream,
            sent,
            departed,
            ..
        }) = phase
        else {
            return;
        };
        departed.get_or_insert(now);
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.record_connection();
        }
        let decision = timeline::Decision::new("attempt_sent")
            .with_request(request.request_id.as_str())
            .with_subject(upstream.clone())
            .with("attempt", attempt)
            .with("connect_ms", timeline::Value::millis(now.since(*sent)));
        effects.push(super::record(decision));
    }

    /// Returns the upstream of a standby; none if `attempt` is not one.
    pub(super) fn standby_upstream(
        &mut self,
        id: event::Id,
        attempt: u32,
    ) -> Option<&mut upstream::Upstream> {
        let mut standbys = self.requests.get(&id)?.standbys.iter();
        let standby = standbys.find(|standby| standby.attempt() == Some(attempt))?;
        match standby {
            pending::Phase::Sent { upstream, .. } => self.upstreams.get_mut(upstream),
            pending::Phase::Waiting => None,
        }
    }

    /// Goes on with a standby after the attempt in progress has ended without an answer. Returns whether there is one.
    pub(super) fn resume_standby(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        effects: &mut Vec<effect::Effect>,
    ) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        let Some(standby) = request.standbys.pop() else {
            return false;
        };
        let decision = timeline::Decision::new("attempt_kept")
            .with_request(request.request_id.as_str())
            .with_some("attempt", standby.attempt())
            .with_some("last_event", request.last_event);
        effects.push(super::record(decision));
        request.phase = standby;
        if let pending::Phase::Sent { last_progress, .. } = &mut request.phase {
            *last_progress = now;
        }
        true
    }

    /// Ends the standbys, because the attempt in progress has brought an answer or has to go on alone.
    pub(super) fn end_standbys(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        effects: &mut Vec<effect::Effect>,
    ) {
        let request = self.requests.get_mut(&id);
        let standbys = request.map(|request| std::mem::take(&mut request.standbys));
        for standby in standbys.into_iter().flatten() {
            self.end_standby(now, id, standby, effects);
        }
    }

    fn end_standby(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        standby: pending::Phase,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.unsent_executions += u32::from(standby.is_connecting());
        let pending::Phase::Sent {
            attempt,
            upstream,
            sent,
            ..
        } = standby
        else {
            return;
        };
        request.possible_executions += 1;
        request.abandoned_attempts += 1;
        request.history.record_end(now, attempt);
        let was_replaced = request.phase.sent_at().is_some_and(|other| sent < other);
        self.tracker.ledger.remove(&upstream, (id, attempt));
        if let Some(entry) = self.upstreams.get_mut(&upstream) {
            entry.record_end();
            if was_replaced {
                entry.record_outcome(now, true);
            }
        }
        let decision = timeline::Decision::new("attempt_ended")
            .with_request(request.request_id.as_str())
            .with_subject(upstream)
            .with("attempt", attempt)
            .with("replaced", was_replaced)
            .with("sent_ms", timeline::Value::millis(now.since(sent)));
        effects.push(super::record(decision));
        effects.push(effect::Effect::Command(id, command::Command::End(attempt)));
    }

    /// Ends attempts at a stream that have run beside a later one for long enough: all that have left but the one in progress,
    /// or the latest one if that is still being connected. An attempt whose connection is being made runs nowhere, so that it
    /// ends no other.
    pub(super) fn end_overlaps(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        let is_over = |request: &pending::Pending| {
            let phases = std::iter::once(&request.phase).chain(&request.standbys);
            let mut departed: Vec<_> = phases.filter_map(pending::Phase::departed_at).collect();
            departed.sort_unstable();
            let is_long = |departed: &clock::Instant| now.since(*departed) >= MAX_OVERLAP;
            request.route.kind == config::Kind::Streaming && departed.get(1).is_some_and(is_long)
        };
        let overlapping = self.requests.iter_mut().filter(|(_, request)| {
            let has_standbys = !request.standbys.is_empty();
            has_standbys && is_over(request)
        });
        let over: Vec<_> = overlapping
            .map(|(id, request)| (*id, take_overlapping(request)))
            .collect();
        for (id, standbys) in over {
            for standby in standbys {
                self.end_standby(now, id, standby, effects);
            }
        }
    }
}

/// Takes the standbys that are to end from a request of which several attempts have left for their upstreams.
fn take_overlapping(request: &mut pending::Pending) -> Vec<pending::Phase> {
    let departed = request.standbys.iter().map(pending::Phase::departed_at);
    let kept = match request.phase.departed_at() {
        Some(_) => None,
        None => departed.max().flatten(),
    };
    let is_ended = |standby: &mut pending::Phase| {
        let departed = standby.departed_at();
        departed.is_some() && departed != kept
    };
    request.standbys.extract_if(.., is_ended).collect()
}
