//! Reports to the coordinator.

use std::collections;

use crate::clock;
use crate::relay::config;
use crate::relay::limit;
use crate::relay::pending;
use crate::relay::report;
use crate::relay::upstream;

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
                let (_, traffic) = self.demands.entry(key).or_default();
                let patience = request.abandonment_time().since(now);
                traffic.record_waiting(request.priority, patience);
            }
        }
        let limits = self.limits(now);
        let colds = self.cold_report(now, self.report_count);
        let demands = self.demands.drain().map(|(key, (tokens, traffic))| {
            let waiting = waiting.get(&key).copied().unwrap_or(0);
            let (service, model, adapter) = key;
            report::Demand {
                service,
                model,
                adapter,
                tokens,
                waiting,
                traffic,
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
                .filter(|entry| entry.is_suspected(now))
                .map(|entry| entry.registration.id.clone())
                .collect(),
            limits,
            leaving: self.departures.among(&self.upstreams),
            zone: self.zone.clone(),
            requests_per_second: self.balance.load(now),
            stopping: self.stop.is_some(),
            colds,
            evacuated: self
                .evacuated
                .iter()
                .map(|(zone, _)| zone.clone())
                .collect(),
            work: self.remaining_work(now),
            connections: self.connection_uses(),
        }
    }

    /// Records for the next report, if its service is balanced by work, how long a request that ends was at its last upstream.
    pub(super) fn record_slot_time(&mut self, now: clock::Instant, request: &pending::Pending) {
        let service = request.admitted_service.as_ref();
        if service.is_none_or(|service| service.balancing != config::Balancing::Work) {
            return;
        }
        let sent = request.phase.sent_at().or(request.first_sent_at);
        if let (Some(model), Some(sent)) = (&request.model, sent) {
            let key = (
                request.service.clone(),
                model.clone(),
                request.adapter.clone(),
            );
            let (_, traffic) = self.demands.entry(key).or_default();
            traffic.record_end(now.since(sent));
        }
    }

    /// Returns the limits on requests that upstreams have named or ended.
    fn limits(&self, now: clock::Instant) -> Vec<report::Limit> {
        if self
            .upstreams
            .values()
            .all(|entry| entry.limit.is_none() && entry.limit_ended.is_none())
        {
            return Vec::new();
        }
        let waiting = self.waiting_at_limits(now);
        let limit = |entry: &upstream::Upstream| {
            let id = entry.registration.id.clone();
            let service = &entry.registration.service;
            let age_ms = |at| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
            let waiting = waiting.get(service).copied().unwrap_or(0);
            match (&entry.limit, entry.limit_ended) {
                (Some(limit), _) => Some(report::Limit {
                    upstream: id,
                    rate: Some(limit.rate),
                    age_ms: age_ms(limit.named_at),
                    sent: limit.sent,
                    waiting,
                }),
                (None, Some(ended)) if now.since(ended) <= limit::LIMIT_LIFETIME => {
                    Some(report::Limit {
                        upstream: id,
                        rate: None,
                        age_ms: age_ms(ended),
                        sent: 0,
                        waiting: 0,
                    })
                }
                (None, _) => None,
            }
        };
        self.upstreams.values().filter_map(limit).collect()
    }
}
