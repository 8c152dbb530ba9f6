//! Changes of the configuration at each moment of a request, seen from its caller and its upstreams.

use std::collections;

use carawaycleat_core::clock;
use carawaycleat_core::key;
use carawaycleat_core::name;
use carawaycleat_core::relay;

use crate::relay_fake;

/// The number of events of a stream.
const EVENTS: u64 = 8;
/// How late the end of a request may be.
const MAX_DELAY_MS: u64 = 100;
/// The time limit of the routes.
const TIMEOUT_MS: u64 = 4_000;
/// The tokens per second that are too few for the requests.
const LOW_RATE: u64 = 10;

/// What a request is doing when the configuration changes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Moment {
    AwaitsTokens,
    AwaitsOrigin,
    AwaitsModel,
    AwaitsSlot,
    Sent,
    HeadReceived,
    Streaming,
    BetweenAttempts,
    Silent,
    BesideSecondAttempt,
    Whole,
}

/// What a later configuration changes.
#[derive(Clone, Copy, Debug)]
enum Change {
    NoRoutes,
    RoutesMoved,
    RoutesSplit,
    NoServices,
    TimeoutShorter,
    TimeoutLonger,
    OneAttempt,
    ManyAttempts,
    KindChanged,
    FewerSlots,
    OtherModels,
    NoModels,
    NoWorkspace,
    OtherWorkspace,
    RateLowered,
    NoBurst,
    KeyWithdrawn,
    Nothing,
}

/// Returns the configuration `version` after a change.
fn changed(version: u64, rate: u64, change: Change) -> relay::Config {
    let before = relay_fake::config(1, rate);
    let mut routes: Vec<_> = before.routes().cloned().collect();
    let services = before.services();
    let mut services: collections::BTreeMap<_, _> = services
        .map(|(name, service)| (name.clone(), service.clone()))
        .collect();
    let mut workspaces = vec![relay_fake::workspace(rate)];
    let other_key = key::Digest::of("key-two");
    match change {
        Change::NoRoutes => routes.clear(),
        Change::RoutesMoved => routes.iter_mut().for_each(|route| {
            route.targets[0].service = relay_fake::name("elsewhere");
        }),
        Change::RoutesSplit => routes.iter_mut().for_each(|route| {
            let service = relay_fake::name("elsewhere");
            route.targets.push(relay::Target { service, weight: 9 });
        }),
        Change::NoServices => services.clear(),
        Change::TimeoutShorter => set(&mut routes, |r| r.timeout = relay_fake::millis(200)),
        Change::TimeoutLonger => set(&mut routes, |r| r.timeout = relay_fake::millis(9_000)),
        Change::OneAttempt => set(&mut routes, |r| r.max_attempts = 1),
        Change::ManyAttempts => set(&mut routes, |r| r.max_attempts = 5),
        Change::KindChanged => set(&mut routes, |r| r.kind = relay::Kind::NonIdempotent),
        Change::FewerSlots => set_engine(&mut services, |engine| engine.slots = 1),
        Change::OtherModels => set_engine(&mut services, |engine| engine.models.clear()),
        Change::NoModels => services.values_mut().for_each(|s| s.engine = None),
        Change::NoWorkspace => workspaces.clear(),
        Change::OtherWorkspace => {
            workspaces[0].name = relay_fake::name("testers");
            workspaces[0].keys = vec![other_key];
        }
        Change::RateLowered => (workspaces[0].rate, workspaces[0].burst) = (1, 1),
        Change::NoBurst => workspaces[0].burst = 0,
        Change::KeyWithdrawn => workspaces[0].keys = vec![other_key],
        Change::Nothing => {}
    }
    relay::Config::new(version, routes, services, workspaces, None)
}

fn set(routes: &mut [relay::Route], change: impl Fn(&mut relay::Route)) {
    routes.iter_mut().for_each(change);
}

fn set_engine(
    services: &mut collections::BTreeMap<name::Name, relay::Service>,
    change: impl Fn(&mut relay::EngineSpec),
) {
    let engines = services.values_mut().filter_map(|s| s.engine.as_mut());
    engines.for_each(change);
}

/// An attempt in progress at an upstream.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    number: u32,
    has_head: bool,
    next_event: u64,
    silent_until: clock::Instant,
}

/// A request as its caller and its upstreams see it.
#[derive(Clone, Debug, Default)]
struct Observed {
    seen: usize,
    attempts: Vec<Attempt>,
    is_whole: bool,
    has_begun: bool,
    events: u64,
    /// Whether an upstream has sent the whole response.
    is_complete: bool,
    /// The responses that are complete, refused or cut, each with whether it was refused or cut.
    ends: Vec<bool>,
}

/// The callers and upstreams of a host.
struct World {
    harness: relay_fake::Harness,
    observed: collections::BTreeMap<relay::Id, Observed>,
    /// Whether upstreams reject what they get from now on.
    are_full: bool,
}

impl World {
    fn new(upstreams: &[&str]) -> Self {
        let mut harness = relay_fake::Harness::new();
        for id in upstreams {
            harness.register(relay_fake::registration(id, "models", &["small"]));
            let plain = format!("plain-{id}");
            harness.register(relay_fake::registration(&plain, "plain", &[]));
        }
        Self {
            harness,
            observed: collections::BTreeMap::new(),
            are_full: false,
        }
    }

    fn arrive(&mut self, request: relay::Request) -> relay::Id {
        let is_whole = request.path.starts_with("/read");
        let id = self.harness.arrive(request);
        let observed = Observed {
            is_whole,
            ..Observed::default()
        };
        self.observed.insert(id, observed);
        self.observe();
        id
    }

    /// Takes note of the commands since the last call, and checks that none follows the end of a request.
    fn observe(&mut self) {
        for (id, observed) in &mut self.observed {
            let commands = self.harness.commands.get(id).map_or(&[][..], Vec::as_slice);
            for command in &commands[observed.seen..] {
                assert!(observed.ends.is_empty(), "{command:?} after the end");
                match command {
                    relay::Command::Send(dispatch) => {
                        if !dispatch.keeps_previous {
                            observed.attempts.clear();
                        }
                        assert_eq!(dispatch.last_event.unwrap_or(0), observed.events);
                        observed.attempts.push(Attempt {
                            number: dispatch.attempt,
                            has_head: false,
                            next_event: observed.events + 1,
                            silent_until: self.harness.now,
                        });
                    }
                    relay::Command::End(number) => {
                        observed
                            .attempts
                            .retain(|attempt| attempt.number != *number);
                    }
                    relay::Command::Deliver if observed.is_complete => observed.ends.push(false),
                    relay::Command::Deliver => observed.has_begun = true,
                    relay::Command::Refuse(_) => observed.ends.push(true),
                }
            }
            observed.seen = commands.len();
        }
    }

    /// Lets each attempt make a step at its upstream.
    fn progress(&mut self) {
        let ids: Vec<_> = self.observed.keys().copied().collect();
        for id in ids {
            let attempts = self.observed[&id].attempts.clone();
            for attempt in attempts {
                let observed = &self.observed[&id];
                let is_open = observed.attempts.iter().any(|a| a.number == attempt.number);
                if is_open && observed.ends.is_empty() && attempt.silent_until <= self.harness.now {
                    self.step(id, attempt);
                    self.observe();
                }
            }
        }
    }

    fn step(&mut self, id: relay::Id, attempt: Attempt) {
        let observed = self.observed.get_mut(&id).expect("a request");
        let is_rejected = self.are_full && !attempt.has_head;
        let is_stream = !observed.is_whole && !is_rejected;
        let mut attempts = observed.attempts.iter_mut();
        let current = attempts.find(|a| a.number == attempt.number);
        let current = current.expect("an attempt in progress");
        if !attempt.has_head {
            current.has_head = true;
            if !is_stream {
                observed.is_complete = !is_rejected;
                observed.attempts.retain(|a| a.number != attempt.number);
            }
            let response = relay::Response {
                status: if is_rejected { 503 } else { 200 },
                not_run: is_rejected,
                is_stream,
                request_limit: None,
                pause: None,
            };
            let responded = relay::Event::Responded(id, attempt.number, response);
            return self.harness.feed(responded);
        }
        current.next_event += 1;
        let event = attempt.next_event;
        if event <= EVENTS {
            assert_eq!(event, observed.events + 1, "the next event of the stream");
            observed.events = event;
            let progress = relay::Event::StreamProgress(id, attempt.number, Some(event));
            return self.harness.feed(progress);
        }
        observed.attempts.clear();
        observed.is_complete = true;
        self.harness
            .feed(relay::Event::StreamEnded(id, attempt.number));
    }

    /// Silences all attempts in progress for `millis` from now on.
    fn silence(&mut self, millis: u64) {
        let until = self.harness.now + relay_fake::millis(millis);
        let attempts = self.observed.values_mut().flat_map(|o| &mut o.attempts);
        attempts.for_each(|attempt| attempt.silent_until = until);
    }

    /// Lets time pass in steps of 25 ms, and the attempts make a step in each fourth of them.
    fn advance(&mut self, millis: u64) {
        for step in 0..millis / 25 {
            self.harness.advance(relay_fake::millis(25));
            self.observe();
            if step % 4 == 3 {
                self.progress();
            }
        }
    }

    fn configure(&mut self, config: relay::Config) {
        self.harness
            .feed(relay::Event::Configured(Box::new(config)));
        self.observe();
    }
}

/// Returns a world in which a request is at `moment`.
fn world_at(moment: Moment) -> (World, relay::Id) {
    let mut world = World::new(&["one", "two"]);
    let live = relay_fake::request("/live/1");
    match moment {
        Moment::AwaitsTokens => {
            world.configure(changed(2, LOW_RATE, Change::Nothing));
            world.grant(0);
        }
        Moment::AwaitsSlot => {
            for _ in 0..8 {
                world.arrive(live.clone());
            }
        }
        _ => {}
    }
    let mut request = match moment {
        Moment::Whole => relay_fake::request("/read/1"),
        _ => live,
    };
    if moment == Moment::AwaitsModel {
        request.model = Some(relay_fake::name("rare"));
    }
    if moment == Moment::AwaitsOrigin {
        let stream = Some("stream".to_owned());
        request.resumption = Some(relay::Resumption { stream });
    }
    let id = world.arrive(request);
    if is_under_way(moment) {
        world.progress();
    }
    if is_under_way(moment) && moment != Moment::HeadReceived {
        world.progress();
        world.progress();
    }
    match moment {
        Moment::BetweenAttempts => {
            // The other upstream has no free slot, so that the stream waits for one.
            for _ in 0..7 {
                world.arrive(relay_fake::request("/live/1"));
            }
            let number = world.observed[&id].attempts[0].number;
            let first = world.harness.upstream_of(id);
            let leaving = relay::Event::UpstreamLeaving {
                upstream: relay_fake::name(&first),
                started: None,
            };
            world.harness.feed(leaving);
            world.harness.fail_attempt(id, number, true);
            let observed = world.observed.get_mut(&id).expect("a request");
            observed.attempts.clear();
            world.observe();
            assert!(world.observed[&id].attempts.is_empty(), "it waits");
        }
        Moment::Silent => {
            world.silence(1_200);
            world.advance(400);
        }
        Moment::BesideSecondAttempt => {
            world.silence(1_200);
            world.are_full = true;
            world.advance(650);
            assert_eq!(world.observed[&id].attempts.len(), 2, "the second is sent");
        }
        _ => {}
    }
    (world, id)
}

fn is_under_way(moment: Moment) -> bool {
    matches!(
        moment,
        Moment::HeadReceived
            | Moment::Streaming
            | Moment::BetweenAttempts
            | Moment::Silent
            | Moment::BesideSecondAttempt
    )
}

impl World {
    /// Lets the coordinator grant `count` requests their tokens.
    fn grant(&mut self, count: u32) {
        let report = self.harness.reducer.report(self.harness.now, true);
        let view = relay::View {
            epoch: 1,
            report_number: report.number,
            grants: vec![(relay_fake::name("designers"), count)],
            shares: Vec::new(),
            full: false,
            engines: Vec::new(),
            suspects: Vec::new(),
            ready_in_ms: Vec::new(),
            permits: Vec::new(),
            leaving: Vec::new(),
            loads: Vec::new(),
            cold: relay::ColdPermits::default(),
            connections: Vec::new(),
            overuse: None,
            backlogs: None,
        };
        let received = relay::Event::ViewReceived(Box::new(view));
        self.harness.feed(received);
        self.observe();
    }

    /// Lets the store and the coordinator answer what the host has asked.
    fn answer(&mut self, moment: Moment) {
        match moment {
            Moment::AwaitsTokens => self.grant(1),
            Moment::AwaitsOrigin => {
                let record = relay::StreamRecord {
                    stream: relay::digest("stream"),
                    origin: relay::Origin {
                        service: relay_fake::name("models"),
                        version: None,
                    },
                };
                let read = relay::Event::StreamsRead(Some(vec![record]));
                self.harness.feed(read);
                self.observe();
            }
            Moment::AwaitsModel => {
                let rare = relay_fake::registration("three", "models", &["rare"]);
                self.harness.register(rare);
                self.observe();
            }
            _ => {}
        }
    }
}

fn check(moment: Moment, change: Change) {
    let (mut world, id) = world_at(moment);
    let rate = match moment {
        Moment::AwaitsTokens => LOW_RATE,
        _ => 1_000_000,
    };
    world.configure(changed(3, rate, change));
    world.advance(50);
    world.answer(moment);
    world.advance(TIMEOUT_MS + MAX_DELAY_MS);
    for (other, observed) in &world.observed {
        let commands = world.harness.commands.get(other);
        assert_eq!(observed.ends.len(), 1, "{other}: {commands:?}");
    }
    let observed = &world.observed[&id];
    assert_eq!(observed.ends, [false], "{:?}", world.harness.commands[&id]);
    assert_eq!(world.harness.reducer.counts(), (0, 0));
}

/// Guards against a request that gets no response, several, or one that is cut, because the configuration changed.
#[yare::parameterized(
    awaits_tokens = { Moment::AwaitsTokens },
    awaits_origin = { Moment::AwaitsOrigin },
    awaits_model = { Moment::AwaitsModel },
    awaits_slot = { Moment::AwaitsSlot },
    sent = { Moment::Sent },
    head_received = { Moment::HeadReceived },
    streaming = { Moment::Streaming },
    between_attempts = { Moment::BetweenAttempts },
    silent = { Moment::Silent },
    beside_second_attempt = { Moment::BesideSecondAttempt },
    whole = { Moment::Whole },
)]
fn request_is_served_beside_a_change(moment: Moment) {
    let changes = [
        Change::NoRoutes,
        Change::RoutesMoved,
        Change::RoutesSplit,
        Change::NoServices,
        Change::TimeoutShorter,
        Change::TimeoutLonger,
        Change::OneAttempt,
        Change::ManyAttempts,
        Change::KindChanged,
        Change::FewerSlots,
        Change::OtherModels,
        Change::NoModels,
        Change::NoWorkspace,
        Change::OtherWorkspace,
        Change::RateLowered,
        Change::NoBurst,
        Change::KeyWithdrawn,
        Change::Nothing,
    ];
    for change in changes {
        println!("{moment:?}, {change:?}");
        check(moment, change);
    }
}
