use std::collections;
use std::time;

use super::effect;
use super::engine;
use super::event;
use super::options;
use super::order;
use super::plan;
use super::room;
use super::share;
use crate::clock;
use crate::meter;
use crate::name;
use crate::relay;
use crate::timeline;

/// The most orders that one step sends.
const MAX_STEPS: usize = 24;
/// The time between two looks at which engines have places for adapters that nothing waits for.
const FILL_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// How long demand for an adapter or model is remembered.
const DEMAND_MEMORY: time::Duration = time::Duration::from_secs(60);
/// The time from the expected end of a load until hosts know of it, in milliseconds.
const EXPECTED_SLACK_MS: u64 = 50;
/// The time between two probes of an engine whose order should be complete.
const SETTLE_INTERVAL: time::Duration = time::Duration::from_millis(150);
/// The hosts that have to get no answers from an upstream before all avoid it, as a part of the hosts and in number.
const SUSPICION_PART: usize = 8;
const MIN_SUSPICION: usize = 2;
/// The time between two log lines about the placement.
const LOG_INTERVAL: time::Duration = time::Duration::from_millis(1_000);
/// The time before an order without an answer is sent again.
const RESEND: time::Duration = time::Duration::from_millis(40);
/// The conflicts in a row after which an engine is asked for its state.
const MAX_CONFLICTS: u32 = 4;
/// The time for which an engine that refused an order gets no other.
const REFUSED_PAUSE: time::Duration = time::Duration::from_millis(1_000);
/// The hosts from which on a coordinator that hears less than half of them resigns. Of two hosts, neither can tell which
/// one is cut off.
const MIN_HOSTS: usize = 3;
/// The time without a report after which as much of the allowances is kept back as the host uses by itself.
const ALONE_SILENCE: time::Duration = time::Duration::from_millis(1_000);
/// The engines up to which each view tells about all of them. In a larger fleet a view that is wanted at once tells only
/// about the engines that hold what requests wait for.
const FEW_ENGINES: usize = 16;
/// The time for which reported demand counts without a newer report.
const REPORT_AGE: time::Duration = time::Duration::from_millis(1_500);

#[derive(Debug)]
struct Host {
    report: relay::Report,
    at: clock::Instant,
}

/// Everything that the coordinator decides.
#[derive(Debug)]
pub struct Reducer {
    pub(super) options: options::Options,
    epoch: u64,
    /// When this host became the coordinator, while it is.
    elected: Option<clock::Instant>,
    services: collections::BTreeMap<name::Name, relay::EngineSpec>,
    pub(super) engines: collections::BTreeMap<name::Name, engine::Engine>,
    hosts: collections::BTreeMap<name::Name, Host>,
    pub(super) models: meter::Meter<(name::Name, name::Name)>,
    pub(super) adapters: meter::Meter<(name::Name, name::Name, name::Name)>,
    shares: share::Shares,
    rooms: room::Rooms,
    suspects: collections::HashSet<name::Name>,
    /// When loads from the weight store were ordered.
    loads: collections::VecDeque<clock::Instant>,
    orders: u64,
    /// When demand was reported first.
    pub(super) asked: Option<clock::Instant>,
    /// When engines were last given adapters that nothing waits for.
    filled: clock::Instant,
    logged: clock::Instant,
}

impl Reducer {
    /// Returns the reducer of a host that has not been elected yet.
    #[must_use]
    pub fn new(options: options::Options) -> Self {
        Self {
            options,
            epoch: 0,
            elected: None,
            services: collections::BTreeMap::new(),
            engines: collections::BTreeMap::new(),
            hosts: collections::BTreeMap::new(),
            models: meter::Meter::default(),
            adapters: meter::Meter::default(),
            shares: share::Shares::default(),
            rooms: room::Rooms::default(),
            suspects: collections::HashSet::new(),
            loads: collections::VecDeque::new(),
            orders: 0,
            asked: None,
            filled: clock::Instant::default(),
            logged: clock::Instant::default(),
        }
    }

    /// Takes up an event and returns what is to be done.
    pub fn step(&mut self, now: clock::Instant, event: event::Event) -> Vec<effect::Effect> {
        let mut effects = Vec::new();
        match event {
            event::Event::Elected(epoch) => self.elected(now, epoch),
            event::Event::Resumed(epoch) => self.epoch = epoch,
            event::Event::Configured {
                services,
                workspaces,
            } => {
                self.services = services.into_iter().collect();
                self.shares.configure(now, workspaces);
            }
            event::Event::HostsChanged(hosts) => self.shares.set_hosts(hosts),
            event::Event::UpstreamUpdated(sighting) => self.see(now, *sighting),
            event::Event::UpstreamRemoved(id) => {
                self.engines.remove(&id);
            }
            event::Event::Reported(report) => self.hear(now, *report),
            event::Event::Probed(id, status) => self.probed(now, &id, *status),
            event::Event::OrderResolved(id, number, outcome) => {
                self.settle(now, &id, number, outcome, &mut effects);
            }
            event::Event::Tick { may_order } => {
                self.tick(now, may_order, &mut effects);
            }
        }
        effects
    }

    /// Forgets what only the coordinator of the time knew. Loads that a predecessor ordered are not known, so the
    /// window of loads begins half full.
    fn elected(&mut self, now: clock::Instant, epoch: u64) {
        self.epoch = epoch;
        self.elected = Some(now);
        self.hosts.clear();
        self.rooms = room::Rooms::default();
        self.shares.restart(now);
        let sightings: Vec<_> = self
            .engines
            .values()
            .map(|engine| engine.sighting.clone())
            .collect();
        self.engines.clear();
        for sighting in sightings {
            self.see(now, sighting);
        }
        let per_second = self.services.values().map(|spec| spec.loads_per_second);
        let per_second = per_second.fold(0.0, f64::max);
        let half = (per_second * self.options.load_window.as_secs_f64() / 2.0).ceil();
        self.loads = std::iter::repeat_n(now, half as usize).collect();
        self.asked = None;
    }

    fn see(&mut self, now: clock::Instant, sighting: relay::Registration) {
        let id = sighting.id.clone();
        match self.engines.get_mut(&id) {
            Some(engine) => engine.update(now, sighting),
            None => {
                self.engines.insert(id, engine::Engine::new(now, sighting));
            }
        }
    }

    fn hear(&mut self, now: clock::Instant, report: relay::Report) {
        if !report.demands.is_empty() {
            self.asked.get_or_insert(now);
        }
        for ask in &report.demands {
            let model = (ask.service.clone(), ask.model.clone());
            self.models.add(now, &model, ask.tokens as f64);
            if let Some(adapter) = &ask.adapter {
                let (service, model) = model;
                let key = (service, model, adapter.clone());
                self.adapters.add(now, &key, ask.tokens.max(1) as f64);
            }
        }
        self.shares.record(now, &report.host, &report.usage);
        self.rooms.hear(&report);
        let host = report.host.clone();
        self.hosts.insert(host, Host { report, at: now });
    }

    fn probed(&mut self, now: clock::Instant, id: &name::Name, status: event::Status) {
        let lag = self.options.report_lag;
        if let Some(engine) = self.engines.get_mut(id) {
            engine.probe(now, status, lag);
        }
    }

    fn settle(
        &mut self,
        now: clock::Instant,
        id: &name::Name,
        number: u64,
        outcome: event::Outcome,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let about_adapter = engine
            .adapter_orders
            .iter()
            .position(|open| open.order.number == number);
        let order = match about_adapter {
            Some(at) => engine.adapter_orders[at].order.clone(),
            None => match &engine.open {
                Some(open) if open.order.number == number => open.order.clone(),
                _ => return,
            },
        };
        let decision = timeline::Decision::new("order_settled")
            .at(id.clone())
            .with("outcome", outcome.as_str())
            .with("operation", order.operation.as_str())
            .with("model", &order.model)
            .with_some("adapter", order.adapter.as_ref())
            .with("sequence", order.sequence);
        effects.push(effect::Effect::Record(decision));
        engine.last_order = now;
        if matches!(
            outcome,
            event::Outcome::Accepted | event::Outcome::Completed
        ) {
            engine.conflicts = 0;
        }
        match (outcome, about_adapter) {
            (event::Outcome::Unknown, Some(at)) => {
                engine.adapter_orders[at].state = engine::OpenState::Unknown;
                engine.adapter_orders[at].sent = now;
            }
            (event::Outcome::Unknown, None) => {
                if let Some(open) = &mut engine.open {
                    open.state = engine::OpenState::Unknown;
                    open.sent = now;
                }
            }
            (event::Outcome::Accepted | event::Outcome::Completed, Some(at)) => {
                engine.adapter_orders.remove(at);
                engine.sequence = Some(order.sequence + 1);
                if let Some(adapter) = order.adapter {
                    let key = (order.model, adapter);
                    match order.operation {
                        order::Operation::Load => {
                            engine.coming.insert(key, now);
                        }
                        order::Operation::Unload => {
                            engine.adapters.remove(&key);
                        }
                    }
                }
            }
            (event::Outcome::Accepted, None) => {
                engine.sequence = Some(order.sequence + 1);
                engine.busy = true;
                if let Some(open) = &mut engine.open {
                    open.state = engine::OpenState::Accepted;
                }
            }
            (event::Outcome::Completed, None) => {
                engine.open = None;
                engine.sequence = None;
            }
            (event::Outcome::Conflict, at) => {
                if let Some(at) = at {
                    engine.adapter_orders.remove(at);
                    // Engines keep an adapter that a request uses, so another one is tried next.
                    let key = order.adapter.map(|adapter| (order.model, adapter));
                    if let Some(used) = key.and_then(|key| engine.adapters.get_mut(&key)) {
                        *used = now;
                    }
                } else {
                    engine.open = None;
                }
                // Most often another order is just ending; the condition keeps a repeat harmless.
                engine.conflicts += 1;
                engine.blocked_until = now + self.options.conflict_backoff;
                if engine.conflicts >= MAX_CONFLICTS {
                    engine.conflicts = 0;
                    engine.sequence = None;
                    engine.successor = None;
                }
            }
            (event::Outcome::Refused, at) => {
                if let Some(at) = at {
                    engine.adapter_orders.remove(at);
                } else {
                    engine.open = None;
                }
                engine.sequence = None;
                engine.blocked_until = now + REFUSED_PAUSE;
            }
        }
    }

    fn tick(&mut self, now: clock::Instant, may_order: bool, effects: &mut Vec<effect::Effect>) {
        let silence = self.options.host_timeout;
        self.hosts.retain(|_, host| now.since(host.at) < silence);
        self.rooms.retain(|host| self.hosts.contains_key(host));
        self.models.remove_idle(now, DEMAND_MEMORY);
        self.adapters.remove_idle(now, DEMAND_MEMORY);
        let window = self.options.load_window;
        while self
            .loads
            .front()
            .is_some_and(|load| now.since(*load) >= window)
        {
            self.loads.pop_front();
        }
        self.find_suspects(now);
        self.probe(now, effects);
        for engine in self.engines.values_mut() {
            engine.settle_adapters(now);
        }
        if now.since(self.logged) >= LOG_INTERVAL {
            self.logged = now;
            self.log_placement(now, effects);
        }
        if self.is_isolated(now) {
            self.elected = None;
            let decision = timeline::Decision::new("isolated")
                .with("heard", self.hosts.len() as u64)
                .with("hosts", self.shares.hosts() as u64);
            effects.push(effect::Effect::Record(decision));
            effects.push(effect::Effect::Resign);
        } else if may_order {
            self.resend(now, effects);
            self.order(now, effects);
        }
    }

    /// Returns whether most hosts cannot reach this one. The hosts that are heard have reported lately.
    fn is_isolated(&self, now: clock::Instant) -> bool {
        let hosts = self.shares.hosts();
        let had_time = self
            .elected
            .is_some_and(|elected| now.since(elected) >= self.options.host_timeout);
        had_time && hosts >= MIN_HOSTS && self.hosts.len() * 2 < hosts
    }

    fn probe(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        let services = &self.services;
        for (id, engine) in &mut self.engines {
            if !services.contains_key(&engine.sighting.service) {
                continue;
            }
            let settling = engine.sequence.is_none()
                || engine.open.as_ref().is_some_and(|open| now >= open.ready)
                || !engine.adapter_orders.is_empty();
            let interval = if settling {
                SETTLE_INTERVAL
            } else {
                self.options.probe_interval
            };
            if now.since(engine.probed) >= interval {
                engine.probed = now;
                let address = engine.sighting.address;
                effects.push(effect::Effect::Probe(id.clone(), address));
            }
        }
    }

    /// Logs the demand, copies and waiting requests of each model that is asked for.
    fn log_placement(&self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        for (service, spec) in &self.services {
            let plan = plan::Plan::new(now, self, service, spec);
            let decision = timeline::Decision::new("placement")
                .at(service.clone())
                .with("models", plan.summary());
            effects.push(effect::Effect::Record(decision));
        }
    }

    /// Sends orders again that got no answer. The same condition keeps them from taking effect twice.
    fn resend(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        for engine in self.engines.values_mut() {
            let open = engine.open.iter_mut().chain(&mut engine.adapter_orders);
            for open in open {
                if open.state == engine::OpenState::Unknown && now.since(open.sent) >= RESEND {
                    open.state = engine::OpenState::Sent;
                    open.sent = now;
                    open.order.epoch = self.epoch;
                    effects.push(effect::Effect::Order(open.order.clone()));
                }
            }
        }
    }

    fn order(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        for _ in 0..MAX_STEPS {
            let step = self.services.iter().find_map(|(service, spec)| {
                let plan = plan::Plan::new(now, self, service, spec);
                plan.adapter_step().or_else(|| plan.model_step())
            });
            let Some(step) = step else {
                break;
            };
            self.send(now, step, effects);
        }
        if now.since(self.filled) >= FILL_INTERVAL {
            self.filled = now;
            let services = self.services.iter();
            let steps: Vec<_> = services
                .flat_map(|(service, spec)| {
                    plan::Plan::new(now, self, service, spec).spare_adapters()
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
        self.orders += 1;
        let order = order::Order {
            number: self.orders,
            engine: step.engine.clone(),
            address: engine.sighting.address,
            operation: step.operation,
            model: step.model,
            adapter: step.adapter,
            sequence,
            epoch: self.epoch,
        };
        let open = engine::Open {
            order: order.clone(),
            sent: now,
            ready: now + step.time,
            state: engine::OpenState::Sent,
        };
        engine.last_order = now;
        if order.adapter.is_some() {
            engine.adapter_orders.push(open);
        } else {
            engine.open = Some(open);
        }
        if order.adapter.is_none() {
            engine.successor = step.successor;
        }
        if step.from_store {
            self.loads.push_back(now);
        }
        let decision = timeline::Decision::new("ordered")
            .at(step.engine)
            .with("operation", order.operation.as_str())
            .with("model", &order.model)
            .with_some("adapter", order.adapter.as_ref())
            .with("sequence", sequence)
            .with("epoch", self.epoch)
            .with("from_store", step.from_store);
        effects.push(effect::Effect::Record(decision));
        effects.push(effect::Effect::Order(order));
    }

    /// Returns whether another load from the weight store may begin.
    pub(super) fn loads_left(&self, _now: clock::Instant, per_second: f64) -> bool {
        let most = per_second * self.options.load_window.as_secs_f64();
        (self.loads.len() as f64) + 1.0 <= most.max(1.0)
    }

    /// Returns whether hosts get no answers from an upstream.
    pub(super) fn is_suspect(&self, id: &name::Name) -> bool {
        self.suspects.contains(id)
    }

    /// Finds the upstreams that half of the hosts get no answers from.
    fn find_suspects(&mut self, now: clock::Instant) {
        let fresh = self
            .hosts
            .values()
            .filter(|host| now.since(host.at) < REPORT_AGE);
        let mut counts = collections::HashMap::<&name::Name, usize>::new();
        let mut hosts = 0;
        for host in fresh {
            hosts += 1;
            for id in &host.report.suspects {
                *counts.entry(id).or_default() += 1;
            }
        }
        // Most hosts of a large fleet send little to one upstream, so few of them notice.
        let enough = (hosts / SUSPICION_PART).max(MIN_SUSPICION).min(hosts);
        let suspects = counts
            .into_iter()
            .filter(|(_, count)| *count >= enough.max(1));
        self.suspects = suspects.map(|(id, _)| id.clone()).collect();
    }

    fn waiting(&self, now: clock::Instant) -> impl Iterator<Item = &relay::Demand> {
        self.hosts
            .values()
            .filter(move |host| now.since(host.at) < REPORT_AGE)
            .flat_map(|host| &host.report.demands)
            .filter(|ask| ask.waiting > 0)
    }

    pub(super) fn waiting_for_models(
        &self,
        now: clock::Instant,
        service: &name::Name,
    ) -> plan::Waiting {
        let mut waiting = plan::Waiting::new();
        for ask in self.waiting(now).filter(|ask| ask.service == *service) {
            *waiting.entry(ask.model.clone()).or_default() += ask.waiting;
        }
        waiting
    }

    pub(super) fn waiting_for_adapters(
        &self,
        now: clock::Instant,
        service: &name::Name,
    ) -> collections::BTreeSet<(name::Name, name::Name)> {
        self.waiting(now)
            .filter(|ask| ask.service == *service)
            .filter_map(|ask| Some((ask.model.clone(), ask.adapter.clone()?)))
            .collect()
    }

    /// Returns the answer to the last report of `host`, and grants what it wants.
    pub fn respond(&mut self, now: clock::Instant, host: &name::Name) -> relay::View {
        let reporting: Vec<_> = self
            .hosts
            .iter()
            .filter(|(_, host)| now.since(host.at) < ALONE_SILENCE)
            .map(|(name, _)| name.clone())
            .collect();
        let (number, full, wants) = match self.hosts.get_mut(host) {
            Some(host) => {
                let wants = std::mem::take(&mut host.report.token_requests);
                (host.report.number, host.report.full, wants)
            }
            None => (0, true, Vec::new()),
        };
        let grants = self.shares.grant(now, &wants, &reporting);
        self.promise(host);
        let expected = self.expected(now);
        let placed = self.placed(now, host, full);
        relay::View {
            epoch: self.epoch,
            report_number: number,
            grants,
            full,
            suspects: self.suspects.iter().cloned().collect(),
            shares: self.shares.of(now, host, &reporting),
            engines: placed,
            ready_in_ms: expected,
        }
    }

    /// Returns the time until each model that is being loaded is there, in milliseconds.
    fn expected(&self, now: clock::Instant) -> Vec<(name::Name, u64)> {
        let mut expected = collections::BTreeMap::new();
        for engine in self.engines.values() {
            if let Some((model, ready)) = engine.loading() {
                let left = millis(now, ready) + EXPECTED_SLACK_MS;
                let entry = expected.entry(model.clone()).or_insert(left);
                *entry = left.min(*entry);
            }
        }
        expected.into_iter().collect()
    }

    /// Promises a place to each waiting request of `host` for which there is one, at the engine with the most free
    /// places.
    fn promise(&mut self, host: &name::Name) {
        let Some(known) = self.hosts.get(host) else {
            return;
        };
        for ask in known.report.demands.iter().filter(|ask| ask.waiting > 0) {
            let Some(spec) = self.services.get(&ask.service) else {
                continue;
            };
            for _ in 0..ask.waiting {
                let holders = self.engines.iter().filter(|(_, engine)| engine.runs(ask));
                let free = holders.map(|(id, engine)| {
                    let slots = engine.slots(spec);
                    (self.rooms.free(id, slots), id)
                });
                match free.max_by_key(|(free, _)| *free) {
                    Some((1.., id)) => self.rooms.promise(host, id),
                    _ => break,
                }
            }
        }
    }

    /// Returns what `host` is to know of the engines; of those only that hold what its requests wait for, unless it
    /// wants to know of all.
    fn placed(&self, now: clock::Instant, host: &name::Name, full: bool) -> Vec<relay::EngineView> {
        let asks = self.hosts.get(host).map(|host| &host.report.demands);
        let waiting: Vec<_> = asks
            .into_iter()
            .flatten()
            .filter(|ask| ask.waiting > 0)
            .collect();
        let is_wanted = |engine: &engine::Engine| {
            let holds = |ask: &&relay::Demand| engine.models.contains_key(&ask.model);
            full || self.engines.len() <= FEW_ENGINES || waiting.iter().any(holds)
        };
        let placed = self.engines.iter().filter_map(|(id, engine)| {
            let spec = self.services.get(&engine.sighting.service)?;
            engine.answered.filter(|_| is_wanted(engine))?;
            let room = self.rooms.room(host, id, engine.slots(spec));
            Some(relay::EngineView {
                upstream: id.clone(),
                models: engine.models.keys().cloned().collect(),
                loading: engine
                    .loading()
                    .map(|(model, ready)| (model.clone(), millis(now, ready)))
                    .into_iter()
                    .collect(),
                unloading: engine.unloading().cloned().into_iter().collect(),
                adapters: engine.adapters.keys().cloned().collect(),
                other_requests: room.others,
                reserved_slots: room.free,
            })
        });
        placed.collect()
    }
}

fn millis(now: clock::Instant, until: clock::Instant) -> u64 {
    u64::try_from(until.since(now).as_millis()).unwrap_or(u64::MAX)
}
