//! Engines that are silent for a while, as hosts report them to the coordinator.

use carawaycleat_core::coordinator;
use carawaycleat_core::relay;

use crate::coordinator as fake;
use crate::relay_fake;

/// The models, each held by one engine.
const MODELS: [&str; 3] = ["small", "large", "rare"];
/// The number of engines that fail: those of the first models.
const FAILED_ENGINES: usize = 2;
/// The time for which a connection is waited for.
const CONNECT_TIMEOUT_MS: u64 = 350;
/// The interval of the reports, of the coordinator's probes, and of the requests for each model.
const INTERVAL_MS: u64 = 100;

/// What happens when a host connects to an engine.
#[derive(Clone, Copy, Debug)]
enum Engine {
    Sound,
    Silent,
    Refusing,
}

struct Fleet {
    coordinator: fake::Harness,
    hosts: Vec<relay_fake::Harness>,
    orders: Vec<coordinator::Order>,
    /// Whether a view named an upstream that all hosts should avoid.
    has_suspects: bool,
}

impl Fleet {
    /// Returns three hosts and a coordinator that know an engine for each model, and an empty one.
    fn new() -> Self {
        // Without loads for demand, only models without a replica are loaded.
        let mut coordinator = fake::Harness::new(&MODELS);
        coordinator.reducer = coordinator::Reducer::new(coordinator::Options {
            rebalances: false,
            ..coordinator::Options::default()
        });
        coordinator.configure(relay_fake::engine(&MODELS));
        coordinator.feed(coordinator::Event::Elected(41));
        coordinator.advance(6_000);
        let options = relay::Options::default();
        let mut hosts: Vec<_> = ["host-1", "host-2", "host-3"]
            .iter()
            .map(|host| relay_fake::Harness::of_host(host, options.clone()))
            .collect();
        coordinator.add_engine("engine-empty", &[]);
        for model in MODELS {
            let id = format!("engine-{model}");
            coordinator.add_engine(&id, &[model]);
            for host in &mut hosts {
                host.register(relay_fake::registration(&id, "models", &[model]));
            }
        }
        Self {
            coordinator,
            hosts,
            orders: Vec::new(),
            has_suspects: false,
        }
    }

    /// Sends requests for all models for `span_ms`. The engines that fail behave as `state` says, at all hosts or at the
    /// first one only.
    fn run(&mut self, span_ms: u64, state: Engine, is_everywhere: bool) {
        let mut attempts = Vec::new();
        for elapsed in (0..span_ms).step_by(INTERVAL_MS as usize) {
            for index in 0..self.hosts.len() {
                let state = match index == 0 || is_everywhere {
                    true => state,
                    false => Engine::Sound,
                };
                self.send(index, elapsed, state, &mut attempts);
                self.report(index);
            }
            attempts.retain(|(host, id, ends): &(usize, relay::Id, u64)| {
                let is_over = elapsed >= *ends;
                if is_over && self.hosts[*host].is_sent(*id) {
                    fail(&mut self.hosts[*host], *id, relay::Failure::Unconnected);
                }
                !is_over
            });
            let skipped = if is_everywhere { FAILED_ENGINES } else { 0 };
            for model in MODELS.iter().skip(skipped) {
                let id = format!("engine-{model}");
                self.coordinator.probe(&id, fake::status(&[model], 0));
            }
            self.orders.extend(self.coordinator.tick());
            self.coordinator.advance(INTERVAL_MS);
        }
    }

    /// Lets a request for each model arrive at a host.
    fn send(
        &mut self,
        index: usize,
        elapsed: u64,
        state: Engine,
        attempts: &mut Vec<(usize, relay::Id, u64)>,
    ) {
        let host = &mut self.hosts[index];
        host.advance(relay_fake::millis(INTERVAL_MS));
        for (position, model) in MODELS.iter().enumerate() {
            let mut request = relay_fake::request("/live/1");
            request.model = Some(relay_fake::name(model));
            let id = host.arrive(request);
            if !host.is_sent(id) {
                continue;
            }
            let state = if position < FAILED_ENGINES {
                state
            } else {
                Engine::Sound
            };
            match state {
                Engine::Silent => attempts.push((index, id, elapsed + CONNECT_TIMEOUT_MS)),
                Engine::Refusing => fail(host, id, relay::Failure::Refused),
                Engine::Sound => {
                    let attempt = host.begin_stream(id);
                    host.feed(relay::Event::StreamProgress(id, attempt, Some(1)));
                    host.feed(relay::Event::StreamEnded(id, attempt));
                }
            }
        }
    }

    /// Sends the report of a host to the coordinator, and the response back.
    fn report(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let report = host.reducer.report(host.now, true);
        let name = report.host.clone();
        self.coordinator
            .feed(coordinator::Event::Reported(Box::new(report)));
        let view = self
            .coordinator
            .reducer
            .respond(self.coordinator.now, &name);
        self.has_suspects |= !view.suspects.is_empty();
        self.hosts[index].feed(relay::Event::ViewReceived(Box::new(view)));
    }

    fn loads(&self) -> usize {
        let is_load = |order: &&coordinator::Order| order.operation == coordinator::Operation::Load;
        self.orders.iter().filter(is_load).count()
    }
}

fn fail(host: &mut relay_fake::Harness, request: relay::Id, failure: relay::Failure) {
    let attempt = host.dispatch(request).attempt;
    host.feed(relay::Event::AttemptFailed {
        request,
        attempt,
        failure,
    });
}

/// Pattern: half of the engines are silent for 1.2 s, for one host or for all hosts and the coordinator. Guards against
/// models that count as missing and are loaded elsewhere, and against hosts that are told to avoid these engines.
#[yare::parameterized(
    for_one_host = { false },
    for_all = { true },
)]
fn short_silence_changes_no_placement(is_everywhere: bool) {
    let mut fleet = Fleet::new();
    fleet.run(600, Engine::Sound, is_everywhere);
    let before = fleet.loads();
    fleet.run(1_200, Engine::Silent, is_everywhere);
    fleet.run(400, Engine::Sound, is_everywhere);
    assert!(!fleet.has_suspects);
    assert_eq!(fleet.loads(), before);
}

/// Pattern: half of the engines go dark, or their processes are gone. Guards against models without a replica that are not
/// loaded elsewhere because a short silence is no reason for it.
#[yare::parameterized(
    dark = { Engine::Silent, 5_000 },
    refusing = { Engine::Refusing, 1_000 },
)]
fn lost_engines_are_replaced(state: Engine, within_ms: u64) {
    let mut fleet = Fleet::new();
    fleet.run(600, Engine::Sound, true);
    let before = fleet.loads();
    fleet.run(within_ms, state, true);
    assert!(fleet.has_suspects);
    assert!(fleet.loads() > before);
}
