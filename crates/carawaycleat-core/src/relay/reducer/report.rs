//! Reports to the coordinator.

use std::collections;

use crate::clock;
use crate::relay::report;

impl super::Reducer {
    /// Returns the report to the coordinator and resets its counters. With `full`, the view sent in response covers all
    /// engines; otherwise only those that hold a model that requests of this host wait for.
    pub fn report(&mut self, now: clock::Instant, full: bool) -> report::Report {
        self.report_count += 1;
        let mut token_requests = Vec::new();
        for waiter in &mut self.token_waiters {
            let request = self.requests.get(&waiter.request);
            let workspace = request.and_then(|request| request.workspace.clone());
            if let (Some(request), Some(workspace)) = (request, workspace) {
                // When the response is lost, the next report takes the tokens again: less than the allowance is used.
                waiter.report = Some(self.report_count);
                token_requests.push((workspace, request.cost));
            }
        }
        let mut waiting = collections::HashMap::<_, u32>::new();
        for (_, id) in &self.waiting {
            let Some(request) = self.requests.get(id) else {
                continue;
            };
            if let Some(model) = &request.model {
                let key = (
                    request.service.clone(),
                    model.clone(),
                    request.adapter.clone(),
                );
                *waiting.entry(key.clone()).or_default() += 1;
                self.demands.entry(key).or_default();
            }
        }
        let demands = self.demands.drain().map(|(key, tokens)| {
            let waiting = waiting.get(&key).copied().unwrap_or(0);
            let (service, model, adapter) = key;
            report::Demand {
                service,
                model,
                adapter,
                tokens,
                waiting,
            }
        });
        let interval = now.since(self.last_report);
        self.last_report = now;
        report::Report {
            host: self.host.clone(),
            number: self.report_count,
            full,
            token_requests,
            interval_ms: u64::try_from(interval.as_millis()).unwrap_or(u64::MAX),
            demands: demands.collect(),
            running: self
                .upstreams
                .values()
                .filter(|entry| entry.own_requests > 0)
                .map(|entry| (entry.registration.id.clone(), entry.own_requests))
                .collect(),
            usage: self.token_usage.drain().collect(),
            suspects: self
                .upstreams
                .values()
                .filter(|entry| entry.is_ejected(now))
                .map(|entry| entry.registration.id.clone())
                .collect(),
        }
    }
}
