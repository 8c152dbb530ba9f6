//! A fleet of hosts with coordinators, in front of one cold upstream.

use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::coordinator;
use carawaycleat_core::relay;

use crate::relay_fake;

const STEP_MS: u64 = 5;
const TICK_MS: u64 = 25;
const RUN_MS: u64 = 20;
/// The cold period that entries name, which outlasts the run.
const COLD_MS: u64 = 600_000;

/// What happens to a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) hosts: usize,
    /// The requests per second that the cold upstream takes.
    pub(crate) rate: f64,
    /// The requests per second of callers, over all hosts.
    pub(crate) arrivals: f64,
    /// The parts of the reports and views that are lost, and that arrive twice.
    pub(crate) lost: f64,
    pub(crate) doubled: f64,
    /// The longest delay of a report or view.
    pub(crate) delay_ms: u64,
    pub(crate) faults: &'static [(u64, Fault)],
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum State {
    Sound,
    /// The host reaches no coordinator.
    CutOff,
    /// It does nothing. What was sent to it meanwhile arrives afterwards.
    Frozen,
}

/// An event in the run.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The process of a host ends, and another one takes its place.
    Kill(usize),
    /// The links and processes of hosts change, from the first index to before the second one.
    Hosts(usize, usize, State),
    /// The coordinator's process ends; another one is elected when its lease is over.
    KillCoordinator,
    /// The coordinator releases its lease, and another one is elected at once.
    ReleaseCoordinator,
    /// The coordinator loses the store. It responds to half of the hosts after another one is elected.
    CutCoordinatorOff,
}

enum Message {
    Report(Box<relay::Report>),
    View(Box<relay::View>),
}

struct Host {
    name: String,
    reducer: relay::Reducer,
    running: Vec<(clock::Instant, relay::Id, u32)>,
    next: relay::Id,
    next_report: clock::Instant,
    state: State,
}

struct Coordinator {
    reducer: coordinator::Reducer,
    /// Until when it may order; none while it renews its lease.
    orders_until: Option<clock::Instant>,
    /// The hosts that it hears: all, or those with an index below this number.
    audience: usize,
}

pub(crate) struct Fleet {
    load: Load,
    pub(crate) now: clock::Instant,
    start: clock::Instant,
    hosts: Vec<Host>,
    coordinators: Vec<Coordinator>,
    /// When the next coordinator is elected.
    election: Option<clock::Instant>,
    epoch: u64,
    messages: Vec<(clock::Instant, usize, Message)>,
    random: fastrand::Rng,
    /// When each request was sent to the cold upstream.
    pub(crate) sent: Vec<clock::Instant>,
}

/// Returns a configuration with one service, whose upstreams are cold after a start.
pub(crate) fn config(rate: f64, cold_ms: u64) -> relay::Config {
    let plain = relay::Service {
        max_connections: 100_000,
        engine: None,
        cold_start: Some(relay::ColdStart {
            duration: relay_fake::millis(cold_ms),
            rate,
        }),
        balancing: relay::Balancing::Requests,
    };
    let route = relay_fake::route("/read/", relay::Kind::Idempotent, "plain");
    let services = [(relay_fake::name("plain"), plain)].into_iter().collect();
    let workspaces = vec![relay_fake::workspace(1_000_000_000)];
    relay::Config::new(1, vec![route], services, workspaces, None)
}

fn registration(id: &str, cold_ms: u64) -> relay::Registration {
    relay::Registration {
        slots: 100_000,
        cold_remaining: Some(relay_fake::millis(cold_ms)),
        ..relay_fake::registration(id, "plain", &[])
    }
}

impl Fleet {
    pub(crate) fn new(load: Load, seed: u64) -> Self {
        let start = clock::Instant::from_millis(1_000_000);
        let mut fleet = Self {
            load,
            now: start,
            start,
            hosts: Vec::new(),
            coordinators: Vec::new(),
            election: Some(start),
            epoch: 0,
            messages: Vec::new(),
            random: fastrand::Rng::with_seed(seed),
            sent: Vec::new(),
        };
        for index in 0..load.hosts {
            let host = fleet.start_host(format!("host-{index}"));
            fleet.hosts.push(host);
        }
        fleet
    }

    fn start_host(&mut self, name: String) -> Host {
        let id = relay_fake::name(&name);
        let zone = relay_fake::name("zone-a");
        let mut reducer = relay::Reducer::new(id, zone, relay::Options::default());
        let config = Box::new(config(self.load.rate, COLD_MS));
        reducer.step(self.now, relay::Event::Configured(config));
        reducer.step(self.now, relay::Event::HostsChanged(self.load.hosts));
        let entry = Box::new(registration("cold", COLD_MS));
        reducer.step(self.now, relay::Event::UpstreamUpdated(entry));
        reducer.step(self.now, relay::Event::ConfigConfirmed(self.now));
        Host {
            name,
            reducer,
            running: Vec::new(),
            next: 0,
            next_report: self.now + relay_fake::millis(self.random.u64(..200)),
            state: State::Sound,
        }
    }

    fn elect(&mut self) {
        self.epoch += 1;
        let mut reducer = coordinator::Reducer::new(coordinator::Options::default());
        let limit = relay::ColdStart {
            duration: relay_fake::millis(COLD_MS),
            rate: self.load.rate,
        };
        let starts = vec![(relay_fake::name("plain"), limit)];
        let names = self.hosts.iter().map(|host| relay_fake::name(&host.name));
        for event in [
            coordinator::Event::ColdStartsConfigured(starts),
            coordinator::Event::UpstreamUpdated(Box::new(registration("cold", COLD_MS))),
            coordinator::Event::HostsChanged(names.collect()),
            coordinator::Event::Elected(self.epoch),
        ] {
            reducer.step(self.now, event);
        }
        self.coordinators.push(Coordinator {
            reducer,
            orders_until: None,
            audience: usize::MAX,
        });
    }

    /// Returns the arrival times of a message.
    fn arrivals(&mut self) -> Vec<clock::Instant> {
        if self.random.f64() < self.load.lost {
            return Vec::new();
        }
        let copies = 1 + usize::from(self.random.f64() < self.load.doubled);
        (0..copies)
            .map(|_| self.now + relay_fake::millis(self.random.u64(..=self.load.delay_ms)))
            .collect()
    }

    /// Lets the fleet run for `millis`.
    pub(crate) fn run(&mut self, millis: u64) {
        for elapsed in (0..millis).step_by(STEP_MS as usize) {
            self.now = self.start + relay_fake::millis(elapsed);
            let due = |(at, _): &&(u64, Fault)| *at / STEP_MS == elapsed / STEP_MS;
            let faults: Vec<_> = self.load.faults.iter().filter(due).copied().collect();
            for (_, fault) in faults {
                self.apply(fault);
            }
            if self.election.is_some_and(|at| self.now >= at) {
                self.election = None;
                self.elect();
            }
            self.deliver();
            if elapsed % 50 == 0 {
                let now = self.now;
                for coordinator in &mut self.coordinators {
                    let may_order = coordinator.orders_until.is_none_or(|until| now < until);
                    let tick = coordinator::Event::Tick { may_order };
                    coordinator.reducer.step(now, tick);
                }
            }
            let expected = self.load.arrivals * STEP_MS as f64 / 1_000.0;
            let arrivals =
                expected.floor() as usize + usize::from(self.random.f64() < expected.fract());
            for _ in 0..arrivals {
                let index = self.random.usize(..self.hosts.len());
                if self.hosts[index].state != State::Frozen {
                    self.arrive(index);
                }
            }
            for index in 0..self.hosts.len() {
                if self.hosts[index].state == State::Frozen {
                    continue;
                }
                if (elapsed + index as u64 * STEP_MS).is_multiple_of(TICK_MS) {
                    self.step(index, relay::Event::ConfigConfirmed(self.now));
                    self.step(index, relay::Event::Tick);
                    self.step(index, relay::Event::LimitsDue);
                }
                self.end_requests(index);
                if self.now >= self.hosts[index].next_report {
                    self.report(index);
                }
            }
        }
    }

    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(index) => {
                let name = self.hosts[index].name.clone();
                self.hosts[index] = self.start_host(name);
            }
            Fault::Hosts(from, to, state) => {
                for host in &mut self.hosts[from..to] {
                    host.state = state;
                }
            }
            Fault::KillCoordinator => {
                self.coordinators.clear();
                self.election = Some(self.now + relay_fake::millis(1_600));
            }
            Fault::ReleaseCoordinator => {
                self.coordinators.clear();
                self.election = Some(self.now);
            }
            Fault::CutCoordinatorOff => {
                let half = self.hosts.len() / 2;
                let last = self.coordinators.last_mut().expect("coordinator");
                last.orders_until = Some(self.now + relay_fake::millis(800));
                last.audience = half;
                self.election = Some(self.now + relay_fake::millis(1_600));
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.next += 1;
        let id = host.next;
        let request = relay::Request {
            fingerprint: relay_fake::name(&format!("{}-{id}", host.name)),
            timeout: Some(time::Duration::from_millis(4_000)),
            ..relay_fake::request("/read/1")
        };
        self.step(index, relay::Event::Arrived(id, Box::new(request)));
    }

    fn step(&mut self, index: usize, event: relay::Event) {
        let host = &mut self.hosts[index];
        for effect in host.reducer.step(self.now, event) {
            match effect {
                relay::Effect::Command(id, relay::Command::Send(dispatch)) => {
                    self.sent.push(self.now);
                    let end = self.now + relay_fake::millis(RUN_MS);
                    host.running.push((end, id, dispatch.attempt));
                }
                relay::Effect::Report => {
                    let soon = self.now + relay_fake::millis(self.load.hosts as u64);
                    host.next_report = host.next_report.min(soon);
                }
                _ => {}
            }
        }
    }

    fn end_requests(&mut self, index: usize) {
        let now = self.now;
        let running = &mut self.hosts[index].running;
        let ended: Vec<_> = running.extract_if(.., |(end, ..)| now >= *end).collect();
        for (_, id, attempt) in ended {
            let response = relay::Response {
                status: 200,
                not_run: false,
                is_stream: false,
                request_limit: None,
                pause: None,
            };
            self.step(index, relay::Event::Responded(id, attempt, response));
        }
    }

    fn report(&mut self, index: usize) {
        let interval = (12 * self.load.hosts as u64).max(200);
        let host = &mut self.hosts[index];
        host.next_report = self.now + relay_fake::millis(interval);
        let report = host.reducer.report(self.now, true);
        if host.state == State::CutOff {
            return;
        }
        for at in self.arrivals() {
            let report = Message::Report(Box::new(report.clone()));
            self.messages.push((at, index, report));
        }
    }

    /// Passes on the messages that are due. A host that is cut off gets none.
    fn deliver(&mut self) {
        let now = self.now;
        let hosts = &self.hosts;
        let is_due = |(at, index, message): &mut (clock::Instant, usize, Message)| {
            let is_late =
                matches!(message, Message::View(_)) && hosts[*index].state == State::Frozen;
            now >= *at && !is_late
        };
        let due: Vec<_> = self.messages.extract_if(.., is_due).collect();
        for (_, index, message) in due {
            if self.hosts[index].state == State::CutOff {
                continue;
            }
            match message {
                Message::View(view) => self.step(index, relay::Event::ViewReceived(view)),
                Message::Report(report) => {
                    let hears = |one: &&mut Coordinator| index < one.audience;
                    let Some(coordinator) = self.coordinators.iter_mut().find(hears) else {
                        continue;
                    };
                    let host = report.host.clone();
                    let reported = coordinator::Event::Reported(report);
                    coordinator.reducer.step(now, reported);
                    let view = coordinator.reducer.respond(now, &host);
                    for at in self.arrivals() {
                        let view = Message::View(Box::new(view.clone()));
                        self.messages.push((at, index, view));
                    }
                }
            }
        }
    }

    /// Returns the largest number of requests that were sent to the cold upstream within one second.
    pub(crate) fn peak(&self) -> usize {
        let window = |(index, first): (usize, &clock::Instant)| {
            let is_within = |at: &&clock::Instant| at.since(*first).as_secs() < 1;
            self.sent[index..].iter().take_while(is_within).count()
        };
        self.sent.iter().enumerate().map(window).max().unwrap_or(0)
    }

    /// Returns the requests per second sent to the cold upstream from `from` to `until`, in milliseconds of the run.
    pub(crate) fn mean(&self, from: u64, until: u64) -> f64 {
        let elapsed = |at: &clock::Instant| at.since(self.start).as_millis() as u64;
        let sent = self.sent.iter().map(elapsed);
        sent.filter(|at| (from..until).contains(at)).count() as f64 * 1_000.0
            / (until - from) as f64
    }
}
