//! Admission of requests: checks of the route, the key and the tokens.

use std::time;

use crate::clock;
use crate::name;
use crate::relay::allowance;
use crate::relay::command;
use crate::relay::config;
use crate::relay::effect;
use crate::relay::event;
use crate::relay::history;
use crate::relay::origin;
use crate::relay::pending;
use crate::relay::refusal;
use crate::relay::request;
use crate::timeline;

/// The time for which no tokens of a workspace are requested from the coordinator after it denied some.
const DENIAL_BACKOFF: time::Duration = time::Duration::from_millis(60);

/// The age of the coordinator's view up to which a host uses the share that it was given for the time without a
/// coordinator. Later it uses an equal share, as do hosts that have never received a view.
const MAX_SHARE_AGE: time::Duration = time::Duration::from_millis(12_000);

/// The number of prompt tokens that an engine processes in the time of one output token.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u64 = 3;

impl super::Reducer {
    /// Admits a request and dispatches it, requests tokens for it from the coordinator, or refuses it.
    pub(super) fn handle_arrival(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        request: request::Request,
        effects: &mut Vec<effect::Effect>,
    ) {
        let request_id = request.request_id.clone();
        let workspace = self.workspace_of(&request);
        let tokens = request.tokens.unwrap_or_default();
        match self.admit(now, request) {
            Ok(request) => {
                let has_tokens = request.has_tokens;
                self.requests.insert(id, request);
                self.begin_contention(now, id);
                if self.refuse_unfinishable(now, id, effects) {
                    return;
                }
                if self.find_origin(now, id, effects).is_break() {
                    return;
                }
                if has_tokens {
                    self.dispatch_or_queue(now, id, effects);
                } else {
                    self.token_waiters.push_back(super::TokenWaiter {
                        request: id,
                        since: now,
                        report: None,
                    });
                    effects.push(effect::Effect::Report);
                }
            }
            Err(refusal) => {
                let decision = timeline::Decision::new("refused")
                    .with_request(request_id)
                    .with("reason", refusal.reason.as_str())
                    .with("status", refusal.status())
                    .with_some("workspace", workspace)
                    .with("tokens", tokens.0.saturating_add(tokens.1))
                    .with("config", self.config_version())
                    .with_some("config_age_ms", self.config_age_field(now));
                effects.push(super::record(decision));
                effects.push(effect::Effect::Command(
                    id,
                    command::Command::Refuse(refusal),
                ));
            }
        }
    }

    /// Returns the priority of a request, of which 0 is the most urgent; none if no route matches or the key is unknown.
    #[must_use]
    pub fn priority(&self, host: &str, path: &str, credential: &request::Credential) -> Option<u8> {
        let config = self.config.as_ref()?;
        let route = config.route(host, path)?;
        let workspace = match credential {
            request::Credential::Key(digest) => config.workspace_of(digest),
            request::Credential::Absent | request::Credential::Ambiguous => None,
        };
        if config.requires_keys() && !route.public && workspace.is_none() {
            return None;
        }
        let own = workspace.and_then(|workspace| workspace.priority);
        Some(own.unwrap_or(route.priority))
    }

    /// Returns the name of the workspace whose key the request carries.
    pub(super) fn workspace_of(&self, request: &request::Request) -> Option<name::Name> {
        let request::Credential::Key(digest) = &request.credential else {
            return None;
        };
        let workspace = self.config.as_ref()?.workspace_of(digest)?;
        Some(workspace.name.clone())
    }

    /// Checks the route, the key and the tokens of a request. When this host has too few tokens but has a
    /// coordinator, the request is admitted without them, and they are then requested from the coordinator.
    pub(super) fn admit(
        &mut self,
        now: clock::Instant,
        request: request::Request,
    ) -> Result<pending::Pending, refusal::Refusal> {
        let stale = super::refuse(
            refusal::Reason::ConfigurationStale,
            Some(super::OTHER_HOST_RETRY),
        );
        let Some(config) = &self.config else {
            return Err(stale);
        };
        // An unknown route or key may be new: only a recent configuration denies it for good.
        let can_deny = self.is_current(now, self.options.max_denial_age);
        let deny = |reason| {
            if can_deny {
                super::refuse(reason, None)
            } else {
                stale
            }
        };
        let digest = match &request.credential {
            request::Credential::Ambiguous => {
                return Err(super::refuse(refusal::Reason::AmbiguousKey, None));
            }
            request::Credential::Absent => None,
            request::Credential::Key(digest) => Some(digest),
        };
        let route = config
            .route(&request.host, &request.path)
            .ok_or_else(|| deny(refusal::Reason::UnknownRoute))?;
        let requires_key = config.requires_keys() && !route.public;
        if requires_key && !self.is_current(now, self.options.max_config_age) {
            return Err(stale);
        }
        let workspace = digest.and_then(|digest| config.workspace_of(digest));
        if requires_key && workspace.is_none() {
            return Err(deny(refusal::Reason::UnknownKey));
        }
        let service = route
            .select_service(request.seed)
            .ok_or_else(|| deny(refusal::Reason::UnknownRoute))?;
        let workspace_name = workspace.map(|workspace| workspace.name.clone());
        let fingerprint = request.fingerprint_in(workspace_name.as_ref());
        let end = self
            .quarantine
            .quarantined_until(now, &request.prompt, &fingerprint);
        if let Some(end) = end {
            return Err(super::refuse(
                refusal::Reason::Quarantined,
                Some(end.since(now)),
            ));
        }
        let waited_before = super::contention::waited_before(route, request.timeout);
        let timeout = request.timeout.unwrap_or(route.timeout);
        let mut cost = 0;
        let mut has_tokens = true;
        if let Some(workspace) = workspace {
            cost = request.cost(workspace.default_cost);
            let usage = self.token_usage.entry(workspace.name.clone()).or_default();
            *usage = usage.saturating_add(cost);
            self.contention.usage.record(now, &workspace.name, cost);
            let share = self.share(now, &workspace.name);
            let allowance = self
                .allowances
                .entry(workspace.name.clone())
                .or_insert_with(|| {
                    allowance::Allowance::new(now, workspace.rate, workspace.burst, share)
                });
            allowance.update(now, workspace.rate, workspace.burst, share);
            if let Err(retry_after) = allowance.take(now, cost) {
                let denial = self.denials.get(&workspace.name);
                let denied = denial.is_some_and(|at| now.since(*at) < DENIAL_BACKOFF);
                if !self.has_coordinator(now) || denied {
                    return Err(super::refuse(
                        refusal::Reason::RateLimited,
                        Some(retry_after),
                    ));
                }
                has_tokens = false;
            }
        }
        let (prompt, output) = request.tokens.unwrap_or((0, 1));
        let tokens = output.saturating_add(prompt / PROMPT_TOKENS_PER_OUTPUT_TOKEN);
        let pending = pending::Pending {
            request_id: request.request_id,
            service: service.clone(),
            admitted_service: config.service(service).cloned(),
            model: request.model,
            adapter: request.adapter,
            prompt: request.prompt,
            fingerprint,
            workspace: workspace_name,
            requires_key,
            priority: workspace
                .and_then(|workspace| workspace.priority)
                .unwrap_or(route.priority),
            tokens: request.tokens,
            cost,
            has_tokens,
            arrived_at: now,
            awaits_budget: false,
            queue: self.options.policy.queue,
            rank: None,
            waited_before,
            verdict: None,
            deadline: now + route.timeout.min(timeout),
            is_overdue: false,
            upstream_limit: now + route.timeout.min(timeout),
            caller_deadline: now + timeout,
            is_unplaced: false,
            first_sent_at: None,
            first_byte_at: None,
            expected_first: None,
            attempt: 0,
            sent_attempts: 0,
            possible_executions: 0,
            abandoned_attempts: 0,
            unsent_executions: 0,
            eventless_attempts: 0,
            history: history::History::default(),
            rejections: 0,
            phase: pending::Phase::Waiting,
            standbys: Vec::new(),
            response_started: false,
            is_caller_blocked: false,
            last_event: None,
            stream: origin::Stream::new(
                request
                    .resumption
                    .filter(|_| route.kind == config::Kind::Streaming),
            ),
            route: route.clone(),
        };
        if let Some(model) = &pending.model {
            let key = (service.clone(), model.clone(), pending.adapter.clone());
            let (demand, traffic) = self.demands.entry(key).or_default();
            *demand = demand.saturating_add(tokens);
            traffic.record_arrival(pending.priority, pending.abandonment_time().since(now));
        }
        Ok(pending)
    }

    /// Returns this host's share of a workspace's allowance, between 0 and 1.
    pub(super) fn share(&self, now: clock::Instant, workspace: &name::Name) -> f64 {
        self.share_at(self.view_age(now), workspace)
    }

    /// Returns the share that this host uses while it is without a coordinator.
    pub(super) fn share_without_coordinator(
        &self,
        now: clock::Instant,
        workspace: &name::Name,
    ) -> f64 {
        let age = self
            .view_age(now)
            .map(|age| age.max(super::MAX_COORDINATOR_SILENCE));
        self.share_at(age, workspace)
    }

    /// Returns the share for a view of this age; an equal share of all hosts when there is no recent one.
    fn share_at(&self, view_age: Option<time::Duration>, workspace: &name::Name) -> f64 {
        let shares = self.view.iter().flat_map(|(_, view)| &view.shares);
        let share = shares
            .into_iter()
            .find(|share| share.workspace == *workspace);
        match (view_age, share) {
            (Some(age), Some(share)) if age < super::MAX_COORDINATOR_SILENCE => {
                share.with_coordinator
            }
            (Some(age), Some(share)) if age < MAX_SHARE_AGE => share.without_coordinator,
            _ => 1.0 / self.host_count.max(1) as f64,
        }
    }

    /// Returns the time since the last view was received.
    fn view_age(&self, now: clock::Instant) -> Option<time::Duration> {
        self.view.as_ref().map(|(received, _)| now.since(*received))
    }
}
