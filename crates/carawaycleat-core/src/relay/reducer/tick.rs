//! Periodic work: time limits, retries of stalled attempts, and the queue.

use std::time;

use crate::clock;
use crate::relay::effect;
use crate::relay::event;
use crate::relay::pending;
use crate::relay::refusal;
use crate::relay::selection;
use crate::timeline;

/// The longest time for which a request waits for tokens from the coordinator: a few round trips.
const MAX_TOKEN_WAIT: time::Duration = time::Duration::from_millis(250);

/// The interval at which waiting requests that cannot be served in time are refused.
const QUEUE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(150);

/// How long before its deadline a waiting request is refused, so that the response arrives in time.
const REFUSAL_LEAD: time::Duration = time::Duration::from_millis(40);

/// The part of the stall timeout after which a silent upstream does not get the requests of another silent one.
const MAX_SILENCE_DIVISOR: u32 = 2;

impl super::Reducer {
    /// Does the work that is due at `now`.
    pub(super) fn tick(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        if self.discount_lateness(now) {
            return self.apply_limits(now, effects);
        }
        self.record_departures(now);
        while let Some(waiter) = self.token_waiters.front() {
            if now.since(waiter.since) < MAX_TOKEN_WAIT {
                break;
            }
            let waiter = *waiter;
            self.token_waiters.pop_front();
            self.end_token_wait(now, waiter, effects);
        }
        self.report_crashes(now, effects);
        self.tick_origins(now, effects);
        self.apply_limits(now, effects);
        self.cold.starts.forget(now);
        self.update_gates(now, None, effects);
        self.refresh_bounds(now, effects);
        let others = self.host_count.saturating_sub(1);
        for entry in self.upstreams.values_mut() {
            entry.estimate_other_requests(now, others);
            entry.refill_limit(now, self.host_count);
        }
        self.end_overlaps(now, effects);
        self.retry_stalled(now, effects);
        self.update_contention(now, effects);
        self.dispatch_waiting(now, effects);
        if now.since(self.last_queue_check) >= QUEUE_CHECK_INTERVAL {
            self.last_queue_check = now;
            self.refuse_unservable(now, effects);
        }
    }

    /// Refuses the requests whose limits have been reached, and notes which of those with an attempt in progress are overdue.
    fn apply_limits(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        self.refuse_expired(now, effects);
        let (stop, delay) = (self.stop, self.lateness.delay());
        for request in self.requests.values_mut() {
            request.is_overdue =
                !request.is_waiting() && expiry(now, delay, stop.as_ref(), request).is_some();
        }
    }

    /// Returns whether the limits of requests with attempts in progress have been reached. What had arrived for them by the
    /// last tick goes first; then [`event::Event::LimitsDue`] ends them.
    #[must_use]
    pub fn has_overdue_requests(&self) -> bool {
        self.requests.values().any(|request| request.is_overdue)
    }

    /// Refuses the requests that are past their deadline, and those without a response when the process stops. One with an
    /// attempt in progress is refused only if it was overdue before.
    pub(super) fn refuse_expired(
        &mut self,
        now: clock::Instant,
        effects: &mut Vec<effect::Effect>,
    ) {
        let ready_in = |request: &pending::Pending| {
            let model = request.model.as_ref().filter(|_| request.is_unplaced)?;
            self.time_until_ready(now, model)
        };
        let expired: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, request)| request.is_waiting() || request.is_overdue)
            .filter_map(|(id, request)| {
                let reason = expiry(now, self.lateness.delay(), self.stop.as_ref(), request)?;
                let retry_after = match reason {
                    refusal::Reason::Timeout => ready_in(request)
                        .unwrap_or_default()
                        .max(super::TIMEOUT_RETRY),
                    _ => super::OTHER_HOST_RETRY,
                };
                Some((*id, reason, retry_after))
            })
            .collect();
        for (id, reason, retry_after) in expired {
            let is_timeout = reason == refusal::Reason::Timeout;
            if is_timeout && self.refuse_expired_waiting(now, id, effects) {
                continue;
            }
            self.refuse(now, id, reason, Some(retry_after), effects);
        }
    }

    /// Retries requests that make no progress at another upstream. An attempt has stalled when nothing has arrived from
    /// its upstream for the stall timeout, or nothing for the attempt itself for a longer time.
    pub(super) fn retry_stalled(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        let stalled: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, request)| !request.is_caller_blocked)
            .filter_map(|(id, request)| {
                let pending::Phase::Sent {
                    upstream,
                    last_progress,
                    ..
                } = &request.phase
                else {
                    return None;
                };
                let upstream_progress = self
                    .upstreams
                    .get(upstream)
                    .map_or(now, |entry| entry.last_progress);
                let attempt_timeout = time::Duration::max(
                    request.route.objective * 3,
                    self.options.stall_timeout * 2,
                );
                let upstream_stalled =
                    now.since(*last_progress.max(&upstream_progress)) > self.options.stall_timeout;
                let attempt_stalled = now.since(*last_progress) > attempt_timeout;
                (upstream_stalled || attempt_stalled).then_some((*id, upstream_stalled))
            })
            .collect();
        for (id, upstream_stalled) in stalled {
            self.retry_elsewhere(now, id, upstream_stalled, effects);
        }
    }

    /// Sends another attempt to another upstream, where the route, the time and the budget allow it. The attempt in progress
    /// goes on until one of them has brought an answer. Ejects the upstream when nothing at all has arrived from it.
    pub(super) fn retry_elsewhere(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        upstream_stalled: bool,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let pending::Phase::Sent {
            upstream,
            last_progress,
            ..
        } = &request.phase
        else {
            return;
        };
        let silence = now.since(*last_progress);
        if upstream_stalled && let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.eject_for_silence(now);
        }
        let in_progress = 1 + u32::try_from(request.standbys.len()).unwrap_or(u32::MAX - 1);
        let may_retry = request.route.is_repeatable()
            && (request.has_received_part()
                || request.possible_executions + in_progress < request.route.max_attempts
                    && request.sent_attempts < super::MAX_SENT_ATTEMPTS)
            && now + super::MIN_ATTEMPT_TIME < request.limit(self.lateness.delay());
        let Some(service) = self.service_of(request).filter(|_| may_retry) else {
            return;
        };
        let mut selector = self.selector(now, &request.service, &service);
        selector.max_silence = Some(self.options.stall_timeout / MAX_SILENCE_DIVISOR);
        let selection::Selection::Upstream(target) = selector.select(&self.upstreams, request)
        else {
            return;
        };
        let budget = self.budgets.get_mut(&request.service);
        if !budget.is_some_and(|budget| budget.take(now)) {
            return;
        }
        let decision = timeline::Decision::new("retried")
            .with_request(request.request_id.as_str())
            .with_subject(upstream.clone())
            .with("cause", "stalled")
            .with("attempt", request.attempt)
            .with("silent_ms", timeline::Value::millis(silence))
            .with("upstream_silent", upstream_stalled)
            .with("head", request.is_head_received())
            .with_some("last_event", request.last_event);
        effects.push(super::record(decision));
        self.set_aside(id);
        self.send(now, id, &target, effects);
    }
}

/// Returns why a request has to end now, if it has to, at a host that takes `delay` for it.
fn expiry(
    now: clock::Instant,
    delay: time::Duration,
    stop: Option<&super::stop::Stop>,
    request: &pending::Pending,
) -> Option<refusal::Reason> {
    let is_expired = if request.is_waiting() {
        now + REFUSAL_LEAD + delay >= request.abandonment_time()
    } else {
        now >= request.limit(delay)
    };
    let is_stopping = || {
        !request.response_started && stop.is_some_and(|stop| now + REFUSAL_LEAD >= stop.deadline)
    };
    if is_expired {
        Some(refusal::Reason::Timeout)
    } else if is_stopping() {
        Some(refusal::Reason::Stopping)
    } else {
        None
    }
}
