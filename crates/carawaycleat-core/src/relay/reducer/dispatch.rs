//! The way of a request to an upstream, and its wait for one.

use std::collections;
use std::time;

use crate::clock;
use crate::name;
use crate::relay::command;
use crate::relay::config;
use crate::relay::effect;
use crate::relay::event;
use crate::relay::pending;
use crate::relay::pick;
use crate::relay::refusal;
use crate::retry;
use crate::timeline;

const MAX_RETRY_AFTER: time::Duration = time::Duration::from_millis(4_000);

/// The most waiting requests that are looked at in one step.
const MAX_SCAN: usize = 512;

/// The rate at which requests of a line are sent when none has been sent lately, in requests a second.
const MIN_SEND_RATE: f64 = 1.0;

impl super::Reducer {
    /// Sends a request to an upstream, or lets it wait for one.
    pub(super) fn seek(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let key = (request.urgency(), id);
        let service = self
            .config
            .as_ref()
            .and_then(|config| config.service(&request.service));
        let Some(service) = service else {
            return self.refuse(now, id, refusal::Reason::NoUpstream, None, effects);
        };
        if request.keyed && !self.is_current(now, self.options.max_config_age) {
            return self.refuse(now, id, refusal::Reason::ConfigurationStale, None, effects);
        }
        let context = self.context(now, service);
        match context.pick(&self.table, request) {
            pick::Choice::Upstream(upstream) => {
                self.waiting.remove(&key);
                self.send(now, id, &upstream, effects);
            }
            pick::Choice::Full => self.queue(now, id, key, effects),
            pick::Choice::Unplaced => self.wait_for_placement(now, id, key, effects),
        }
    }

    /// Lets a request wait for room, unless those that wait already leave it no chance.
    pub(super) fn queue(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        key: super::Key,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.unplaced = false;
        let is_divided = request.model.is_some();
        if request.attempt > 0 || self.waiting.contains(&key) {
            self.waiting.insert(key);
            return;
        }
        let line = (request.service.clone(), request.model.clone());
        let ahead = self.lines.get(&line).copied().unwrap_or(0);
        let rate = self.sends.rate(now, &line).max(MIN_SEND_RATE);
        let wait = time::Duration::from_secs_f64(ahead as f64 / rate);
        if now + wait > request.abandoned() {
            // Those that wait now have been served by then. An earlier return finds the same queue.
            let retry = Some(wait.clamp(super::MIN_RETRY_AFTER, MAX_RETRY_AFTER));
            return self.refuse(now, id, refusal::Reason::NoUpstream, retry, effects);
        }
        // The coordinator divides the places of engines among the hosts that have requests waiting.
        if self.waiting.insert(key) && is_divided {
            effects.push(effect::Effect::Report);
        }
    }

    /// Lets a request wait for a model that no upstream holds, unless it cannot be loaded in time.
    pub(super) fn wait_for_placement(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        key: super::Key,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.unplaced = true;
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let waited = now.since(request.arrived);
        let expected = request
            .model
            .as_ref()
            .and_then(|model| self.expected(now, model));
        let hopeless = match expected {
            Some(expected) => now + expected + super::MIN_REMAINING >= request.abandoned(),
            None => waited >= self.options.max_unplaced_wait,
        };
        if hopeless {
            let retry = expected.unwrap_or(time::Duration::from_secs(1));
            return self.refuse(now, id, refusal::Reason::NoUpstream, Some(retry), effects);
        }
        if self.waiting.insert(key) && request.model.is_some() {
            effects.push(effect::Effect::Report);
        }
    }

    /// Returns the time until an upstream will hold `model`, where the coordinator knows it.
    pub(super) fn expected(
        &self,
        now: clock::Instant,
        model: &name::Name,
    ) -> Option<time::Duration> {
        let (at, view) = self.view.as_ref()?;
        let age = now.since(*at);
        if age > super::VIEW_AGE {
            return None;
        }
        let (_, millis) = view.ready_in_ms.iter().find(|(name, _)| name == model)?;
        Some(time::Duration::from_millis(*millis).saturating_sub(age))
    }

    pub(super) fn send(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        upstream: &name::Name,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(entry) = self.table.get_mut(upstream) else {
            return;
        };
        let slack = self.options.retry_slack / self.hosts.max(1) as u64;
        let budget = self
            .budgets
            .entry(request.service.clone())
            .or_insert_with(|| retry::Budget::new(self.options.retry_percent, slack));
        budget.set_minimum(slack);
        if request.attempt == 0 {
            budget.request(now);
        }
        request.sent.get_or_insert(now);
        request.attempt += 1;
        request.arrivals += 1;
        request.tried.push(upstream.clone());
        request.place = pending::Place::At {
            upstream: upstream.clone(),
            sent: now,
            progress: now,
            answered: false,
        };
        entry.sent();
        let config = self.config.as_ref().map_or(0, config::Config::version);
        let line = (request.service.clone(), request.model.clone());
        self.sends.add(now, &line, 1.0);
        self.dispatches += 1;
        let remaining = request.due.since(now);
        let dispatch = command::Dispatch {
            attempt: request.attempt,
            upstream: upstream.clone(),
            address: entry.registration.address,
            workspace: request.workspace.clone(),
            priority: request.priority.min(9),
            remaining,
            response_timeout: remaining,
            repeatable: request.may_repeat(),
            last_event: request.after,
        };
        let decision = timeline::Decision::new("dispatched")
            .about(request.name.as_str())
            .at(upstream.clone())
            .with("attempt", request.attempt)
            .with_some("workspace", request.workspace.as_ref())
            .with("tokens", request.cost)
            .with_some("model", request.model.as_ref())
            .with_some("adapter", request.adapter.as_ref())
            .with("zone", &entry.registration.zone)
            .with("own_load", entry.running)
            .with("other_load", entry.others)
            .with_some(
                "load_age_ms",
                entry.placed_age(now).map(timeline::Value::millis),
            )
            .with(
                "waited_ms",
                timeline::Value::millis(now.since(request.arrived)),
            )
            .with("config", config);
        effects.push(super::record(decision));
        effects.push(effect::Effect::Command(
            id,
            command::Command::Send(Box::new(dispatch)),
        ));
    }

    /// Sends waiting requests to the upstreams that have room.
    pub(super) fn serve_waiting(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        let turns = self.turns();
        self.lines.clear();
        for id in &turns {
            if let Some(request) = self.requests.get(id) {
                let line = (request.service.clone(), request.model.clone());
                *self.lines.entry(line).or_default() += 1;
            }
        }
        let mut unserved = collections::HashSet::new();
        for id in turns {
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            // What one request does not find, later ones that need the same do not find either.
            let need = (
                request.service.clone(),
                request.model.clone(),
                request.adapter.clone(),
            );
            if request.tried.is_empty() && unserved.contains(&need) {
                continue;
            }
            self.seek(now, id, effects);
            if self
                .requests
                .get(&id)
                .is_some_and(pending::Pending::is_waiting)
            {
                unserved.insert(need);
            }
        }
    }

    /// Returns the waiting requests in the order of their turns.
    fn turns(&self) -> Vec<event::Id> {
        let waiting = self.waiting.iter().take(MAX_SCAN);
        waiting.map(|(_, id)| *id).collect()
    }

    /// Refuses waiting requests whose turn comes after their callers have left.
    pub(super) fn refuse_hopeless(
        &mut self,
        now: clock::Instant,
        effects: &mut Vec<effect::Effect>,
    ) {
        let mut ahead = collections::HashMap::<super::Line, u32>::new();
        let mut hopeless = Vec::new();
        for id in self.turns() {
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            if request.unplaced || request.attempt > 0 {
                continue;
            }
            let line = (request.service.clone(), request.model.clone());
            let position = ahead.entry(line.clone()).or_default();
            *position += 1;
            let sends = self.sends.rate(now, &line).max(MIN_SEND_RATE);
            let wait = time::Duration::from_secs_f64(f64::from(*position) / sends);
            if now + wait > request.abandoned() {
                *position -= 1;
                hopeless.push((id, wait));
            }
        }
        for (id, wait) in hopeless {
            let retry = Some(wait.clamp(super::MIN_RETRY_AFTER, MAX_RETRY_AFTER));
            self.refuse(now, id, refusal::Reason::NoUpstream, retry, effects);
        }
    }
}
