mod connection;
mod evacuation;
mod outcome;
mod placement;
mod suspicion;
mod view;

use std::collections;
use std::time;

use super::backlog;
use super::cold;
use super::effect;
use super::engine;
use super::evacuation as evacuations;
use super::event;
use super::limit;
use super::options;
use super::order;
use super::plan;
use super::remaining;
use super::reservation;
use super::share;
use super::traffic;
use crate::clock;
use crate::contention;
use crate::meter;
use crate::name;
use crate::relay;
use crate::relay::departure;
use crate::timeline;

/// The maximum number of orders that one tick sends, not counting preloads of adapters and resent orders.
const MAX_ORDERS_PER_TICK: usize = 24;
/// The maximum number of loads that a new coordinator assumes of its predecessor.
const MAX_STORE_LOADS: usize = 10_000;
/// The interval at which engines with free slots get adapters that no request waits for.
const PRELOAD_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// The time without demand after which the demand for a model or adapter is removed.
const DEMAND_RETENTION: time::Duration = time::Duration::from_secs(60);
/// The time between two probes of an engine whose order should be complete or whose state is not known.
const PENDING_PROBE_INTERVAL: time::Duration = time::Duration::from_millis(150);
/// The interval at which the placement is logged.
const PLACEMENT_LOG_INTERVAL: time::Duration = time::Duration::from_millis(1_000);
/// The time after which an order that got no response is sent again.
const RESEND_DELAY: time::Duration = time::Duration::from_millis(40);
/// The minimum number of hosts for a coordinator to resign when less than half of them report to it. Of two hosts,
/// neither can tell which one is partitioned from the rest.
const MIN_HOSTS_TO_RESIGN: usize = 3;
/// The age up to which a report's waiting requests and suspects count.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_millis(1_500);

/// The last report of an entry host.
#[derive(Debug)]
struct Host {
    report: relay::Report,
    received_at: clock::Instant,
}

/// The state machine of the coordinator.
///
/// It performs no I/O: [`Reducer::step`] takes an event and returns the effects to carry out, and [`Reducer::respond`]
/// returns the response to a host's report.
#[derive(Debug)]
pub struct Reducer {
    pub(super) options: options::Options,
    epoch: u64,
    /// When this host was elected; none before that and after it has resigned.
    pub(super) elected_at: Option<clock::Instant>,
    config_version: u64,
    services: collections::BTreeMap<name::Name, relay::EngineSpec>,
    pub(super) engines: collections::BTreeMap<name::Name, engine::Engine>,
    hosts: collections::BTreeMap<name::Name, Host>,
    /// The demand for each model by service, in tokens.
    pub(super) model_demand: meter::Meter<(name::Name, name::Name)>,
    /// The demand for each adapter by service and model, in tokens.
    pub(super) adapter_demand: meter::Meter<(name::Name, name::Name, name::Name)>,
    /// The requests for each model by service.
    pub(super) traffic: traffic::Traffic,
    shares: share::Shares,
    reservations: reservation::Reservations,
    remaining: remaining::Remaining,
    pub(super) limits: limit::Limits,
    cold: cold::Division,
    /// The division of the connections to upstreams.
    connections: connection::Connections,
    /// The use of the workspaces over all hosts.
    pub(super) usage: contention::Usage,
    /// The requests of all hosts that compete for the slots of engines.
    backlogs: backlog::Backlogs,
    evacuations: evacuations::Evacuations,
    /// The upstreams that have said to a host that they leave.
    departures: departure::Departures,
    /// The upstreams that all hosts should avoid because they do not respond.
    suspects: collections::HashSet<name::Name>,
    /// When each load from the weight store within the load window was ordered.
    store_loads: collections::VecDeque<clock::Instant>,
    order_count: u64,
    /// When demand was first reported in this term.
    pub(super) demand_since: Option<clock::Instant>,
    /// When adapters that no request waits for were last considered.
    preloaded_at: clock::Instant,
    placement_logged_at: clock::Instant,
}

impl Reducer {
    /// Returns the reducer of a host that has not been elected yet.
    #[must_use]
    pub fn new(options: options::Options) -> Self {
        Self {
            cold: cold::Division::new(options.cold_bound),
            evacuations: evacuations::Evacuations::default(),
            options,
            epoch: 0,
            elected_at: None,
            config_version: 0,
            services: collections::BTreeMap::new(),
            engines: collections::BTreeMap::new(),
            hosts: collections::BTreeMap::new(),
            model_demand: meter::Meter::default(),
            adapter_demand: meter::Meter::default(),
            traffic: traffic::Traffic::default(),
            shares: share::Shares::default(),
            reservations: reservation::Reservations::default(),
            remaining: remaining::Remaining::default(),
            limits: limit::Limits::default(),
            connections: connection::Connections::default(),
            usage: contention::Usage::default(),
            backlogs: backlog::Backlogs::default(),
            departures: departure::Departures::default(),
            suspects: collections::HashSet::new(),
            store_loads: collections::VecDeque::new(),
            order_count: 0,
            demand_since: None,
            preloaded_at: clock::Instant::default(),
            placement_logged_at: clock::Instant::default(),
        }
    }

    /// Applies an event and returns the effects to carry out.
    pub fn step(&mut self, now: clock::Instant, event: event::Event) -> Vec<effect::Effect> {
        let mut effects = Vec::new();
        match event {
            event::Event::Elected(epoch) => self.begin_term(now, epoch),
            event::Event::Resumed(epoch) => self.epoch = epoch,
            event::Event::Configured {
                version,
                services,
                workspaces,
            } => {
                // A store that was restored from a copy may have an older configuration than this host.
                if version >= self.config_version {
                    self.config_version = version;
                    self.services = services.into_iter().collect();
                    self.shares.configure(now, workspaces);
                }
            }
            event::Event::ConnectionsConfigured(specs) => self.connections.configure(specs),
            event::Event::HostsChanged(hosts) => {
                self.cold.set_hosts(&hosts);
                self.connections.ledger.set_hosts(now, &hosts);
                self.shares.set_hosts(hosts);
            }
            event::Event::UpstreamUpdated(registration) => {
                self.cold.record_entry(now, &registration);
                self.update_engine(now, *registration);
            }
            event::Event::UpstreamRemoved(id) => {
                self.cold.starts.record_removal(now, &id);
                self.engines.remove(&id);
            }
            event::Event::Reported(report) => self.record_report(now, *report),
            event::Event::Probed(id, status) => self.record_status(now, &id, *status),
            event::Event::OrderResolved(id, number, outcome) => {
                self.resolve_order(now, &id, number, outcome, &mut effects);
            }
            event::Event::Tick { may_order } => {
                self.tick(now, may_order, &mut effects);
            }
            event => self.record_notice(now, event),
        }
        effects
    }

    /// Discards all state that another coordinator may have made invalid. The loads that a predecessor ordered are not
    /// known, so the load window starts half full.
    fn begin_term(&mut self, now: clock::Instant, epoch: u64) {
        self.epoch = epoch;
        self.elected_at = Some(now);
        self.hosts.clear();
        self.reservations = reservation::Reservations::default();
        self.limits = limit::Limits::default();
        self.cold.begin_term(now);
        self.evacuations.begin_term();
        self.connections.ledger.restart(now);
        self.usage = contention::Usage::default();
        self.shares.restart(now);
        let registrations: Vec<_> = self
            .engines
            .values()
            .map(|engine| engine.registration.clone())
            .collect();
        self.engines.clear();
        for registration in registrations {
            self.update_engine(now, registration);
        }
        let per_second = self.services.values().map(|spec| spec.loads_per_second);
        let per_second = per_second.fold(0.0, f64::max);
        let half = (per_second * self.options.load_window.as_secs_f64() / 2.0).ceil() as usize;
        self.store_loads = std::iter::repeat_n(now, half.min(MAX_STORE_LOADS)).collect();
        self.demand_since = None;
    }

    fn update_engine(&mut self, now: clock::Instant, mut registration: relay::Registration) {
        let id = registration.id.clone();
        if self.departures.is_leaving(&id, registration.started) {
            registration.state = relay::State::Draining;
        }
        match self.engines.get_mut(&id) {
            Some(engine) => engine.update(now, registration),
            None => {
                self.engines
                    .insert(id, engine::Engine::new(now, registration));
            }
        }
    }

    fn record_report(&mut self, now: clock::Instant, report: relay::Report) {
        for (id, started) in &report.leaving {
            if let Some(engine) = self.engines.get_mut(id)
                && engine.registration.started == *started
            {
                self.departures.record(id, *started);
                engine.registration.state = relay::State::Draining;
            }
        }
        if report
            .demands
            .iter()
            .any(|demand| !demand.is_end_of_requests())
        {
            self.demand_since.get_or_insert(now);
        }
        for demand in &report.demands {
            let model = (demand.service.clone(), demand.model.clone());
            if demand.is_end_of_requests() {
                self.traffic.record(now, &model, demand);
                continue;
            }
            self.model_demand.add(now, &model, demand.tokens as f64);
            self.traffic.record(now, &model, demand);
            if let Some(adapter) = &demand.adapter {
                let (service, model) = model;
                let key = (service, model, adapter.clone());
                self.adapter_demand
                    .add(now, &key, demand.tokens.max(1) as f64);
            }
        }
        self.shares.record_usage(now, &report.host, &report.usage);
        for (workspace, tokens) in &report.usage {
            self.usage.record(now, workspace, *tokens);
        }
        self.reservations.record_report(&report);
        self.remaining.record_report(now, &report);
        self.limits.record_report(now, &report);
        self.cold.record_report(now, self.epoch, &report);
        self.connections.record_report(now, &report);
        let host = report.host.clone();
        self.hosts.insert(
            host,
            Host {
                report,
                received_at: now,
            },
        );
    }

    fn record_status(&mut self, now: clock::Instant, id: &name::Name, status: event::Status) {
        let lag = self.options.report_lag;
        if let Some(engine) = self.engines.get_mut(id) {
            engine.record_status(now, status, lag);
        }
    }

    fn tick(&mut self, now: clock::Instant, may_order: bool, effects: &mut Vec<effect::Effect>) {
        let timeout = self.options.host_timeout;
        self.hosts
            .retain(|_, host| now.since(host.received_at) < timeout);
        self.reservations
            .retain_hosts(|host| self.hosts.contains_key(host));
        self.remaining
            .retain_hosts(|host| self.hosts.contains_key(host));
        self.limits
            .retain(now, |host| self.hosts.contains_key(host));
        self.cold.tick(now, may_order);
        self.record_evacuations(now, effects);
        self.connections.ledger.forget(now);
        self.model_demand.remove_idle(now, DEMAND_RETENTION);
        self.adapter_demand.remove_idle(now, DEMAND_RETENTION);
        self.traffic.remove_idle(now, DEMAND_RETENTION);
        let window = self.options.load_window;
        while self
            .store_loads
            .front()
            .is_some_and(|ordered_at| now.since(*ordered_at) >= window)
        {
            self.store_loads.pop_front();
        }
        self.find_suspects(now);
        self.probe(now, effects);
        for engine in self.engines.values_mut() {
            engine.complete_adapter_loads(now);
        }
        if now.since(self.placement_logged_at) >= PLACEMENT_LOG_INTERVAL {
            self.placement_logged_at = now;
            self.log_placement(now, effects);
            self.log_connections(now, effects);
            if let Some(summary) = self.limits.summary() {
                let decision = timeline::Decision::new("limits").with("upstreams", summary);
                effects.push(effect::Effect::Record(decision));
            }
            if let Some(summary) = self.cold.summary(now) {
                let decision = timeline::Decision::new("cold_limits").with("upstreams", summary);
                effects.push(effect::Effect::Record(decision));
            }
        }
        if self.is_isolated(now) {
            self.elected_at = None;
            let decision = timeline::Decision::new("isolated")
                .with("heard", self.hosts.len() as u64)
                .with("hosts", self.shares.host_count() as u64);
            effects.push(effect::Effect::Record(decision));
            effects.push(effect::Effect::Resign);
        } else if may_order {
            self.resend(now, effects);
            self.order(now, effects);
        }
    }

    /// Returns whether most hosts cannot reach this one: fewer than half have reported within the host timeout.
    fn is_isolated(&self, now: clock::Instant) -> bool {
        let hosts = self.shares.host_count();
        let has_waited = self
            .elected_at
            .is_some_and(|since| now.since(since) >= self.options.host_timeout);
        has_waited && hosts >= MIN_HOSTS_TO_RESIGN && self.hosts.len() * 2 < hosts
    }

    fn probe(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        let services = &self.services;
        for (id, engine) in &mut self.engines {
            if !services.contains_key(&engine.registration.service) {
                continue;
            }
            let is_uncertain = engine.sequence.is_none()
                || engine
                    .model_order
                    .as_ref()
                    .is_some_and(|pending| now >= pending.ready_at)
                || !engine.adapter_orders.is_empty();
            let interval = if is_uncertain {
                PENDING_PROBE_INTERVAL
            } else {
                self.options.probe_interval
            };
            if now.since(engine.probed_at) >= interval {
                engine.probed_at = now;
                let address = engine.registration.address;
                effects.push(effect::Effect::Probe(id.clone(), address));
            }
        }
    }

    /// Logs the replicas, demand and waiting requests of the models in each service.
    fn log_placement(&self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        for (service, spec) in &self.services {
            let planner = plan::Planner::new(now, self, service, spec);
            let decision = timeline::Decision::new("placement")
                .with_subject(service.clone())
                .with("models", planner.summary());
            effects.push(effect::Effect::Record(decision));
        }
    }

    /// Sends orders again that got no response. Their precondition is the same, so none takes effect twice.
    fn resend(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        for engine in self.engines.values_mut() {
            let pending_orders = engine
                .model_order
                .iter_mut()
                .chain(&mut engine.adapter_orders);
            for pending in pending_orders {
                if pending.delivery == engine::Delivery::Unknown
                    && now.since(pending.sent_at) >= RESEND_DELAY
                {
                    pending.delivery = engine::Delivery::Sent;
                    pending.sent_at = now;
                    pending.order.epoch = self.epoch;
                    effects.push(effect::Effect::Order(pending.order.clone()));
                }
            }
        }
    }

    /// Sends the orders that the current demand calls for.
    fn order(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        let mut orders = 0;
        while orders < MAX_ORDERS_PER_TICK {
            let step = self.services.iter().find_map(|(service, spec)| {
                let planner = plan::Planner::new(now, self, service, spec);
                planner.adapter_step().or_else(|| planner.model_step())
            });
            let Some(step) = step else {
                break;
            };
            self.send(now, step, effects);
            orders += 1;
        }
        self.place_by_work(now, MAX_ORDERS_PER_TICK - orders, effects);
        if now.since(self.preloaded_at) >= PRELOAD_INTERVAL {
            self.preloaded_at = now;
            let services = self.services.iter();
            let steps: Vec<_> = services
                .flat_map(|(service, spec)| {
                    plan::Planner::new(now, self, service, spec).preload_steps()
                })
                .collect();
            for step in steps {
                self.send(now, step, effects);
            }
        }
    }

    fn send(&mut self, now: clock::Instant, step: plan::Step, effects: &mut Vec<effect::Effect>) {
        let Some(engine) = self.engines.get_mut(&step.engine) else {
            return;
        };
        let Some(sequence) = engine.sequence else {
            return;
        };
        self.order_count += 1;
        let order = order::Order {
            number: self.order_count,
            engine: step.engine.clone(),
            address: engine.registration.address,
            operation: step.operation,
            model: step.model,
            adapter: step.adapter,
            sequence,
            epoch: self.epoch,
        };
        let pending = engine::Pending {
            order: order.clone(),
            sent_at: now,
            ready_at: now + step.duration,
            delivery: engine::Delivery::Sent,
        };
        engine.last_order_at = now;
        if order.adapter.is_some() {
            engine.adapter_orders.push(pending);
        } else {
            engine.model_order = Some(pending);
        }
        if order.adapter.is_none() {
            engine.replacement = step.replacement;
        }
        if step.from_store {
            self.store_loads.push_back(now);
        }
        let decision = timeline::Decision::new("ordered")
            .with_subject(step.engine)
            .with("operation", order.operation.as_str())
            .with("model", &order.model)
            .with_some("adapter", order.adapter.as_ref())
            .with("sequence", sequence)
            .with("epoch", self.epoch)
            .with("from_store", step.from_store);
        effects.push(effect::Effect::Record(decision));
        effects.push(effect::Effect::Order(order));
    }

    /// Returns whether another load from the weight store may begin when it allows `per_second` loads per second.
    pub(super) fn may_load_from_store(&self, _now: clock::Instant, per_second: f64) -> bool {
        let max_loads = per_second * self.options.load_window.as_secs_f64();
        (self.store_loads.len() as f64) + 1.0 <= max_loads.max(1.0)
    }

    /// Returns the demands with waiting requests, from recent reports.
    fn waiting(&self, now: clock::Instant) -> impl Iterator<Item = &relay::Demand> {
        self.hosts
            .values()
            .filter(move |host| now.since(host.received_at) < MAX_REPORT_AGE)
            .flat_map(|host| &host.report.demands)
            .filter(|demand| demand.waiting > 0)
    }

    /// Returns the number of waiting requests for each model of a service.
    pub(super) fn waiting_by_model(
        &self,
        now: clock::Instant,
        service: &name::Name,
    ) -> plan::Waiting {
        let mut waiting = plan::Waiting::new();
        for demand in self
            .waiting(now)
            .filter(|demand| demand.service == *service)
        {
            let count: &mut u32 = waiting.entry(demand.model.clone()).or_default();
            *count = count.saturating_add(demand.waiting);
        }
        waiting
    }

    /// Returns the models and adapters of a service that requests wait for.
    pub(super) fn awaited_adapters(
        &self,
        now: clock::Instant,
        service: &name::Name,
    ) -> collections::BTreeSet<(name::Name, name::Name)> {
        self.waiting(now)
            .filter(|demand| demand.service == *service)
            .filter_map(|demand| Some((demand.model.clone(), demand.adapter.clone()?)))
            .collect()
    }
}
