//! Dispatch of requests to upstreams, and the queue of those that wait for one.

use std::collections;
use std::sync;
use std::time;

use super::tracking;
use crate::clock;
use crate::name;
use crate::relay::command;
use crate::relay::config;
use crate::relay::effect;
use crate::relay::event;
use crate::relay::origin;
use crate::relay::pending;
use crate::relay::refusal;
use crate::relay::selection;
use crate::relay::upstream;
use crate::retry;
use crate::timeline;

/// The longest `Retry-After` of a refusal for lack of a slot.
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_millis(4_000);

/// The maximum number of waiting requests of one queue that are examined per event.
const MAX_SCANNED_REQUESTS: usize = 512;

/// The `Retry-After` of a refusal for lack of an upstream, where no load is announced.
const UNPLACED_RETRY: time::Duration = time::Duration::from_secs(1);

/// The lowest rate that is assumed for a queue, in requests per second.
const MIN_SEND_RATE: f64 = 1.0;

impl super::Reducer {
    /// Counts the upstreams that hold what a request needs.
    pub(super) fn census(
        &self,
        now: clock::Instant,
        request: &pending::Pending,
    ) -> selection::Census {
        self.service_of(request)
            .map_or_else(selection::Census::default, |service| {
                let selector = self.selector(now, &request.service, &service);
                selector.census(&self.upstreams, request)
            })
    }

    /// Sends a request to an upstream, or queues it when none can take it.
    pub(super) fn dispatch_or_queue(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        effects: &mut Vec<effect::Effect>,
    ) {
        if self.refuse_unfinishable(now, id, effects) {
            return;
        }
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.stream.sought_since.is_some() {
            return;
        }
        if request.attempt > 0 {
            self.update_rank(now, id);
        }
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let key = (request.queue_key(), id);
        let Some(service) = self.service_of(request) else {
            return self.refuse(now, id, refusal::Reason::NoUpstream, None, effects);
        };
        let is_first = request.attempt == 0;
        if is_first && request.requires_key && !self.is_current(now, self.options.max_config_age) {
            return self.refuse(now, id, refusal::Reason::ConfigurationStale, None, effects);
        }
        let end = self
            .quarantine
            .quarantined_until(now, &request.prompt, &request.fingerprint);
        // What crashes upstreams does so at the beginning of a response.
        if let Some(end) = end.filter(|_| !request.is_harmless()) {
            let retry_after = Some(end.since(now));
            return self.refuse(now, id, refusal::Reason::Quarantined, retry_after, effects);
        }
        let budget = self.budgets.get(&request.service);
        if request.awaits_budget && budget.is_some_and(|budget| budget.remaining(now) == 0) {
            self.waiting.insert(key);
            return;
        }
        let queue = (request.service.clone(), request.model.clone());
        let mut selector = self.selector(now, &request.service, &service);
        selector.yielding = self.yielding(now, request, &queue);
        match selector.select(&self.upstreams, request) {
            selection::Selection::Upstream(upstream) => {
                if self.would_end_late(now, request, &upstream) {
                    let retry_after = Some(super::MIN_RETRY_AFTER);
                    let reason = refusal::Reason::NoUpstream;
                    return self.refuse(now, id, reason, retry_after, effects);
                }
                if self.charge_retry(now, id) {
                    self.waiting.remove(&key);
                    self.send(now, id, &upstream, effects);
                } else {
                    self.waiting.insert(key);
                }
            }
            selection::Selection::NoFreeSlot => {
                let pause_end = selector.pause_end(&self.upstreams, request);
                let abandoned = request.abandonment_time();
                let is_too_late = |end: &clock::Instant| {
                    *end + super::MIN_ATTEMPT_TIME >= abandoned && !request.response_started
                };
                match pause_end.filter(is_too_late) {
                    Some(end) => {
                        let retry_after = Some(end.since(now).max(super::MIN_RETRY_AFTER));
                        let reason = refusal::Reason::NoUpstream;
                        self.refuse(now, id, reason, retry_after, effects);
                    }
                    None => self.enqueue(now, id, key, effects),
                }
            }
            unavailable => self.wait_for_placement(now, id, key, unavailable, effects),
        }
    }

    /// Returns whether the response to a new request that is no stream would come after its time limit, where the load is
    /// measured by work. In an overload, such requests would use slots that others could use.
    fn would_end_late(
        &self,
        now: clock::Instant,
        request: &pending::Pending,
        upstream: &name::Name,
    ) -> bool {
        let service = request.admitted_service.as_ref();
        let is_by_work =
            service.is_some_and(|service| service.balancing == config::Balancing::Work);
        let is_new = request.attempt == 0 && request.route.kind != config::Kind::Streaming;
        let entry = self
            .upstreams
            .get(upstream)
            .filter(|_| is_by_work && is_new);
        let latency = entry.and_then(upstream::Upstream::mean_latency);
        latency.is_some_and(|seconds| {
            now + time::Duration::from_secs_f64(seconds) > request.limit(self.lateness.delay())
        })
    }

    /// Charges the next attempt of a request to the retry budget, if that has yet to be done. Returns whether it may be
    /// sent.
    fn charge_retry(&mut self, now: clock::Instant, id: event::Id) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        let budget = self.budgets.get_mut(&request.service);
        if request.awaits_budget && budget.is_some_and(|budget| budget.take(now)) {
            request.awaits_budget = false;
        }
        !request.awaits_budget
    }

    /// Returns the service of a request; as it was at the admission, if a later configuration does not have it.
    pub(super) fn service_of(
        &self,
        request: &pending::Pending,
    ) -> Option<sync::Arc<config::Service>> {
        let config = self.config.as_ref();
        let current = config.and_then(|config| config.service(&request.service));
        current.or(request.admitted_service.as_ref()).cloned()
    }

    /// Queues a request until a slot is free. Refuses it when the queue is so long that its caller would be gone first.
    pub(super) fn enqueue(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        key: super::WaitingKey,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.is_unplaced = false;
        if request.attempt > 0 || self.waiting.contains(&key) {
            self.waiting.insert(key);
            return;
        }
        let queue = (request.service.clone(), request.model.clone());
        if request.rank.is_some() {
            if !self.refuse_crowded_out(now, id, &key, &queue, effects) {
                self.queue(now, key, &queue, effects);
            }
            return;
        }
        let abandoned = request.abandonment_time();
        let ahead = if request.is_take_up() {
            self.count_ahead(&key, &queue)
        } else {
            self.queue_lengths.get(&queue).copied().unwrap_or(0)
        };
        let rate = self.send_rates.rate(now, &queue).max(MIN_SEND_RATE);
        let wait = time::Duration::from_secs_f64(f64::from(ahead) / rate);
        if self.is_wait_known(now, id, &queue) && now + wait > abandoned {
            // The queue has drained by then; a caller who returns earlier finds it as long as now.
            let retry_after = Some(wait.clamp(super::MIN_RETRY_AFTER, MAX_RETRY_AFTER));
            return self.refuse(now, id, refusal::Reason::NoUpstream, retry_after, effects);
        }
        self.queue(now, key, &queue, effects);
    }

    /// Adds a request to the waiting ones, and requests a report where the coordinator divides what it waits for.
    fn queue(
        &mut self,
        now: clock::Instant,
        key: super::WaitingKey,
        queue: &super::QueueKey,
        effects: &mut Vec<effect::Effect>,
    ) {
        let needs_model = queue.1.is_some();
        let is_limited = self
            .upstreams
            .values()
            .any(|entry| entry.limits_requests(now) && entry.registration.service == queue.0);
        // The coordinator divides the slots of engines, and the requests under a limit, among the hosts that report
        // waiting requests.
        if self.waiting.insert(key) && (needs_model || is_limited) {
            effects.push(effect::Effect::Report);
        }
    }

    /// Returns how many requests wait in `queue` before the one with `key`.
    pub(super) fn count_ahead(&self, key: &super::WaitingKey, queue: &super::QueueKey) -> u32 {
        let before = self.waiting.range(..key).take(MAX_SCANNED_REQUESTS);
        let is_ahead = |(_, id): &&super::WaitingKey| {
            let request = self.requests.get(id);
            request.is_some_and(|other| (&other.service, &other.model) == (&queue.0, &queue.1))
        };
        before.filter(is_ahead).map(|_| 1).sum()
    }

    /// Returns whether the rate of a queue tells how long a request will wait in it. A take-up is not refused because of the
    /// rate of a queue that has just begun, as all have after the host has started: new requests can be sent elsewhere or
    /// later, while a stream that is refused may be lost.
    pub(super) fn is_wait_known(
        &self,
        now: clock::Instant,
        id: event::Id,
        queue: &super::QueueKey,
    ) -> bool {
        let request = self.requests.get(&id);
        let is_take_up = request.is_some_and(pending::Pending::is_take_up);
        !is_take_up || self.send_rates.is_settled(now, queue)
    }

    /// Queues a request whose model or adapter no usable upstream holds, or refuses it when it cannot be loaded in time. A
    /// caller who has a part of the response waits as long as upstreams are there that may go on with it; one who has no
    /// response yet waits for upstreams that are ejected.
    fn wait_for_placement(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        key: super::WaitingKey,
        selection: selection::Selection,
        effects: &mut Vec<effect::Effect>,
    ) {
        if self.is_version_gone(now, id) {
            let retry_after = Some(super::MIN_RETRY_AFTER);
            return self.refuse(now, id, refusal::Reason::NoUpstream, retry_after, effects);
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.is_unplaced = true;
        let is_silent = matches!(selection, selection::Selection::Silent);
        let is_missing = matches!(selection, selection::Selection::Unplaced);
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let model = request.model.as_ref().filter(|_| !is_silent);
        let ready_in = model.and_then(|model| self.time_until_ready(now, model));
        let is_too_late = match ready_in {
            Some(ready_in) => {
                now + ready_in + super::MIN_ATTEMPT_TIME >= request.abandonment_time()
            }
            None => now.since(request.arrived_at) >= self.max_unplaced_wait(request),
        };
        let may_wait =
            request.response_started || request.is_take_up() && !(is_missing && ready_in.is_some());
        if is_too_late && !may_wait && request.rank.is_some() {
            let wait = ready_in.unwrap_or(UNPLACED_RETRY);
            return self.refuse_unplaced(now, id, wait, effects);
        }
        if is_too_late && !may_wait {
            let retry_after = Some(ready_in.unwrap_or(UNPLACED_RETRY));
            return self.refuse(now, id, refusal::Reason::NoUpstream, retry_after, effects);
        }
        if self.waiting.insert(key) && model.is_some() {
            effects.push(effect::Effect::Report);
        }
    }

    /// Returns the time until an upstream will hold `model`; none when the coordinator has not announced it.
    pub(super) fn time_until_ready(
        &self,
        now: clock::Instant,
        model: &name::Name,
    ) -> Option<time::Duration> {
        let (received, view) = self.view.as_ref()?;
        let age = now.since(*received);
        if age > super::MAX_VIEW_AGE {
            return None;
        }
        let (_, millis) = view.ready_in_ms.iter().find(|(name, _)| name == model)?;
        Some(time::Duration::from_millis(*millis).saturating_sub(age))
    }

    /// Sends the next attempt of a request to `upstream`.
    pub(super) fn send(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        upstream: &name::Name,
        effects: &mut Vec<effect::Effect>,
    ) {
        let latest_departure = self.latest_departure(now, upstream);
        let forecast = self.forecast(now, id, upstream);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let slack = self.options.retry_slack / self.host_count.max(1) as u64;
        let budget = self
            .budgets
            .entry(request.service.clone())
            .or_insert_with(|| retry::Budget::new(self.options.retry_percent, slack));
        budget.set_minimum(slack);
        if request.attempt == 0 {
            budget.record_request(now);
        }
        request.first_sent_at.get_or_insert(now);
        request.expected_first = forecast.map(tracking::Forecast::first_event);
        request.attempt += 1;
        request.sent_attempts += 1;
        let was_tried = request.history.includes(upstream);
        request.history.record_send(request.attempt, entry);
        request.phase = pending::Phase::Sent {
            attempt: request.attempt,
            upstream: upstream.clone(),
            sent: now,
            // The departure of an attempt beside another one is reported.
            departed: request.standbys.is_empty().then_some(now),
            last_progress: now,
            is_connecting: false,
            head_received: false,
            event_received: false,
            first_byte_received: false,
            life: origin::Life {
                origin: entry.registration.origin(),
                other: None,
            },
        };
        entry.record_send(now);
        self.contention.record_send(now, request, upstream);
        let config = self.config.as_ref().map_or(0, config::Config::version);
        let queue = (request.service.clone(), request.model.clone());
        self.send_rates.add(now, &queue, 1.0);
        self.dispatches += 1;
        request.upstream_limit = request.response_limit(self.lateness.delay());
        let remaining = request.upstream_limit.since(now);
        let dispatch = command::Dispatch {
            attempt: request.attempt,
            upstream: upstream.clone(),
            started: entry.registration.started,
            was_tried,
            address: entry.registration.address,
            workspace: request.workspace.clone(),
            priority: request.priority.min(9),
            remaining,
            decided: now,
            latest_departure,
            response_timeout: remaining,
            keeps_previous: !request.standbys.is_empty(),
            repeatable: request.may_repeat(),
            last_event: request.last_event,
        };
        let decision = timeline::Decision::new("dispatched")
            .with_request(request.request_id.as_str())
            .with_subject(upstream.clone())
            .with("attempt", request.attempt)
            .with_some("workspace", request.workspace.as_ref())
            .with("tokens", request.cost)
            .with_some("model", request.model.as_ref())
            .with_some("adapter", request.adapter.as_ref())
            .with_some("version", entry.registration.version.as_ref())
            .with("zone", &entry.registration.zone)
            .with("own_load", entry.own_requests)
            .with("other_load", entry.other_requests)
            .with_some(
                "load_age_ms",
                entry.view_age(now).map(timeline::Value::millis),
            )
            .with(
                "waited_ms",
                timeline::Value::millis(now.since(request.arrived_at)),
            )
            .with("remaining_ms", timeline::Value::millis(remaining))
            .with("config", config);
        let decision = match forecast {
            Some(forecast) => forecast.log(decision),
            None => decision,
        };
        effects.push(super::record(decision));
        effects.push(effect::Effect::Command(
            id,
            command::Command::Send(Box::new(dispatch)),
        ));
    }

    /// Sends waiting requests to upstreams with free slots, in queue order.
    pub(super) fn dispatch_waiting(
        &mut self,
        now: clock::Instant,
        effects: &mut Vec<effect::Effect>,
    ) {
        let waiting = self.waiting_in_order();
        self.queue_lengths.clear();
        for id in &waiting {
            if let Some(request) = self.requests.get(id) {
                let queue = (request.service.clone(), request.model.clone());
                *self.queue_lengths.entry(queue).or_default() += 1;
            }
        }
        self.record_urgent_waiting(&waiting);
        let mut unserved = collections::HashSet::new();
        for id in waiting {
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            // When one request finds no upstream, later ones with the same needs find none either.
            let needs = (
                request.service.clone(),
                request.model.clone(),
                request.adapter.clone(),
                request.stream.pin.clone(),
                self.yields(now, request),
            );
            if request.history.is_empty() && unserved.contains(&needs) {
                continue;
            }
            self.dispatch_or_queue(now, id, effects);
            // What keeps one request from the upstreams that it was sent to does not concern others.
            let finds_none = |request: &pending::Pending| {
                request.is_waiting() && !request.awaits_budget && request.history.is_empty()
            };
            if self.requests.get(&id).is_some_and(finds_none) {
                unserved.insert(needs);
            }
        }
    }

    /// Returns the first waiting requests of each queue, in order.
    fn waiting_in_order(&self) -> Vec<event::Id> {
        let mut counts = collections::HashMap::<_, usize>::new();
        let is_first = |id: &event::Id| {
            let Some(request) = self.requests.get(id) else {
                return false;
            };
            let count = counts
                .entry((&request.service, &request.model))
                .or_default();
            *count += 1;
            *count <= MAX_SCANNED_REQUESTS
        };
        let waiting = self.waiting.iter().map(|(_, id)| *id);
        waiting.filter(is_first).collect()
    }

    /// Refuses waiting requests that would be sent only after their callers have abandoned them.
    pub(super) fn refuse_unservable(
        &mut self,
        now: clock::Instant,
        effects: &mut Vec<effect::Effect>,
    ) {
        let mut positions = collections::HashMap::<super::QueueKey, u32>::new();
        let mut unservable = Vec::new();
        let mut contending = Vec::new();
        for id in self.waiting_in_order() {
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            if request.is_unplaced || request.attempt > 0 {
                continue;
            }
            if request.rank.is_some() {
                contending.push(id);
                continue;
            }
            let queue = (request.service.clone(), request.model.clone());
            let position = positions.entry(queue.clone()).or_default();
            *position += 1;
            let rate = self.send_rates.rate(now, &queue).max(MIN_SEND_RATE);
            let wait = time::Duration::from_secs_f64(f64::from(*position) / rate);
            if self.is_wait_known(now, id, &queue) && now + wait > request.abandonment_time() {
                *position -= 1;
                unservable.push((id, wait));
            }
        }
        for (id, wait) in unservable {
            let retry_after = Some(wait.clamp(super::MIN_RETRY_AFTER, MAX_RETRY_AFTER));
            self.refuse(now, id, refusal::Reason::NoUpstream, retry_after, effects);
        }
        self.refuse_contending(now, &contending, effects);
    }
}
