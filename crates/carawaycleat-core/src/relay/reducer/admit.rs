//! Admission: route, key and tokens of a request that arrives.

use std::time;

use crate::clock;
use crate::name;
use crate::relay::allowance;
use crate::relay::command;
use crate::relay::effect;
use crate::relay::event;
use crate::relay::pending;
use crate::relay::refusal;
use crate::relay::request;
use crate::timeline;

/// The time for which the coordinator is not asked again after it had no tokens.
const DENIAL_TIME: time::Duration = time::Duration::from_millis(60);

/// The time for which a host goes by the part that the coordinator gave it for the time without one. Later it uses an even
/// part, as hosts do that have never heard a coordinator.
const MAX_ALONE_AGE: time::Duration = time::Duration::from_millis(12_000);

/// The prompt tokens that take an engine as long as one token of an answer.
const PROMPT_TOKENS: u64 = 3;

impl super::Reducer {
    pub(super) fn arrive(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        arrival: request::Request,
        effects: &mut Vec<effect::Effect>,
    ) {
        let name = arrival.request_id.clone();
        let workspace = self.workspace_of(&arrival);
        let tokens = arrival.tokens.unwrap_or_default();
        match self.admit(now, arrival) {
            Ok(request) => {
                let has_tokens = request.has_tokens;
                self.requests.insert(id, request);
                if has_tokens {
                    self.seek(now, id, effects);
                } else {
                    self.borrowers.push_back(super::Borrower {
                        request: id,
                        since: now,
                        report: None,
                    });
                    effects.push(effect::Effect::Report);
                }
            }
            Err(refusal) => {
                let decision = timeline::Decision::new("refused")
                    .about(name)
                    .with("reason", refusal.reason.as_str())
                    .with("status", refusal.status())
                    .with_some("workspace", workspace)
                    .with("tokens", tokens.0 + tokens.1)
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

    /// Returns the workspace whose key came with a request.
    pub(super) fn workspace_of(&self, arrival: &request::Request) -> Option<name::Name> {
        let request::Credential::Key(digest) = &arrival.credential else {
            return None;
        };
        let workspace = self.config.as_ref()?.workspace_of(digest)?;
        Some(workspace.name.clone())
    }

    pub(super) fn admit(
        &mut self,
        now: clock::Instant,
        arrival: request::Request,
    ) -> Result<pending::Pending, refusal::Refusal> {
        let stale = super::refuse(
            refusal::Reason::ConfigurationStale,
            Some(super::OTHER_HOST_RETRY),
        );
        let Some(config) = &self.config else {
            return Err(stale);
        };
        let can_deny = self.is_current(now, self.options.max_denial_age);
        let deny = |reason| {
            if can_deny {
                super::refuse(reason, None)
            } else {
                stale
            }
        };
        let digest = match &arrival.credential {
            request::Credential::Ambiguous => {
                return Err(super::refuse(refusal::Reason::AmbiguousKey, None));
            }
            request::Credential::Absent => None,
            request::Credential::Key(digest) => Some(digest),
        };
        let route = config
            .route(&arrival.host, &arrival.path)
            .ok_or_else(|| deny(refusal::Reason::UnknownRoute))?;
        let keyed = config.needs_keys() && !route.public;
        if keyed && !self.is_current(now, self.options.max_config_age) {
            return Err(stale);
        }
        let workspace = digest.and_then(|digest| config.workspace_of(digest));
        if keyed && workspace.is_none() {
            return Err(deny(refusal::Reason::UnknownKey));
        }
        let service = route
            .select_service(arrival.seed)
            .ok_or_else(|| deny(refusal::Reason::UnknownRoute))?;
        let patience = arrival.timeout.unwrap_or(route.timeout);
        let mut cost = 0;
        let mut has_tokens = true;
        if let Some(workspace) = workspace {
            cost = arrival.cost(workspace.default_cost);
            *self.usage.entry(workspace.name.clone()).or_default() += cost;
            let share = self.share(now, &workspace.name);
            let allowance = self
                .allowances
                .entry(workspace.name.clone())
                .or_insert_with(|| {
                    allowance::Allowance::new(now, workspace.rate, workspace.burst, share)
                });
            allowance.update(now, workspace.rate, workspace.burst, share);
            if let Err(wait) = allowance.take(now, cost) {
                let denied = self.denied.get(&workspace.name);
                let denied = denied.is_some_and(|at| now.since(*at) < DENIAL_TIME);
                if !self.has_view(now) || denied {
                    return Err(super::refuse(refusal::Reason::RateLimited, Some(wait)));
                }
                has_tokens = false;
            }
        }
        if let Some(model) = &arrival.model {
            let key = (service.clone(), model.clone(), arrival.adapter.clone());
            let (prompt, output) = arrival.tokens.unwrap_or((0, 1));
            *self.asks.entry(key).or_default() += output + prompt / PROMPT_TOKENS;
        }
        Ok(pending::Pending {
            name: arrival.request_id,
            service: service.clone(),
            model: arrival.model,
            adapter: arrival.adapter,
            workspace: workspace.map(|workspace| workspace.name.clone()),
            keyed,
            priority: workspace
                .and_then(|workspace| workspace.priority)
                .unwrap_or(route.priority),
            cost,
            has_tokens,
            arrived: now,
            queue: self.options.policy.queue,
            due: now + route.timeout.min(patience),
            patience: now + patience,
            unplaced: false,
            sent: None,
            answered: None,
            attempt: 0,
            arrivals: 0,
            runs: 0,
            tried: Vec::new(),
            rejected: 0,
            place: pending::Place::Waiting,
            delivered: false,
            after: None,
            route: route.clone(),
        })
    }

    /// Returns this host's part of a workspace's allowance.
    pub(super) fn share(&self, now: clock::Instant, workspace: &name::Name) -> f64 {
        self.share_at(self.view_age(now), workspace)
    }

    /// Returns this host's part of a workspace's allowance without a coordinator.
    pub(super) fn share_alone(&self, now: clock::Instant, workspace: &name::Name) -> f64 {
        let age = self.view_age(now).map(|age| age.max(super::ALONE_AGE));
        self.share_at(age, workspace)
    }

    fn share_at(&self, view_age: Option<time::Duration>, workspace: &name::Name) -> f64 {
        let shares = self.view.iter().flat_map(|(_, view)| &view.shares);
        let share = shares
            .into_iter()
            .find(|share| share.workspace == *workspace);
        match (view_age, share) {
            (Some(age), Some(share)) if age < super::ALONE_AGE => share.with_coordinator,
            (Some(age), Some(share)) if age < MAX_ALONE_AGE => share.without_coordinator,
            _ => 1.0 / self.hosts.max(1) as f64,
        }
    }

    fn view_age(&self, now: clock::Instant) -> Option<time::Duration> {
        self.view.as_ref().map(|(at, _)| now.since(*at))
    }
}
