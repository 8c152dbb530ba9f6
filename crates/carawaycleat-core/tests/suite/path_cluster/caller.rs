//! Callers: what they send and what they get.

use std::time;

use carawaycleat_core::admission;
use carawaycleat_core::entry;
use carawaycleat_core::outcome;
use carawaycleat_core::request;

use crate::path_fake as fake;
use crate::routing as support;

impl super::Cluster {
    /// Lets the callers of this step send their requests.
    pub(super) fn demand(&mut self) {
        if !(super::FIRST - 2..=super::LAST + 20).contains(&self.step) {
            return;
        }
        let step = self.step;
        let turn = (step as usize) % fake::HOSTS;
        if step == super::FIRST - 2 {
            for host in 0..fake::HOSTS {
                self.arrive(host, "w1", true, "POST", None, super::LONG);
                self.arrive(host, "w2", true, "POST", None, super::LONG);
            }
        }
        self.arrive(turn, "w2", false, "GET", None, 4);
        self.arrive(turn, "w1", true, "POST", None, 3);
        // A caller repeats a booking at another host.
        let key = |step: u64| Some(format!("key-{}", step / 3));
        self.arrive(turn, "w2", false, "POST", key(step), 3);
        self.arrive((turn + 1) % 3, "w1", false, "POST", None, 3);
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
        // The load balancer sends nothing to a host that is not ready.
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
                got: Vec::new(),
                heads: 0,
                executions: 0,
                is_finished: false,
                refused: None,
                is_lost: false,
            },
        );
        self.step_host(host, entry::Event::Arrived(Box::new(arrival)), None);
    }

    pub(super) fn give(&mut self, id: request::Id, content: fake::Content) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        if caller.is_lost {
            return;
        }
        let workspace = caller.workspace;
        caller.got.push(content);
        let is_own = content == (id, caller.got.len() as u64 - 1);
        let is_withdrawn =
            workspace == "w1" && self.withdrawn_at.is_some_and(|at| self.now > at + 5_000);
        *self.used.entry(workspace).or_default() += u64::from(self.callers[&id].is_model);
        self.check_that(
            is_own,
            super::Violation::Answer,
            format!("{id:?} got {content:?}"),
        );
        self.check_that(
            !is_withdrawn,
            super::Violation::Withdrawn,
            format!("{id:?} gets more"),
        );
    }

    pub(super) fn refused(&mut self, id: request::Id, refusal: &entry::Refusal) {
        let withdraws = matches!(
            refusal.reason,
            outcome::Reason::UnknownKey | outcome::Reason::ConfigurationStale
        );
        let rule = self.rule;
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        if rule == super::Rule::CheckOnArrival && withdraws && caller.executions > 0 {
            self.kept.insert(id);
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
            super::Violation::Answer,
            format!("{id:?} has two ends"),
        );
        self.check_that(
            outcome != outcome::Outcome::NotRun || executions == 0,
            super::Violation::FalseNotRun,
            format!("{id:?} {refusal:?}"),
        );
        let is_cut = self.planned_only && refusal.reason != outcome::Reason::ShuttingDown;
        let is_limited = refusal.reason == outcome::Reason::RateLimited
            || refusal.reason == outcome::Reason::DuplicateRequest;
        self.check_that(
            !is_cut || is_limited,
            super::Violation::Stopped,
            format!("{id:?} {refusal:?}"),
        );
    }
}
