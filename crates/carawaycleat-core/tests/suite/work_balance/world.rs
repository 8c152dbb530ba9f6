//! Hosts in front of engines, with views of the coordinator that are 0.35 s old.

use std::collections;

use carawaycleat_core::clock;
use carawaycleat_core::relay;

use super::engine;
use crate::relay_fake;

const WARM_UP_MS: u64 = 3_000;
const END_MS: u64 = 12_000;
const OBJECTIVE_MS: u64 = 250;
/// The time between two views of a host; they show the other hosts as of their last reports.
const VIEW_MS: u64 = 350;
/// The first one is at all engines.
const MODELS: [&str; 2] = ["small", "large"];
const LARGE_SHARE: f64 = 0.4;

pub(super) struct Load<'a> {
    pub(super) hosts: usize,
    pub(super) speeds: &'a [f64],
    pub(super) is_one_slowed: bool,
    /// The cost of the model that all engines hold; that of the other one is 1.
    pub(super) small_cost: f64,
    /// How many engines hold the other model, which 40% of the requests ask for.
    pub(super) large_engines: usize,
    pub(super) kinds: &'a [super::Kind],
}

pub(super) struct Outcome {
    /// The share of requests whose first event arrived within the objective.
    pub(super) within: f64,
    /// The mean number of requests at the busiest engine over that of all.
    pub(super) busiest: f64,
    /// The share of requests sent to another availability zone.
    pub(super) remote: f64,
    pub(super) mean_ms: f64,
}

struct Request {
    arrived: u64,
    kind: super::Kind,
    cost: f64,
    first: Option<u64>,
}

struct World<'a> {
    now_ms: u64,
    hosts: Vec<relay::Reducer>,
    reports: Vec<relay::Report>,
    engines: Vec<engine::Engine>,
    requests: collections::HashMap<u64, Request>,
    load: &'a Load<'a>,
    sent: u64,
    sent_remote: u64,
}

fn zone(index: usize) -> String {
    format!("zone-{}", index % 3)
}

/// Returns the models that an engine holds.
fn held(load: &Load<'_>, engine: usize) -> &'static [&'static str] {
    match engine < load.large_engines {
        true => &MODELS,
        false => &MODELS[..1],
    }
}

fn engine_name(index: usize) -> String {
    format!("engine-{index}")
}

impl World<'_> {
    fn now(&self) -> clock::Instant {
        clock::Instant::from_millis(100_000 + self.now_ms)
    }

    fn feed(&mut self, host: usize, event: relay::Event) {
        let now = self.now();
        for effect in self.hosts[host].step(now, event) {
            let relay::Effect::Command(id, relay::Command::Send(dispatch)) = effect else {
                continue;
            };
            let index: usize = dispatch.upstream.as_str()[7..].parse().expect("an index");
            let request = &self.requests[&id];
            let (prompt, events, _) = request.kind;
            self.engines[index].queue.push_back(engine::Run {
                host,
                id,
                attempt: dispatch.attempt,
                prompt: prompt as f64,
                events,
                cost: request.cost,
                tokens: 0,
            });
            self.sent += 1;
            self.sent_remote += u64::from(index % 3 != host % 3);
        }
    }

    fn arrive(&mut self, host: usize, id: u64, kind: super::Kind, random: &mut fastrand::Rng) {
        let (model, cost) = match random.f64() < LARGE_SHARE {
            true => (MODELS[1], 1.0),
            false => (MODELS[0], self.load.small_cost),
        };
        let request = Request {
            arrived: self.now_ms,
            kind,
            cost,
            first: None,
        };
        self.requests.insert(id, request);
        let path = if kind.1 > 10 { "/live/1" } else { "/short/1" };
        let request = relay::Request {
            request_id: id.to_string(),
            model: Some(relay_fake::name(model)),
            fingerprint: relay_fake::name(&id.to_string()),
            // Callers name a maximum that says little about the length.
            tokens: Some((kind.0, kind.1 * 8 * 2)),
            ..relay_fake::request(path)
        };
        self.feed(host, relay::Event::Arrived(id, Box::new(request)));
    }

    fn run_engines(&mut self) {
        let is_slow = self.load.is_one_slowed && self.now_ms % 2_000 < 500;
        for index in 0..self.engines.len() {
            let slowness = if is_slow && index == 1 { 4.0 } else { 1.0 };
            let sent = self.engines[index].advance(self.now_ms as f64, slowness);
            for (host, id, attempt, number, is_last) in sent {
                let now_ms = self.now_ms;
                if let Some(request) = self.requests.get_mut(&id)
                    && request.first.is_none()
                {
                    request.first = Some(now_ms - request.arrived);
                    let response = relay::Response {
                        status: 200,
                        not_run: false,
                        is_stream: true,
                        request_limit: None,
                        pause: None,
                    };
                    self.feed(host, relay::Event::Responded(id, attempt, response));
                }
                self.feed(
                    host,
                    relay::Event::StreamProgress(id, attempt, Some(number)),
                );
                if is_last {
                    self.feed(host, relay::Event::StreamEnded(id, attempt));
                }
            }
        }
    }

    /// Lets a host report, and gives it the view that follows from the last reports of the others.
    fn report(&mut self, host: usize) {
        let now = self.now();
        self.reports[host] = self.hosts[host].report(now, true);
        let others = || self.reports.iter().enumerate().filter(|(i, _)| *i != host);
        let views = (0..self.engines.len()).map(|index| {
            let name = relay_fake::name(&engine_name(index));
            let running = |report: &relay::Report| {
                let found = report.running.iter().find(|(id, _)| *id == name);
                found.map_or(0, |(_, count)| *count)
            };
            let work = |report: &relay::Report| {
                let found = report.work.iter().find(|(id, _, _)| *id == name);
                found.map_or((0, 0), |(_, prompt, work)| (*prompt, *work))
            };
            let other_requests = others().map(|(_, report)| running(report)).sum();
            let taken: u32 = self.reports.iter().map(running).sum();
            let free = (engine::SLOTS as u32).saturating_sub(taken);
            relay::EngineView {
                models: held(self.load, index)
                    .iter()
                    .map(|model| relay_fake::name(model))
                    .collect(),
                loading: Vec::new(),
                unloading: Vec::new(),
                adapters: Vec::new(),
                other_requests,
                usable_slots: free.div_ceil(2),
                other_prompt_ms: others().map(|(_, report)| work(report).0).sum(),
                other_work_ms: others().map(|(_, report)| work(report).1).sum(),
                upstream: name,
            }
        });
        let view = relay_fake::view(views.collect());
        self.feed(host, relay::Event::ViewReceived(Box::new(view)));
    }
}

fn host(index: usize, routing: Option<relay::Routing>, load: &Load<'_>) -> relay::Reducer {
    let now = clock::Instant::from_millis(100_000);
    let mut options = relay::Options::default();
    options.policy.routing = routing.unwrap_or_default();
    let zone_name = relay_fake::name(&zone(index));
    let name = relay_fake::name(&format!("host-{index}"));
    let mut reducer = relay::Reducer::new(name, zone_name, options);
    let routes = ["/live/", "/short/"].map(|prefix| relay::Route {
        name: relay_fake::name(&prefix.replace('/', "")),
        objective: relay_fake::millis(OBJECTIVE_MS),
        resumable: false,
        timeout: relay_fake::millis(12_000),
        ..relay_fake::route(prefix, relay::Kind::Streaming, "models")
    });
    let service = relay::Service {
        max_connections: 320,
        engine: Some(relay_fake::engine(&["small", "large"])),
        cold_start: None,
        balancing: relay::Balancing::Requests,
    };
    let services = [(relay_fake::name("models"), service)];
    let workspaces = vec![relay_fake::workspace(1_000_000_000)];
    let services = services.into_iter().collect();
    let config = relay::Config::new(1, routes.to_vec(), services, workspaces, None);
    let balancing = match routing {
        Some(_) => relay::Balancing::Requests,
        None => relay::Balancing::Work,
    };
    let config = config.with_balancing(balancing);
    reducer.step(now, relay::Event::Configured(Box::new(config)));
    reducer.step(now, relay::Event::ConfigConfirmed(now));
    for engine in 0..load.speeds.len() {
        let models = held(load, engine);
        let mut registration = relay_fake::registration(&engine_name(engine), "models", models);
        registration.slots = engine::SLOTS as u32;
        registration.zone = relay_fake::name(&zone(engine));
        reducer.step(now, relay::Event::UpstreamUpdated(Box::new(registration)));
    }
    reducer
}

pub(super) fn play(load: &Load<'_>, routing: Option<relay::Routing>, seed: u64) -> Outcome {
    let mut hosts: Vec<_> = (0..load.hosts)
        .map(|index| host(index, routing, load))
        .collect();
    let now = clock::Instant::from_millis(100_000);
    for host in &mut hosts {
        host.step(now, relay::Event::HostsChanged(load.hosts));
    }
    let reports = hosts
        .iter_mut()
        .map(|host| host.report(now, true))
        .collect();
    let mut world = World {
        now_ms: 0,
        hosts,
        reports,
        engines: load
            .speeds
            .iter()
            .map(|speed| engine::Engine::new(*speed))
            .collect(),
        requests: collections::HashMap::new(),
        load,
        sent: 0,
        sent_remote: 0,
    };
    let mut random = fastrand::Rng::with_seed(seed);
    let mut next = 0;
    let mut counts = vec![0.0; load.speeds.len()];
    while world.now_ms < END_MS {
        world.now_ms += 1;
        world.run_engines();
        for kind in load.kinds {
            if random.f64() < kind.2 / 1_000.0 {
                next += 1;
                let host = random.usize(..load.hosts);
                world.arrive(host, next, *kind, &mut random);
            }
        }
        for host in 0..load.hosts {
            if (world.now_ms + host as u64 * 13).is_multiple_of(VIEW_MS) {
                world.report(host);
            }
            if (world.now_ms + host as u64).is_multiple_of(25) {
                let now = world.now();
                world.feed(host, relay::Event::ConfigConfirmed(now));
                world.feed(host, relay::Event::Tick);
            }
        }
        if world.now_ms > WARM_UP_MS {
            for (count, engine) in counts.iter_mut().zip(&world.engines) {
                *count += engine.count() as f64;
            }
        }
    }
    let measured = |request: &&Request| (WARM_UP_MS..END_MS - 1_000).contains(&request.arrived);
    let requests: Vec<_> = world.requests.values().filter(measured).collect();
    let is_within = |request: &&&Request| request.first.is_some_and(|first| first <= OBJECTIVE_MS);
    let firsts: Vec<_> = requests
        .iter()
        .filter_map(|request| request.first)
        .collect();
    let mean = counts.iter().sum::<f64>() / counts.len() as f64;
    Outcome {
        within: requests.iter().filter(is_within).count() as f64 / requests.len() as f64,
        busiest: counts.iter().copied().fold(0.0, f64::max) / mean,
        remote: world.sent_remote as f64 / world.sent as f64,
        mean_ms: firsts.iter().sum::<u64>() as f64 / firsts.len().max(1) as f64,
    }
}
