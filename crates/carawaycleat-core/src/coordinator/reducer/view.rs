//! The coordinator's responses to the reports of hosts.

use std::collections;
use std::time;

use crate::balance;
use crate::clock;
use crate::coordinator::engine;
use crate::name;
use crate::relay;

/// The time from the expected end of a load until hosts learn of it, in milliseconds.
const READY_SLACK_MS: u64 = 50;
/// The largest number of engines at which every view contains all of them. In a larger fleet, the response to a report
/// that does not request all engines contains only those that hold the models that the host's requests wait for.
const SMALL_FLEET_ENGINES: usize = 16;
/// The time without a report after which a host is assumed to be without a coordinator. The share of each allowance
/// that the host then uses is withheld from the other hosts.
const FALLBACK_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

impl super::Reducer {
    /// Returns the response to the last report of `host`. Grants its token requests and reserves slots for its waiting
    /// requests.
    pub fn respond(&mut self, now: clock::Instant, host: &name::Name) -> relay::View {
        let reporting: Vec<_> = self
            .hosts
            .iter()
            .filter(|(_, host)| now.since(host.received_at) < FALLBACK_TIMEOUT)
            .map(|(name, _)| name.clone())
            .collect();
        let (report_number, full, token_requests) = match self.hosts.get_mut(host) {
            Some(host) => {
                let token_requests = std::mem::take(&mut host.report.token_requests);
                (host.report.number, host.report.full, token_requests)
            }
            None => (0, true, Vec::new()),
        };
        let grants = self.shares.grant(now, &token_requests, &reporting);
        self.cold.prepare(now, host, report_number);
        self.reserve_slots(host);
        let cold = self.cold.permit(now, host, report_number);
        self.remaining.refresh(now);
        let permits = self.limits.permit(now, host, report_number);
        let ready_in_ms = self.ready_in_ms(now);
        let balances_work = self.balances_work();
        let overuse = balances_work.then(|| self.usage.overuse(now)).flatten();
        let backlogs = balances_work.then(|| self.backlogs(now));
        let engines = self.engine_views(now, host, full);
        relay::View {
            epoch: self.epoch,
            report_number,
            grants,
            full,
            suspects: self.suspects.iter().cloned().collect(),
            shares: self.shares.update_shares(now, host, &reporting),
            engines,
            ready_in_ms,
            permits,
            leaving: self.departures.among(&self.engines),
            loads: self.loads(),
            cold,
            connections: self.connection_grants(now, host),
            overuse,
            backlogs,
        }
    }

    fn balances_work(&self) -> bool {
        let mut services = self.services.values();
        services.any(|spec| spec.balancing == relay::Balancing::Work)
    }

    /// Returns the requests that compete for the engines of each model that requests of hosts wait for.
    fn backlogs(&mut self, now: clock::Instant) -> Vec<relay::Backlog> {
        let hosts = self.hosts.values();
        let recent = hosts.filter(|host| now.since(host.received_at) <= super::MAX_REPORT_AGE);
        let demands = recent.flat_map(|host| &host.report.demands);
        self.backlogs.update(now, &self.engines, demands)
    }

    /// Returns the load of each availability zone. A host that is stopping still has load, which the others will get.
    fn loads(&self) -> Vec<balance::Load> {
        let mut loads = collections::BTreeMap::<&name::Name, (u32, f64)>::new();
        for host in self.hosts.values() {
            let (hosts, sum) = loads.entry(&host.report.zone).or_default();
            *hosts += u32::from(!host.report.stopping);
            *sum += host.report.requests_per_second;
        }
        let load = |(zone, (hosts, requests_per_second)): (&name::Name, _)| balance::Load {
            zone: zone.clone(),
            hosts,
            requests_per_second,
        };
        loads.into_iter().map(load).collect()
    }

    /// Returns the time until each model that is being loaded is ready at the first engine, in milliseconds.
    fn ready_in_ms(&self, now: clock::Instant) -> Vec<(name::Name, u64)> {
        let mut ready_in_ms = collections::BTreeMap::new();
        for engine in self.engines.values() {
            if self.is_evacuated(engine) {
                continue;
            }
            if let Some((model, ready_at)) = engine.loading() {
                let remaining_ms = millis(now, ready_at) + READY_SLACK_MS;
                let entry = ready_in_ms.entry(model.clone()).or_insert(remaining_ms);
                *entry = remaining_ms.min(*entry);
            }
        }
        ready_in_ms.into_iter().collect()
    }

    /// Reserves a slot for each waiting request of `host`, at the engine with the most free slots, as long as there are
    /// any.
    fn reserve_slots(&mut self, host: &name::Name) {
        let Some(known) = self.hosts.get(host) else {
            return;
        };
        for demand in known
            .report
            .demands
            .iter()
            .filter(|demand| demand.waiting > 0)
        {
            let Some(spec) = self.services.get(&demand.service) else {
                continue;
            };
            for _ in 0..demand.waiting {
                let holders = self
                    .engines
                    .iter()
                    .filter(|(_, engine)| engine.can_run(demand) && !self.is_evacuated(engine));
                let free = holders.map(|(id, engine)| {
                    let slots = engine.slots(spec);
                    let free = self.reservations.free_slots(id, slots);
                    let free = self.cold.available(id).map_or(free, |cold| free.min(cold));
                    (
                        self.limits
                            .available(id)
                            .map_or(free, |limit| free.min(limit)),
                        id,
                    )
                });
                match free.max_by_key(|(free, _)| *free) {
                    Some((1.., id)) => {
                        self.reservations.reserve(host, id);
                        self.limits.reserve(host, id);
                        self.cold.reserve(id);
                    }
                    _ => break,
                }
            }
        }
    }

    /// Returns the engines as `host` sees them: all of them when `full` or in a small fleet, and otherwise those that
    /// hold the models that its requests wait for.
    fn engine_views(
        &self,
        now: clock::Instant,
        host: &name::Name,
        full: bool,
    ) -> Vec<relay::EngineView> {
        let demands = self.hosts.get(host).map(|host| &host.report.demands);
        let waiting: Vec<_> = demands
            .into_iter()
            .flatten()
            .filter(|demand| demand.waiting > 0)
            .collect();
        let is_included = |engine: &engine::Engine| {
            let holds = |demand: &&relay::Demand| engine.models.contains_key(&demand.model);
            full || self.engines.len() <= SMALL_FLEET_ENGINES || waiting.iter().any(holds)
        };
        let views = self.engines.iter().filter_map(|(id, engine)| {
            let spec = self.services.get(&engine.registration.service)?;
            engine.status_at.filter(|_| is_included(engine))?;
            let availability = self.reservations.availability(host, id, engine.slots(spec));
            let (other_prompt_ms, other_work_ms) = self.remaining.others(now, host, id);
            Some(relay::EngineView {
                upstream: id.clone(),
                models: engine.models.keys().cloned().collect(),
                loading: engine
                    .loading()
                    .map(|(model, ready_at)| (model.clone(), millis(now, ready_at)))
                    .into_iter()
                    .collect(),
                unloading: engine.unloading().cloned().into_iter().collect(),
                adapters: engine.adapters.keys().cloned().collect(),
                other_requests: availability.other_requests,
                usable_slots: availability.usable_slots,
                other_prompt_ms,
                other_work_ms,
            })
        });
        views.collect()
    }
}

/// Returns the milliseconds from `now` until `until`, 0 if it has passed.
fn millis(now: clock::Instant, until: clock::Instant) -> u64 {
    u64::try_from(until.since(now).as_millis()).unwrap_or(u64::MAX)
}
