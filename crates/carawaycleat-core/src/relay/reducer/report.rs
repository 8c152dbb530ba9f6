//! Reports to the coordinator.

use std::collections;

use crate::clock;
use crate::relay::report;

impl super::Reducer {
    /// Returns what the coordinator is to know, and starts the counts anew. With `full`, the answer is to tell about
    /// all engines; otherwise about those that hold what requests wait for.
    pub fn report(&mut self, now: clock::Instant, full: bool) -> report::Report {
        self.reports += 1;
        let mut wants = Vec::new();
        for borrower in &mut self.borrowers {
            let request = self.requests.get(&borrower.request);
            let workspace = request.and_then(|request| request.workspace.clone());
            if let (Some(request), Some(workspace)) = (request, workspace) {
                // A repeat after a lost answer takes tokens twice, which is on the safe side.
                borrower.report = Some(self.reports);
                wants.push((workspace, request.cost));
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
                self.asks.entry(key).or_default();
            }
        }
        let asks = self.asks.drain().map(|(key, tokens)| {
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
        let span = now.since(self.reported);
        self.reported = now;
        report::Report {
            host: self.host.clone(),
            number: self.reports,
            full,
            token_requests: wants,
            interval_ms: u64::try_from(span.as_millis()).unwrap_or(u64::MAX),
            demands: asks.collect(),
            running: self
                .table
                .values()
                .filter(|entry| entry.running > 0)
                .map(|entry| (entry.registration.id.clone(), entry.running))
                .collect(),
            usage: self.usage.drain().collect(),
            suspects: self
                .table
                .values()
                .filter(|entry| entry.is_avoided(now))
                .map(|entry| entry.registration.id.clone())
                .collect(),
        }
    }
}
