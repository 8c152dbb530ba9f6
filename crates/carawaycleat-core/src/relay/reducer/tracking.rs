//! What the host learns about the work of requests and upstreams under [`config::Balancing::Work`].

use std::time;

use crate::clock;
use crate::name;
use crate::relay::config;
use crate::relay::event;
use crate::relay::pending;
use crate::relay::view;
use crate::timeline;
use crate::work;

/// What was expected of an attempt when it was sent, for the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct Forecast {
    first_event_ms: f64,
    tokens: f64,
    work_ms: f64,
    upstream_ms: f64,
}

impl Forecast {
    /// Returns the time to the first event.
    pub(super) fn first_event(self) -> time::Duration {
        time::Duration::from_millis(self.first_event_ms as u64)
    }

    /// Adds the fields to a log line.
    pub(super) fn log(self, decision: timeline::Decision) -> timeline::Decision {
        decision
            .with("expected_first_ms", self.first_event_ms as u64)
            .with("expected_tokens", self.tokens as u64)
            .with("expected_work_ms", self.work_ms as u64)
            .with("upstream_work_ms", self.upstream_ms as u64)
    }
}

/// Returns what the speed of an upstream with a request depends on.
fn key<'a>(request: &'a pending::Pending, upstream: &'a name::Name) -> work::Key<'a> {
    work::Key {
        service: &request.service,
        model: request.model.as_ref(),
        upstream,
    }
}

impl super::Reducer {
    /// Adds the next attempt of a request to the remaining work of `upstream`, and returns what is expected of it; none under
    /// [`config::Balancing::Requests`].
    pub(super) fn forecast(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        upstream: &name::Name,
    ) -> Option<Forecast> {
        let request = self.requests.get(&id)?;
        let service = self.service_of(request)?;
        if service.balancing != config::Balancing::Work {
            return None;
        }
        let entry = self.upstreams.get(upstream)?;
        let knowledge = self.knowledge();
        let job = knowledge.job(now, request);
        let (load, expected) = knowledge.expect(now, &job, entry);
        let tokens_per_event = self.tracker.estimator.tokens_per_event();
        let attempt = work::Attempt {
            sent: now,
            expected,
            prompt_tokens: job.prompt_tokens,
            progress: None,
            is_stream: request.route.kind == config::Kind::Streaming,
        };
        let number = request.attempt.saturating_add(1);
        self.tracker.ledger.add(upstream, (id, number), attempt);
        Some(Forecast {
            first_event_ms: expected.first_event_ms(),
            tokens: expected.events * tokens_per_event,
            work_ms: expected.work_ms(),
            upstream_ms: load.work_ms,
        })
    }

    /// Records that events of an attempt have arrived.
    pub(super) fn track_progress(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        attempt: u32,
        last_event: Option<u64>,
    ) {
        let (Some(request), Some(last)) = (self.requests.get(&id), last_event) else {
            return;
        };
        let phases = std::iter::once(&request.phase).chain(&request.standbys);
        let upstream = phases.into_iter().find_map(|phase| match phase {
            pending::Phase::Sent {
                attempt: number,
                upstream,
                ..
            } if *number == attempt => Some(upstream),
            _ => None,
        });
        if let Some(upstream) = upstream {
            let key = key(request, upstream);
            let was_blocked = request.is_caller_blocked;
            self.tracker
                .record_progress(now, &key, (id, attempt), last, was_blocked);
        }
    }

    /// Learns from the complete response to the attempt in progress, which is no stream.
    pub(super) fn track_answer(&mut self, now: clock::Instant, id: event::Id) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if let pending::Phase::Sent {
            attempt, upstream, ..
        } = &request.phase
        {
            let key = key(request, upstream);
            self.tracker.record_answer(now, &key, (id, *attempt));
        }
    }

    /// Learns from a stream that is complete. One that began elsewhere does not show how long it was.
    pub(super) fn track_stream_end(&mut self, now: clock::Instant, id: event::Id) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let service = self.service_of(request);
        let is_by_work =
            service.is_some_and(|service| service.balancing == config::Balancing::Work);
        let Some(last) = request.last_event.filter(|_| is_by_work) else {
            return;
        };
        if !request.is_take_up() {
            let max_tokens = request.tokens.map(|(_, max)| max).filter(|max| *max > 0);
            let events = last.saturating_add(1);
            self.tracker
                .estimator
                .record(now, &request.subject(), max_tokens, events);
        }
    }

    /// Returns whether a service of the configuration is balanced by work.
    pub(super) fn balances_by_work(&self) -> bool {
        let mut services = self.config.iter().flat_map(config::Config::services);
        services.any(|(_, service)| service.balancing == config::Balancing::Work)
    }

    /// Records the work of the other hosts at an upstream as of the coordinator's view.
    pub(super) fn track_view(&mut self, now: clock::Instant, view: &view::EngineView) {
        let load = work::Load {
            prompt_ms: f64::from(view.other_prompt_ms),
            work_ms: f64::from(view.other_work_ms),
            requests: f64::from(view.other_requests),
        };
        self.tracker.ledger.record_others(now, &view.upstream, load);
    }

    /// Drops what is known of the work at upstreams that have left.
    pub(super) fn forget_work(&mut self) {
        let upstreams = &self.upstreams;
        self.tracker
            .ledger
            .retain(|upstream| upstreams.contains_key(upstream));
    }

    /// Returns the remaining work of this host by upstream, for the report.
    pub(super) fn remaining_work(&self, now: clock::Instant) -> Vec<(name::Name, u32, u32)> {
        let loads = self.tracker.ledger.own_loads(now);
        let rounded = |ms: f64| ms.round() as u32;
        loads
            .map(|(upstream, load)| {
                let (prompt_ms, work_ms) = (rounded(load.prompt_ms), rounded(load.work_ms));
                (upstream.clone(), prompt_ms, work_ms)
            })
            .collect()
    }

    /// Returns the remaining work of this host over all upstreams, in milliseconds.
    #[must_use]
    pub fn own_work_ms(&self, now: clock::Instant) -> u64 {
        let loads = self.tracker.ledger.own_loads(now);
        loads.map(|(_, load)| load.work_ms).sum::<f64>() as u64
    }
}
