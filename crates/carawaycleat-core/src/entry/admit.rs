use super::dispatch;
use super::pending;
use super::waitlist;
use crate::admission;
use crate::clock;
use crate::name;
use crate::outcome;
use crate::rate;
use crate::request;
use crate::resource;
use crate::stream;
use crate::timeline;

/// Result of a check that refuses the request on failure.
type Checked<T> = Result<T, super::Refusal>;

impl super::Reducer {
    /// Checks a new request and starts it, or refuses it.
    pub(super) fn arrive(&mut self, now: clock::Instant, request: super::Request) {
        let id = request.id;
        let checked = self.check(now, &request);
        let pending = match checked {
            Ok(pending) => pending,
            Err(refusal) => {
                let mut record =
                    super::Record::new(timeline::Kind::Refused).detail(refusal.reason.as_str());
                record.request = Some(id);
                record.model = request.model;
                self.record(record);
                return self.emit(super::Effect::Refuse(id, refusal));
            }
        };
        self.requests.insert(id, pending);
        self.record_request(timeline::Kind::Arrived, id, "");
        self.count_demand(id);
        self.acquire_tokens(now, id);
        self.dispatch_all(now);
    }

    /// Checks whether the caller may list the models.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the route does not exist, or if it requires a key and the request has none that is valid
    /// for it.
    pub fn authorize_listing(&self, now: clock::Instant, request: &super::Request) -> Checked<()> {
        let id = resource::Id::new(resource::Kind::Route, request.route.clone());
        match self.resource(&id) {
            Some(resource::Resource::Route(route)) if route.open => Ok(()),
            Some(resource::Resource::Route(route)) => {
                self.authorize(now, request, route).map(|_| ())
            }
            _ => Err(refuse(outcome::Reason::UnknownRoute, "no such route")),
        }
    }

    /// Counts the demand of an accepted request. Requests that name an unknown model or have no valid key are not
    /// counted, so that callers cannot fill the demand table.
    fn count_demand(&mut self, id: request::Id) {
        let Some(request) = self.requests.get(&id).map(|pending| &pending.request) else {
            return;
        };
        if let Some(model) = request.model.clone() {
            let (adapter, tokens) = (request.adapter.clone(), request.cost());
            self.emit(super::Effect::CountDemand {
                model,
                adapter,
                tokens,
            });
        }
    }

    /// Performs all checks that do not depend on the load.
    fn check(&self, now: clock::Instant, request: &super::Request) -> Checked<pending::Pending> {
        if self.is_stopping {
            return Err(refuse(
                outcome::Reason::ShuttingDown,
                "the host is shutting down",
            ));
        }
        let id = resource::Id::new(resource::Kind::Route, request.route.clone());
        let Some(resource::Resource::Route(route)) = self.resource(&id) else {
            return Err(refuse(outcome::Reason::UnknownRoute, "no such route"));
        };
        let grant = if route.open {
            None
        } else {
            Some(self.authorize(now, request, route)?)
        };
        let group = self.upstream_group(request, route)?;
        Ok(pending::Pending {
            target: route.target,
            group,
            grant,
            idempotent: route.is_idempotent(&request.method),
            stage: pending::Stage::Tokens,
            reservation: None,
            is_claimed: false,
            cursor: stream::Cursor::new(request.id),
            has_head: false,
            running: Vec::new(),
            attempts: 0,
            earlier_outcome: outcome::Outcome::NotRun,
            rejections: 0,
            failed_at: None,
            excluded: Vec::new(),
            request: request.clone(),
        })
    }

    fn authorize(
        &self,
        now: clock::Instant,
        request: &super::Request,
        route: &resource::Route,
    ) -> Checked<crate::key::Grant> {
        if !self.monitor.state(now).is_serving() {
            let message = "this host is isolated and cannot verify that the key is still valid";
            return Err(refuse(outcome::Reason::ConfigurationStale, message));
        }
        let Some(digest) = &request.key_digest else {
            return Err(refuse(outcome::Reason::MissingKey, "the route needs a key"));
        };
        let Some(grant) = self.keys.find(digest) else {
            return Err(refuse(outcome::Reason::UnknownKey, "the key is not valid"));
        };
        if !route.workspaces.is_empty() && !route.workspaces.contains(&grant.workspace) {
            let message = "the workspace may not use this route";
            return Err(refuse(outcome::Reason::ForbiddenRoute, message));
        }
        Ok(grant.clone())
    }

    /// Returns the upstream group that serves the request.
    fn upstream_group(
        &self,
        request: &super::Request,
        route: &resource::Route,
    ) -> Checked<name::Name> {
        let Some(model) = &request.model else {
            let missing = || {
                refuse(
                    outcome::Reason::NoUpstream,
                    "the route has no group of upstreams",
                )
            };
            return route.group.clone().ok_or_else(missing);
        };
        let id = resource::Id::new(resource::Kind::Model, model.clone());
        let Some(resource::Resource::Model(found)) = self.resource(&id) else {
            return Err(refuse(
                outcome::Reason::UnknownModel,
                format!("no model `{model}`"),
            ));
        };
        if let Some(adapter) = &request.adapter {
            let id = resource::Id::new(resource::Kind::Adapter, adapter.clone());
            match self.resource(&id) {
                Some(resource::Resource::Adapter(found)) if found.model == *model => {}
                _ => {
                    let message = format!("model `{model}` has no adapter `{adapter}`");
                    return Err(refuse(outcome::Reason::UnknownModel, message));
                }
            }
        }
        Ok(found.group.clone())
    }

    pub(super) fn resource(&self, id: &resource::Id) -> Option<&resource::Resource> {
        self.configuration
            .snapshot()
            .get(id)
            .map(|entry| &entry.resource)
    }

    /// Reserves the tokens of a request, puts it into the waitlist until they are available, or refuses it.
    fn acquire_tokens(&mut self, now: clock::Instant, id: request::Id) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let Some(workspace) = pending.workspace().cloned() else {
            return self.continue_admitted(now, id);
        };
        let tokens = pending.request.cost();
        let deadline = pending
            .request
            .deadline
            .min(now + self.options.max_token_wait);
        // First in, first out: otherwise small requests could starve a large one.
        let refusal = if self.waitlist.len(&workspace) > 0 {
            rate::Refusal::Limited(self.options.max_token_wait)
        } else {
            match self.reserve(now, id, &workspace, tokens) {
                Ok(()) => return self.continue_admitted(now, id),
                Err(refusal) => refusal,
            }
        };
        match refusal {
            rate::Refusal::Limited(_)
                if self.waitlist.len(&workspace) < self.options.max_token_waiters =>
            {
                self.waitlist.push(
                    workspace.clone(),
                    waitlist::Waiter {
                        id,
                        tokens,
                        deadline,
                    },
                );
                self.borrow(now, &workspace);
            }
            refusal => self.refuse_for_rate(now, id, &refusal),
        }
    }

    fn reserve(
        &mut self,
        now: clock::Instant,
        id: request::Id,
        workspace: &name::Name,
        tokens: u64,
    ) -> Result<(), rate::Refusal> {
        let reservation = self.ledger.reserve(now, workspace, tokens)?;
        self.count_tokens(workspace, super::Flow::Admitted, tokens);
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.reservation = Some(reservation);
        }
        Ok(())
    }

    fn refuse_for_rate(&mut self, now: clock::Instant, id: request::Id, refusal: &rate::Refusal) {
        let reason = match refusal {
            rate::Refusal::ExceedsBurst(_) => outcome::Reason::ExceedsBurst,
            _ => outcome::Reason::RateLimited,
        };
        let mut response = super::Refusal::not_run(reason, refusal.to_string());
        if let rate::Refusal::Limited(delay) = refusal {
            response = response.retry_after(*delay);
        }
        self.end_refused(now, id, response);
    }

    /// Admits waiting requests, in order, as far as tokens are available, and refuses those that waited for too long.
    pub(super) fn admit_waiting(&mut self, now: clock::Instant) {
        for workspace in self.waitlist.workspaces() {
            while let Some(first) = self.waitlist.first(&workspace) {
                if self
                    .reserve(now, first.id, &workspace, first.tokens)
                    .is_err()
                {
                    self.borrow(now, &workspace);
                    break;
                }
                self.waitlist.remove(&workspace, first.id);
                self.continue_admitted(now, first.id);
            }
        }
        for id in self.waitlist.overdue(now) {
            let refusal = match self
                .requests
                .get(&id)
                .and_then(|pending| pending.workspace().cloned())
            {
                Some(workspace) => {
                    let tokens = self.requests[&id].request.cost();
                    self.ledger
                        .reserve(now, &workspace, tokens)
                        .map(|reservation| {
                            self.ledger.settle(now, reservation, 0);
                        })
                }
                None => continue,
            };
            let refusal = refusal
                .err()
                .unwrap_or(rate::Refusal::Limited(self.options.max_token_wait));
            self.refuse_for_rate(now, id, &refusal);
        }
    }

    /// Requests the tokens that waiting requests lack from peers, largest offer first.
    fn borrow(&mut self, now: clock::Instant, workspace: &name::Name) {
        if !self.options.borrows {
            return;
        }
        let needed = self.waitlist.tokens(workspace);
        let missing = self.ledger.shortfall(now, workspace, needed);
        if missing == 0
            || !self
                .waitlist
                .begin_borrow(now, now + rate::TRANSFER_VALIDITY, workspace)
        {
            return;
        }
        let offers = self
            .offers
            .iter()
            .filter(|((_, offered), tokens)| offered == workspace && **tokens > 0);
        let mut offers: Vec<_> = offers
            .map(|((host, _), tokens)| (std::cmp::Reverse(*tokens), host.clone()))
            .collect();
        offers.sort();
        let mut missing = missing;
        for (std::cmp::Reverse(offered), host) in offers {
            if missing == 0 {
                break;
            }
            let tokens = missing.min(offered);
            missing -= tokens;
            self.offers.remove(&(host.clone(), workspace.clone()));
            self.emit(super::Effect::Borrow {
                host,
                workspace: workspace.clone(),
                tokens,
            });
        }
    }

    /// Continues a request whose tokens are reserved.
    fn continue_admitted(&mut self, now: clock::Instant, id: request::Id) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let needs_claim = !pending.idempotent && pending.request.idempotency_key.is_some();
        if needs_claim {
            pending.stage = pending::Stage::Claim;
            let key = pending.claim_key();
            return self.emit(super::Effect::Claim { request: id, key });
        }
        self.enqueue(now, id);
    }

    /// Continues a request whose idempotency key was claimed, or refuses it.
    pub(super) fn resolve_claim(
        &mut self,
        now: clock::Instant,
        id: request::Id,
        result: Checked<()>,
    ) {
        let Some(pending) = self.requests.get_mut(&id) else {
            // The request ended in the meantime and never ran: its claim must not block a repeat.
            if result.is_ok() {
                let outcome = outcome::Outcome::NotRun;
                self.emit(super::Effect::ResolveClaim {
                    request: id,
                    outcome,
                });
            }
            return;
        };
        match result {
            Ok(()) => {
                pending.is_claimed = true;
                self.record_request(timeline::Kind::Claimed, id, "");
                self.enqueue(now, id);
                self.dispatch_all(now);
            }
            Err(refusal) => self.end_refused(now, id, refusal),
        }
    }

    /// Puts a request into the queue for an upstream, or refuses it if the queue is full or too slow. A response that has
    /// begun is not refused.
    pub(super) fn enqueue(&mut self, now: clock::Instant, id: request::Id) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.stage = pending::Stage::Queue;
        let can_run = self
            .table
            .can_run(now, &dispatch::criteria(pending, &self.zone));
        let open_workspace =
            || name::Name::parse(super::OPEN_WORKSPACE).expect("the constant is a valid name");
        let ticket = admission::Request {
            id,
            workspace: pending.workspace().cloned().unwrap_or_else(open_workspace),
            model: pending.request.model.clone(),
            adapter: pending.request.adapter.clone(),
            class: match pending.is_begun() {
                true => admission::Class::Live,
                false => pending.request.class,
            },
            tokens: pending.request.cost(),
            bytes: pending.request.bytes,
            deadline: pending.request.deadline,
        };
        let pushed = match can_run {
            _ if pending.is_begun() => {
                self.queue.push_begun(now, ticket);
                Ok(())
            }
            true => self.queue.push_ready(now, ticket),
            false => self.queue.push(now, ticket),
        };
        if let Err(error) = pushed {
            let outcome = self.requests[&id].outcome();
            let refusal = super::Refusal::new(error.reason(), outcome, error.to_string());
            self.end_refused(now, id, refusal);
        }
    }
}

fn refuse(reason: outcome::Reason, message: impl Into<String>) -> super::Refusal {
    super::Refusal::not_run(reason, message)
}
