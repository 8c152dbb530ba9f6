//! Callers: the requests that they send and the responses that they receive.

use std::time;

use carawaycleat_core::admission;
use carawaycleat_core::entry;
use carawaycleat_core::outcome;
use carawaycleat_core::request;

use crate::path_fake as fake;
use crate::routing as support;

impl super::Cluster {
    /// Sends the requests of this step.
    pub(super) fn send_requests(&mut self) {
        if !(super::FIRST_FAULT_STEP - 2..=super::LAST_FAULT_STEP + 20).contains(&self.step) {
            return;
        }
        let step = self.step;
        let first_host = (step as usize) % fake::HOSTS;
        if step == super::FIRST_FAULT_STEP - 2 {
            for host in 0..fake::HOSTS {
                self.arrive(host, "w1", true, "POST", None, super::LONG_RESPONSE);
                self.arrive(host, "w2", true, "POST", None, super::LONG_RESPONSE);
            }
        }
        self.arrive(first_host, "w2", false, "GET", None, 4);
        self.arrive(first_host, "w1", true, "POST", None, 3);
        // In three consecutive steps, a caller sends the same request with the same idempotency key to another host.
        let key = |step: u64| Some(format!("key-{}", step / 3));
        self.arrive(first_host, "w2", false, "POST", key(step), 3);
        self.arrive((first_host + 1) % 3, "w1", false, "POST", None, 3);
        for host in 0..fake::HOSTS {
            self.arrive(host, "w3", true, "POST", None, 4);
        }
    }

    pub(super) fn arrive(
        &mut self,
        host: usize,
        workspace: &'static str,
        is_model: bool,
        method: &'static str,
        claim: Option<String>,
        length: u64,
    ) {
        // The load balancer sends requests only to hosts that are ready.
        let is_ready = |h: &super::Host| {
            self.now >= h.paused_until && h.reducer.as_ref().is_some_and(entry::Reducer::is_ready)
        };
        let Some(host) = (0..fake::HOSTS)
            .map(|offset| (host + offset) % fake::HOSTS)
            .find(|host| is_ready(&self.hosts[*host]))
        else {
            return;
        };
        let id = request::Id::from_u128((self.callers.len() as u128 + 1) << 8);
        let key = match self.rule {
            super::Rule::ConnectionKey => *self.connection_key.get_or_insert(workspace),
            _ => workspace,
        };
        let arrival = entry::Request {
            id,
            key_digest: Some(fake::digest(key)),
            route: support::name(if is_model { "models" } else { "desk" }),
            method: if self.rule == super::Rule::RetryAll && claim.is_none() {
                "GET".to_owned()
            } else {
                method.to_owned()
            },
            model: is_model.then(|| support::name("m")),
            adapter: None,
            class: admission::Class::Live,
            prompt_tokens: 1,
            max_tokens: if is_model { length } else { 0 },
            bytes: 10,
            prefixes: Vec::new(),
            idempotency_key: claim.clone(),
            deadline: self.clock(host) + time::Duration::from_secs(22),
        };
        let claim = claim.map(|key| format!("{workspace}/{key}"));
        self.callers.insert(
            id,
            fake::Caller {
                host,
                workspace,
                is_model,
                method,
                claim,
                length,
                received: Vec::new(),
                heads: 0,
                executions: 0,
                is_finished: false,
                refused: None,
                is_disconnected: false,
            },
        );
        self.step_host(host, entry::Event::Arrived(Box::new(arrival)), None);
    }

    pub(super) fn deliver_part(&mut self, id: request::Id, content: fake::Content) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        if caller.is_disconnected {
            return;
        }
        let workspace = caller.workspace;
        caller.received.push(content);
        let is_own = content == (id, caller.received.len() as u64 - 1);
        let is_withdrawn =
            workspace == "w1" && self.withdrawn_at.is_some_and(|at| self.now > at + 5_000);
        *self.used_tokens.entry(workspace).or_default() += u64::from(self.callers[&id].is_model);
        self.check_that(
            is_own,
            super::Violation::Response,
            format!("{id:?} received {content:?}"),
        );
        self.check_that(
            !is_withdrawn,
            super::Violation::WithdrawnKey,
            format!("{id:?} is still served"),
        );
    }

    pub(super) fn record_refusal(&mut self, id: request::Id, refusal: &entry::Refusal) {
        let is_key_refused = matches!(
            refusal.reason,
            outcome::Reason::UnknownKey | outcome::Reason::ConfigurationStale
        );
        let rule = self.rule;
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        if rule == super::Rule::CheckOnArrival && is_key_refused && caller.executions > 0 {
            self.still_served.insert(id);
            return;
        }
        let outcome = match rule {
            super::Rule::AllNotRun => outcome::Outcome::NotRun,
            _ => refusal.outcome,
        };
        let is_first = caller.refused.replace((refusal.reason, outcome)).is_none();
        let (executions, is_finished) = (caller.executions, caller.is_finished);
        self.check_that(
            is_first && !is_finished,
            super::Violation::Response,
            format!("{id:?} ended twice"),
        );
        self.check_that(
            outcome != outcome::Outcome::NotRun || executions == 0,
            super::Violation::FalseNotRun,
            format!("{id:?} {refusal:?}"),
        );
        let is_cut = self.only_planned_stops && refusal.reason != outcome::Reason::ShuttingDown;
        let is_limited = refusal.reason == outcome::Reason::RateLimited
            || refusal.reason == outcome::Reason::DuplicateRequest;
        self.check_that(
            !is_cut || is_limited,
            super::Violation::Interrupted,
            format!("{id:?} {refusal:?}"),
        );
    }
}
