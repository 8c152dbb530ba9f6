//! Load patterns: upstreams that name a limit on the requests per second of all hosts together.

use std::collections;

use carawaycleat_core::clock;
use carawaycleat_core::coordinator;
use carawaycleat_core::relay;

use crate::coordinator as coordinator_fake;
use crate::relay_fake;

/// The limit that the upstream `limited` names, in requests per second.
const LIMIT: f64 = 6.0;
/// The time for which an upstream runs a request.
const RUN_TIME_MS: u64 = 150;
const STEP_MS: u64 = 5;
const TICK_MS: u64 = 25;
const REPORT_MS: u64 = 200;

/// Hosts with a coordinator, in front of the upstreams `limited` and `free`, which both hold the model.
struct Cluster {
    coordinator: Option<coordinator_fake::Harness>,
    hosts: Vec<relay_fake::Harness>,
    start: clock::Instant,
    now: clock::Instant,
    /// The requests in progress: the host, the request and when it ends.
    running: Vec<(usize, relay::Id, clock::Instant)>,
    /// Whether the upstream still names its limit.
    names_limit: bool,
    /// When each request reached the upstream `limited`.
    limited: Vec<clock::Instant>,
    free: usize,
    refused: usize,
    seen: collections::HashSet<(usize, relay::Id)>,
}

impl Cluster {
    fn new(hosts: usize, coordinated: bool) -> Self {
        let mut coordinator = coordinator_fake::Harness::new(&["small"]);
        let mut fakes: Vec<_> = (0..hosts)
            .map(|index| {
                let host = format!("host-{index}");
                relay_fake::Harness::of_host(&host, relay::Options::default())
            })
            .collect();
        for id in ["limited", "free"] {
            coordinator.add_engine(id, &["small"]);
            for fake in &mut fakes {
                fake.register(relay_fake::registration(id, "models", &["small"]));
            }
        }
        let now = coordinator.now;
        for fake in &mut fakes {
            fake.now = now;
            fake.confirm();
            fake.feed(relay::Event::HostsChanged(hosts));
        }
        Self {
            coordinator: coordinated.then_some(coordinator),
            hosts: fakes,
            start: now,
            now,
            running: Vec::new(),
            names_limit: true,
            limited: Vec::new(),
            free: 0,
            refused: 0,
            seen: collections::HashSet::new(),
        }
    }

    /// Lets requests arrive at a host for `millis`, one each `interval_ms`, at the hosts in turn.
    fn run(&mut self, millis: u64, interval_ms: u64) {
        let mut arrivals = 0;
        for elapsed in (0..millis).step_by(STEP_MS as usize) {
            self.now = self.now + relay_fake::millis(STEP_MS);
            for host in &mut self.hosts {
                host.now = self.now;
            }
            if elapsed % interval_ms == 0 {
                let index = arrivals % self.hosts.len();
                arrivals += 1;
                self.hosts[index].arrive(relay_fake::request("/live/1"));
            }
            for index in 0..self.hosts.len() {
                if elapsed % TICK_MS == 0 {
                    self.hosts[index].confirm();
                    self.hosts[index].feed(relay::Event::Tick);
                }
                let offset = index as u64 * STEP_MS;
                if self.hosts[index].is_report_due || elapsed % REPORT_MS == offset % REPORT_MS {
                    self.report(index);
                }
            }
            self.finish_ended();
            self.begin_sent();
        }
    }

    fn report(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.is_report_due = false;
        let report = host.reducer.report(self.now, true);
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        let name = report.host.clone();
        coordinator.now = self.now;
        coordinator.feed(coordinator::Event::Reported(Box::new(report)));
        coordinator.feed(coordinator::Event::Tick { may_order: false });
        let view = coordinator.reducer.respond(self.now, &name);
        host.feed(relay::Event::ViewReceived(Box::new(view)));
    }

    /// Lets the upstreams respond to the requests that were sent.
    fn begin_sent(&mut self) {
        for (index, host) in self.hosts.iter_mut().enumerate() {
            let ids: Vec<_> = host.commands.keys().copied().collect();
            for id in ids {
                if self.seen.contains(&(index, id)) {
                    continue;
                }
                if !host.is_sent(id) {
                    self.seen.insert((index, id));
                    self.refused += 1;
                    continue;
                }
                self.seen.insert((index, id));
                let dispatch = host.dispatch(id);
                let is_limited = dispatch.upstream.as_str() == "limited";
                if is_limited {
                    self.limited.push(self.now);
                } else {
                    self.free += 1;
                }
                let response = relay::Response {
                    status: 200,
                    not_run: false,
                    is_stream: true,
                    request_limit: (is_limited && self.names_limit).then_some(LIMIT),
                    pause: None,
                };
                host.feed(relay::Event::Responded(id, dispatch.attempt, response));
                let end = self.now + relay_fake::millis(RUN_TIME_MS);
                self.running.push((index, id, end));
            }
        }
    }

    fn finish_ended(&mut self) {
        let now = self.now;
        let ended: Vec<_> = self
            .running
            .extract_if(.., |(_, _, end)| *end <= now)
            .collect();
        for (index, id, _) in ended {
            let host = &mut self.hosts[index];
            host.feed(relay::Event::StreamProgress(id, 1, Some(1)));
            host.feed(relay::Event::StreamEnded(id, 1));
        }
    }

    /// Returns the largest number of requests that reached `limited` within four seconds, from a second after the start.
    fn most_in_window(&self) -> usize {
        let window = relay_fake::millis(4_000);
        let late: Vec<_> = self
            .limited
            .iter()
            .filter(|at| at.since(self.start) > relay_fake::millis(1_000))
            .collect();
        let in_window = |first: &&clock::Instant| {
            late.iter()
                .filter(|at| at.since(**first) < window && **at >= *first)
                .count()
        };
        late.iter().map(in_window).max().unwrap_or(0)
    }

    fn per_second(&self, since_ms: u64) -> f64 {
        let since = self.start + relay_fake::millis(since_ms);
        let count = self.limited.iter().filter(|at| **at > since).count();
        count as f64 / self.now.since(since).as_secs_f64()
    }
}

/// Pattern: more requests than the other upstream can run. Guards against hosts that together exceed the limit, and
/// against a part of the limit that is left unused while requests wait.
#[yare::parameterized(
    two_hosts = { 2 },
    four_hosts = { 4 },
    many_hosts = { 30 },
)]
fn limit_is_kept_and_used_under_load(hosts: usize) {
    let mut cluster = Cluster::new(hosts, true);
    cluster.run(12_000, 20);
    let most = cluster.most_in_window();
    assert!(most as f64 <= LIMIT * 4.0 * 1.25, "{most} in four seconds");
    let used = cluster.per_second(2_000);
    assert!(used >= LIMIT * 0.8, "{used} a second");
}

/// Pattern: hosts without a coordinator. Guards against hosts that each use the whole limit.
#[test]
fn limit_is_kept_without_a_coordinator() {
    let mut cluster = Cluster::new(4, false);
    cluster.run(12_000, 20);
    let most = cluster.most_in_window();
    assert!(most as f64 <= LIMIT * 4.0 * 1.5, "{most} in four seconds");
    assert!(most >= 12, "{most} in four seconds");
}

/// Pattern: the limit ends. Guards against a limit that is kept although the upstream no longer names it.
#[test]
fn limit_ends_when_responses_no_longer_name_it() {
    let mut cluster = Cluster::new(4, true);
    cluster.run(4_000, 20);
    cluster.names_limit = false;
    cluster.run(6_000, 20);
    let used = cluster.per_second(6_000);
    assert!(used > 2.0 * LIMIT, "{used} a second");
}

/// Pattern: another host becomes the coordinator while a limit is in force. Guards against a coordinator that counts
/// what was sent under its predecessor against its own permits, so that the upstream gets nothing for seconds.
#[test]
fn limit_is_used_after_a_change_of_the_coordinator() {
    let mut cluster = Cluster::new(4, true);
    cluster.run(8_000, 20);
    let coordinator = cluster.coordinator.as_mut().expect("a coordinator");
    coordinator.now = cluster.now;
    coordinator.feed(coordinator::Event::Elected(42));
    for id in ["limited", "free"] {
        coordinator.probe(id, coordinator_fake::status(&["small"], 0));
    }
    cluster.run(3_000, 20);
    let used = cluster.per_second(8_000);
    assert!(used >= LIMIT * 0.7, "{used} a second");
    let most = cluster.most_in_window();
    assert!(most as f64 <= LIMIT * 4.0 * 1.5, "{most} in four seconds");
}
