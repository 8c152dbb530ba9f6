//! 27 entry hosts and their coordinator at plain upstreams, with late and lost messages.

use std::collections;
use std::time;

use carawaycleat_core::balance;
use carawaycleat_core::clock;
use carawaycleat_core::connection;
use carawaycleat_core::coordinator;
use carawaycleat_core::name;
use carawaycleat_core::relay;
use carawaycleat_core::revision;

use crate::relay_fake;

pub(crate) const UPSTREAMS: usize = 5;
const SLOTS: u32 = 6;
const WORK: time::Duration = time::Duration::from_millis(60);
const STEP: time::Duration = time::Duration::from_millis(10);
const TICK_STEPS: u64 = 5;
const REPORT_STEPS: u64 = 32;
/// When a fault begins and ends, in steps.
const FAULT: std::ops::Range<u64> = 400..1_000;
/// The steps until an entry expires and the other hosts have read that.
const LEASE_STEPS: u64 = 450;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    None,
    ViewsLate,
    ViewsLost,
    NoCoordinator,
    NewCoordinator,
    Dies,
    Freezes,
    IsCutOff,
    HostsStart,
    UpstreamLeaves,
}

/// A request on its way.
struct Running {
    host: usize,
    request: relay::Id,
    upstream: usize,
    ends: clock::Instant,
}

pub(crate) struct Fleet {
    pub(crate) now: clock::Instant,
    step: u64,
    hosts: Vec<relay_fake::Harness>,
    /// The hosts that run, and those of which the others know.
    alive: Vec<bool>,
    rate: Box<dyn Fn(usize, u64) -> f64>,
    due: Vec<f64>,
    coordinator: coordinator::Reducer,
    /// Views on their way: when they arrive, and where.
    views: Vec<(clock::Instant, usize, relay::View)>,
    running: Vec<Running>,
    waiting: Vec<(usize, relay::Id, clock::Instant)>,
    /// When each slot of each upstream is free.
    slots: Vec<Vec<clock::Instant>>,
    /// The requests in progress at each upstream after each step.
    pub(crate) occupancy: Vec<u32>,
    /// The times in ms until requests were sent, by host.
    pub(crate) waits: collections::HashMap<usize, Vec<u64>>,
    pub(crate) served: usize,
    random: u64,
}

fn host_name(host: usize) -> name::Name {
    relay_fake::name(&format!("host-{host}"))
}

fn zone(index: usize) -> name::Name {
    relay_fake::name(["zone-a", "zone-b", "zone-c"][index % 3])
}

fn registration(upstream: usize) -> relay::Registration {
    relay::Registration {
        address: ([10, 0, 1, upstream as u8], 8_000).into(),
        slots: SLOTS,
        zone: zone(upstream),
        ..relay_fake::registration(&format!("plain-{upstream}"), "plain", &[])
    }
}

fn config() -> relay::Config {
    let mut booking = relay_fake::route("/book/", relay::Kind::NonIdempotent, "plain");
    booking.max_attempts = 1;
    let service = relay::Service {
        max_connections: 220,
        engine: None,
        cold_start: None,
        balancing: relay::Balancing::Requests,
    };
    let services = [(relay_fake::name("plain"), service)];
    let workspaces = vec![relay_fake::workspace(100_000_000)];
    relay::Config::new(1, vec![booking], services.into(), workspaces, None)
        .with_balancing(relay::Balancing::Work)
}

impl Fleet {
    /// Returns a fleet whose hosts get `rate(host, second)` requests per second.
    pub(crate) fn new(hosts: usize, rate: impl Fn(usize, u64) -> f64 + 'static) -> Self {
        let mut fleet = Self {
            now: clock::Instant::from_millis(100_000),
            step: 0,
            hosts: Vec::new(),
            alive: Vec::new(),
            rate: Box::new(rate),
            due: Vec::new(),
            coordinator: coordinator::Reducer::new(coordinator::Options::default()),
            views: Vec::new(),
            running: Vec::new(),
            waiting: Vec::new(),
            slots: vec![vec![clock::Instant::default(); SLOTS as usize]; UPSTREAMS],
            occupancy: Vec::new(),
            waits: collections::HashMap::new(),
            served: 0,
            random: 1,
        };
        fleet.elect(1);
        for _ in 0..hosts {
            fleet.start_host();
        }
        fleet
    }

    fn elect(&mut self, epoch: u64) {
        self.coordinator = coordinator::Reducer::new(coordinator::Options::default());
        let spec = connection::Spec {
            service: relay_fake::name("plain"),
            max_connections: 220,
            has_models: false,
        };
        let configured = coordinator::Event::ConnectionsConfigured(vec![spec]);
        self.coordinator.step(self.now, configured);
        self.coordinator
            .step(self.now, coordinator::Event::Elected(epoch));
        for upstream in 0..UPSTREAMS {
            let updated = coordinator::Event::UpstreamUpdated(Box::new(registration(upstream)));
            self.coordinator.step(self.now, updated);
        }
        self.tell_coordinator();
    }

    fn registered(&self) -> Vec<name::Name> {
        let alive = self.alive.iter().enumerate().filter(|(_, alive)| **alive);
        alive.map(|(host, _)| host_name(host)).collect()
    }

    fn tell_coordinator(&mut self) {
        let hosts = coordinator::Event::HostsChanged(self.registered());
        self.coordinator.step(self.now, hosts);
    }

    /// Starts a host and tells the others of it.
    fn start_host(&mut self) {
        let index = self.hosts.len();
        let options = relay::Options::default();
        let zone = zone(index);
        let mut host =
            relay_fake::Harness::in_zone(&format!("host-{index}"), zone.as_str(), options);
        host.now = self.now;
        host.feed(relay::Event::Configured(Box::new(config())));
        host.confirm();
        for upstream in 0..UPSTREAMS {
            host.register(registration(upstream));
        }
        self.hosts.push(host);
        self.alive.push(true);
        self.due.push(0.0);
        for other in 0..self.hosts.len() {
            self.introduce(other, index);
            self.introduce(index, other);
        }
        self.tell_coordinator();
    }

    /// Tells `host` of the entry of `other`.
    fn introduce(&mut self, host: usize, other: usize) {
        if !self.alive[other] {
            return;
        }
        let revision = revision::Revision::new(1, other as u64 + 1);
        let (name, zone) = (host_name(other), zone(other));
        let joined = balance::Change::Joined {
            host: name.clone(),
            revision,
        };
        let located = balance::Change::Located { host: name, zone };
        for change in [joined, located] {
            self.hosts[host].feed(relay::Event::HostChanged(change));
        }
        let count = self.registered().len();
        self.hosts[host].feed(relay::Event::HostsChanged(count));
    }

    /// Removes the entry of a host.
    fn expire(&mut self, gone: usize) {
        self.alive[gone] = false;
        let count = self.registered().len();
        for host in (0..self.hosts.len()).filter(|host| *host != gone) {
            let left = balance::Change::Left(host_name(gone));
            self.hosts[host].feed(relay::Event::HostChanged(left));
            self.hosts[host].feed(relay::Event::HostsChanged(count));
        }
        self.tell_coordinator();
    }

    /// Returns what a host may use of the connections to an upstream.
    pub(crate) fn share(&self, host: usize, upstream: usize) -> u32 {
        let address = registration(upstream).address;
        let limit = self.hosts[host].limits.get(&address).copied().flatten();
        limit.unwrap_or(0)
    }

    /// Returns the connections to an upstream that all hosts which have not died may hold.
    pub(crate) fn held(&self, upstream: usize) -> u32 {
        let hosts = 0..self.hosts.len();
        let held = hosts.map(|host| {
            let is_there = |one: &&Running| one.host == host && one.upstream == upstream;
            let running = self.running.iter().filter(is_there).count();
            self.share(host, upstream).max(running as u32)
        });
        held.sum()
    }

    fn draw(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub(crate) fn run(&mut self, seconds: u64, fault: Fault, check: impl Fn(&Self)) {
        let end = self.step + seconds * 100;
        while self.step < end {
            self.step += 1;
            self.now = self.now + STEP;
            self.apply(fault);
            for host in 0..self.hosts.len() {
                if !self.is_frozen(host, fault) {
                    self.step_host(host, fault);
                }
            }
            self.deliver(fault);
            self.end_requests(fault);
            self.send(fault);
            let counts = (0..UPSTREAMS).map(|upstream| {
                let running = self.running.iter();
                running.filter(|one| one.upstream == upstream).count() as u32
            });
            self.occupancy.extend(counts.collect::<Vec<_>>());
            check(self);
        }
    }

    /// Host 1 is the one that fails: the load moves to it meanwhile.
    fn is_frozen(&self, host: usize, fault: Fault) -> bool {
        let stops = matches!(fault, Fault::Dies | Fault::Freezes) && FAULT.contains(&self.step);
        host == 1 && (stops || fault == Fault::Dies && self.step >= FAULT.end)
    }

    fn is_cut_off(&self, host: usize, fault: Fault) -> bool {
        host == 1 && fault == Fault::IsCutOff && FAULT.contains(&self.step)
    }

    fn apply(&mut self, fault: Fault) {
        let at = |step: u64| self.step == FAULT.start + step;
        match fault {
            Fault::Dies if at(0) => {
                // Its connections end with it.
                self.hosts[1].limits.clear();
                self.running.retain(|one| one.host != 1);
            }
            Fault::Dies | Fault::Freezes | Fault::IsCutOff if at(LEASE_STEPS) => self.expire(1),
            Fault::Freezes | Fault::IsCutOff if self.step == FAULT.end => {
                self.alive[1] = true;
                for host in 0..self.hosts.len() {
                    self.introduce(host, 1);
                }
                self.tell_coordinator();
            }
            Fault::HostsStart if at(0) || at(30) || at(60) => self.start_host(),
            Fault::NewCoordinator if at(0) => self.elect(2),
            Fault::UpstreamLeaves if at(0) => {
                for host in &mut self.hosts {
                    host.feed(relay::Event::UpstreamRemoved(relay_fake::name("plain-2")));
                }
            }
            _ => {}
        }
    }

    fn step_host(&mut self, host: usize, fault: Fault) {
        let (now, step) = (self.now, self.step + host as u64);
        let is_cut_off = self.is_cut_off(host, fault);
        self.hosts[host].now = now;
        if step.is_multiple_of(TICK_STEPS) {
            if !is_cut_off {
                self.hosts[host].confirm();
            }
            self.hosts[host].feed(relay::Event::Tick);
            self.hosts[host].feed(relay::Event::LimitsDue);
        }
        let is_due = std::mem::take(&mut self.hosts[host].is_report_due) && step.is_multiple_of(4);
        if is_due || step.is_multiple_of(REPORT_STEPS) {
            self.report(host, is_cut_off, fault);
        }
        let rate = (self.rate)(host, self.step / 100);
        // Bursts of arrivals, and not one each so many steps.
        if self.draw() < rate * STEP.as_secs_f64() {
            self.due[host] += 1.0;
        }
        if rate * STEP.as_secs_f64() > 1.0 {
            self.due[host] += rate * STEP.as_secs_f64() - 1.0;
        }
        while self.due[host] >= 1.0 {
            self.due[host] -= 1.0;
            let mut request = relay_fake::request("/book/1");
            request.timeout = Some(relay_fake::millis(1_500));
            let id = self.hosts[host].arrive(request);
            self.waiting.push((host, id, now));
        }
    }

    fn report(&mut self, host: usize, is_cut_off: bool, fault: Fault) {
        let report = self.hosts[host].reducer.report(self.now, true);
        let in_fault = FAULT.contains(&self.step);
        let is_lost = fault == Fault::ViewsLost && self.draw() < 0.6;
        if is_cut_off || fault == Fault::NoCoordinator && in_fault || is_lost && self.draw() < 0.3 {
            return;
        }
        let reported = coordinator::Event::Reported(Box::new(report));
        self.coordinator.step(self.now, reported);
        let view = self.coordinator.respond(self.now, &host_name(host));
        if !is_lost {
            let delay = if fault == Fault::ViewsLate { 300 } else { 10 };
            self.views
                .push((self.now + relay_fake::millis(delay), host, view));
        }
        let tick = coordinator::Event::Tick { may_order: false };
        self.coordinator.step(self.now, tick);
    }

    fn deliver(&mut self, fault: Fault) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.views)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.views = later;
        for (_, host, view) in due {
            if !self.is_frozen(host, fault) {
                self.hosts[host].feed(relay::Event::ViewReceived(Box::new(view)));
            }
        }
    }

    /// Responds to the requests that are done.
    fn end_requests(&mut self, fault: Fault) {
        let now = self.now;
        let is_frozen = self.is_frozen(1, fault);
        let (done, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|one: &Running| one.ends <= now && !(one.host == 1 && is_frozen));
        self.running = running;
        for one in done {
            if self.hosts[one.host].is_sent(one.request) {
                self.hosts[one.host].respond(one.request, 200, false);
                self.served += 1;
            }
        }
        // A host that gives a request up closes its connection.
        let hosts = &self.hosts;
        self.running
            .retain(|one| hosts[one.host].is_sent(one.request));
    }

    /// Lets the requests that hosts have sent begin at their upstreams.
    fn send(&mut self, fault: Fault) {
        let now = self.now;
        let waiting = std::mem::take(&mut self.waiting);
        for (host, request, arrived) in waiting {
            match self.hosts[host].last_command(request) {
                _ if self.is_frozen(host, fault) => self.waiting.push((host, request, arrived)),
                None => self.waiting.push((host, request, arrived)),
                Some(relay::Command::Send(dispatch)) => {
                    let upstream = dispatch.upstream.as_str();
                    let upstream = upstream.trim_start_matches("plain-").parse();
                    let upstream: usize = upstream.expect("a number");
                    let slots: &mut Vec<clock::Instant> = &mut self.slots[upstream];
                    slots.sort();
                    let ends = slots[0].max(now) + WORK;
                    slots[0] = ends;
                    let wait = now.since(arrived).as_millis() as u64;
                    self.waits.entry(host).or_default().push(wait);
                    self.running.push(Running {
                        host,
                        request,
                        upstream,
                        ends,
                    });
                }
                Some(_) => {}
            }
        }
    }
}
