//! Tokens that the coordinator grants request by request.

use std::collections;

use crate::clock;
use crate::name;
use crate::relay::effect;
use crate::relay::event;
use crate::relay::pending;
use crate::relay::refusal;

impl super::Reducer {
    /// Returns whether a view of the coordinator has been received recently.
    pub(super) fn has_coordinator(&self, now: clock::Instant) -> bool {
        let view = self.view.as_ref();
        view.is_some_and(|(received, _)| now.since(*received) < super::MAX_COORDINATOR_SILENCE)
    }

    /// Dispatches the waiting requests of report `number` to which the coordinator granted tokens, and refuses the
    /// others of that report.
    pub(super) fn apply_grants(
        &mut self,
        now: clock::Instant,
        number: u64,
        grants: Vec<(name::Name, u32)>,
        effects: &mut Vec<effect::Effect>,
    ) {
        let mut grants: collections::HashMap<_, _> = grants.into_iter().collect();
        for waiter in std::mem::take(&mut self.token_waiters) {
            let id = waiter.request;
            if waiter.report != Some(number) {
                self.token_waiters.push_back(waiter);
                continue;
            }
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            let workspace = request.workspace.clone();
            let granted = workspace.as_ref().and_then(|name| grants.get_mut(name));
            match granted.filter(|count| **count > 0) {
                Some(count) => {
                    *count -= 1;
                    request.has_tokens = true;
                    self.dispatch_or_queue(now, id, effects);
                }
                None => {
                    if let Some(workspace) = workspace {
                        self.denials.insert(workspace, now);
                    }
                    self.refuse_rate_limited(now, id, effects);
                }
            }
        }
    }

    /// Ends the wait of a request for tokens that the coordinator has not granted in time. If no view was received
    /// meanwhile, the tokens are taken from this host's share for the time without a coordinator.
    pub(super) fn end_token_wait(
        &mut self,
        now: clock::Instant,
        waiter: super::TokenWaiter,
        effects: &mut Vec<effect::Effect>,
    ) {
        let id = waiter.request;
        let without_view = self
            .view
            .as_ref()
            .is_none_or(|(received, _)| *received < waiter.since);
        let taken = without_view && self.take_without_coordinator(now, id);
        match self.requests.get_mut(&id).filter(|_| taken) {
            Some(request) => {
                request.has_tokens = true;
                self.dispatch_or_queue(now, id, effects);
            }
            None => self.refuse_rate_limited(now, id, effects),
        }
    }

    /// Takes the tokens of a request from the share without a coordinator. Returns whether there were enough.
    fn take_without_coordinator(&mut self, now: clock::Instant, id: event::Id) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let (Some(name), Some(config)) = (&request.workspace, &self.config) else {
            return false;
        };
        let (cost, share) = (request.cost, self.share_without_coordinator(now, name));
        let Some(workspace) = config.workspace(name) else {
            return false;
        };
        let Some(allowance) = self.allowances.get_mut(name) else {
            return false;
        };
        allowance.update(now, workspace.rate, workspace.burst, share);
        allowance.take(now, cost).is_ok()
    }

    /// Refuses a request that got no tokens.
    pub(super) fn refuse_rate_limited(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        effects: &mut Vec<effect::Effect>,
    ) {
        let request = self.requests.get(&id);
        let allowance = request.and_then(|request| {
            let name = request.workspace.as_ref()?;
            let cost = request.cost;
            Some((self.allowances.get_mut(name)?, cost))
        });
        let retry_after = allowance.map(|(allowance, cost)| allowance.retry_after(now, cost));
        let retry_after = retry_after
            .unwrap_or(super::MIN_RETRY_AFTER)
            .max(super::MIN_RETRY_AFTER);
        self.refuse(
            now,
            id,
            refusal::Reason::RateLimited,
            Some(retry_after),
            effects,
        );
    }

    /// Returns the tokens of a request that has not run to the allowance.
    pub(super) fn refund(&mut self, request: &pending::Pending) {
        let workspace = request.workspace.as_ref();
        if let Some(allowance) = workspace.and_then(|name| self.allowances.get_mut(name)) {
            allowance.refund(request.cost);
        }
    }
}
