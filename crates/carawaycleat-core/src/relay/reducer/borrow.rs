//! Tokens that the coordinator grants request by request.

use std::collections;

use crate::clock;
use crate::name;
use crate::relay::effect;
use crate::relay::event;
use crate::relay::pending;
use crate::relay::refusal;

impl super::Reducer {
    pub(super) fn has_view(&self, now: clock::Instant) -> bool {
        let view = self.view.as_ref();
        view.is_some_and(|(at, _)| now.since(*at) < super::ALONE_AGE)
    }

    /// Gives the tokens that the coordinator granted to the requests that wait for them, and refuses the others that
    /// the coordinator has heard of.
    pub(super) fn lend(
        &mut self,
        now: clock::Instant,
        number: u64,
        grants: Vec<(name::Name, u32)>,
        effects: &mut Vec<effect::Effect>,
    ) {
        let mut grants: collections::HashMap<_, _> = grants.into_iter().collect();
        for borrower in std::mem::take(&mut self.borrowers) {
            let id = borrower.request;
            if borrower.report != Some(number) {
                self.borrowers.push_back(borrower);
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
                    self.seek(now, id, effects);
                }
                None => {
                    if let Some(workspace) = workspace {
                        self.denied.insert(workspace, now);
                    }
                    self.refuse_tokens(now, id, effects);
                }
            }
        }
    }

    /// Ends the wait of a request for tokens that the coordinator has not answered. It gets them if this host's part
    /// without a coordinator has them.
    pub(super) fn go_alone(
        &mut self,
        now: clock::Instant,
        borrower: super::Borrower,
        effects: &mut Vec<effect::Effect>,
    ) {
        let id = borrower.request;
        let unheard = self
            .view
            .as_ref()
            .is_none_or(|(at, _)| *at < borrower.since);
        let taken = unheard && self.take_alone(now, id);
        match self.requests.get_mut(&id).filter(|_| taken) {
            Some(request) => {
                request.has_tokens = true;
                self.seek(now, id, effects);
            }
            None => self.refuse_tokens(now, id, effects),
        }
    }

    fn take_alone(&mut self, now: clock::Instant, id: event::Id) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let (Some(name), Some(config)) = (&request.workspace, &self.config) else {
            return false;
        };
        let (cost, share) = (request.cost, self.share_alone(now, name));
        let Some(workspace) = config.workspace(name) else {
            return false;
        };
        let Some(allowance) = self.allowances.get_mut(name) else {
            return false;
        };
        allowance.update(now, workspace.rate, workspace.burst, share);
        allowance.take(now, cost).is_ok()
    }

    pub(super) fn refuse_tokens(
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
        let wait = allowance.map(|(allowance, cost)| allowance.retry_after(now, cost));
        let wait = wait
            .unwrap_or(super::MIN_RETRY_AFTER)
            .max(super::MIN_RETRY_AFTER);
        self.refuse(now, id, refusal::Reason::RateLimited, Some(wait), effects);
    }

    pub(super) fn give_back(&mut self, request: &pending::Pending) {
        let workspace = request.workspace.as_ref();
        if let Some(allowance) = workspace.and_then(|name| self.allowances.get_mut(name)) {
            allowance.refund(request.cost);
        }
    }
}
