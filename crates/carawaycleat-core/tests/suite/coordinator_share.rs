//! The division of allowances among hosts.

use carawaycleat_core::clock;
use carawaycleat_core::coordinator;
use carawaycleat_core::relay;

use crate::relay_fake;

const RATE: u64 = 20_000;

/// A coordinator whose hosts are simulated by the test.
struct Harness {
    reducer: coordinator::Reducer,
    now: clock::Instant,
    number: u64,
}

impl Harness {
    fn new(hosts: usize) -> Self {
        let mut harness = Self {
            reducer: coordinator::Reducer::new(coordinator::Options::default()),
            now: clock::Instant::from_millis(100_000),
            number: 0,
        };
        harness.feed(coordinator::Event::Configured {
            version: 1,
            services: Vec::new(),
            workspaces: vec![relay_fake::workspace(RATE)],
        });
        harness.feed(coordinator::Event::Elected(1));
        harness.feed(coordinator::Event::HostsChanged(
            (0..hosts)
                .map(|host| relay_fake::name(&host_name(host)))
                .collect(),
        ));
        harness
    }

    fn feed(&mut self, event: coordinator::Event) {
        self.reducer.step(self.now, event);
    }

    /// Sends a report of a host that used `usage` tokens and requests tokens for `token_requests` requests of 1,000
    /// each. Returns the host's share and the number of granted requests.
    fn report(&mut self, host: usize, usage: u64, token_requests: usize) -> (f64, u32) {
        self.number += 1;
        let workspace = relay_fake::name("designers");
        let report = relay::Report {
            host: relay_fake::name(&host_name(host)),
            number: self.number,
            full: false,
            token_requests: vec![(workspace.clone(), 1_000); token_requests],
            interval_ms: 200,
            demands: Vec::new(),
            running: Vec::new(),
            usage: vec![(workspace, usage)],
            suspects: Vec::new(),
            limits: Vec::new(),
            leaving: Vec::new(),
            zone: relay_fake::name("zone-1"),
            requests_per_second: 0.0,
            stopping: false,
            colds: relay::Colds::default(),
            evacuated: Vec::new(),
            work: Vec::new(),
            connections: Vec::new(),
        };
        self.feed(coordinator::Event::Reported(Box::new(report)));
        let name = relay_fake::name(&host_name(host));
        let view = self.reducer.respond(self.now, &name);
        assert_eq!(view.report_number, self.number);
        let granted = view.grants.first().map_or(0, |(_, count)| *count);
        (view.shares[0].with_coordinator, granted)
    }
}

/// Guards against hosts that exceed the allowance when all of them are without a coordinator at once, and against
/// shares that leave most of it unused.
#[test]
fn shares_without_a_coordinator_add_up_to_one() {
    let mut harness = Harness::new(10);
    let name = relay_fake::name("designers");
    let mut shares = [0.0; 10];
    for _ in 0..50 {
        harness.now = harness.now + relay_fake::millis(200);
        for (host, without_coordinator) in shares.iter_mut().enumerate() {
            harness.report(host, if host < 2 { 1_500 } else { 20 }, 0);
            let view = harness
                .reducer
                .respond(harness.now, &relay_fake::name(&host_name(host)));
            let share = view.shares.iter().find(|share| share.workspace == name);
            *without_coordinator = share.expect("a share").without_coordinator;
        }
    }
    let sum: f64 = shares.iter().sum();
    assert!((0.9..=1.05).contains(&sum), "{sum}");
    assert!(shares[0] > 0.35 && shares[1] > 0.35, "{shares:?}");
}

fn host_name(host: usize) -> String {
    format!("host-{host}")
}

/// Guards against shares and grants that together exceed the allowance when the demand of all hosts is higher.
#[test]
fn shares_and_grants_stay_within_the_allowance() {
    let mut harness = Harness::new(5);
    let mut granted = 0;
    let mut shares = [0.0; 5];
    for _ in 0..80 {
        harness.now = harness.now + relay_fake::millis(100);
        for (host, share) in shares.iter_mut().enumerate() {
            let (local_share, count) = harness.report(host, 5_000, 3);
            *share = local_share;
            granted += u64::from(count) * 1_000;
        }
    }
    let local = shares.iter().sum::<f64>() * (8 * RATE + RATE) as f64;
    let whole = (8 * RATE + RATE) as f64;
    assert!(
        granted as f64 + local <= whole * 1.1,
        "{granted} and {local}"
    );
    assert!(
        granted as f64 + local >= whole * 0.8,
        "{granted} and {local}"
    );
}

/// Guards against an allowance that is exceeded because hosts without a connection to the coordinator use an equal
/// share.
#[test]
fn shares_of_silent_hosts_are_withheld() {
    let mut harness = Harness::new(5);
    let mut granted = 0;
    let mut shares = [0.0; 3];
    for _ in 0..80 {
        harness.now = harness.now + relay_fake::millis(100);
        for (host, share) in shares.iter_mut().enumerate() {
            let (local_share, count) = harness.report(host, 5_000, 5);
            *share = local_share;
            granted += u64::from(count) * 1_000;
        }
    }
    let whole = (8 * RATE + RATE) as f64;
    let local = shares.iter().sum::<f64>() * whole;
    let silent = whole * 2.0 / 5.0;
    assert!(
        granted as f64 + local + silent <= whole * 1.1,
        "{granted} and {local}"
    );
}

/// One host gets most requests of a workspace. Guards against equal shares, most of which the other hosts leave unused.
#[test]
fn share_follows_the_demand() {
    let mut harness = Harness::new(5);
    for _ in 0..20 {
        harness.now = harness.now + relay_fake::millis(100);
        for host in 0..5 {
            harness.report(host, if host == 0 { 1_600 } else { 100 }, 0);
        }
    }
    let (busy, _) = harness.report(0, 1_600, 0);
    let (quiet, _) = harness.report(1, 100, 0);
    assert!(busy > 3.0 * quiet, "{busy} and {quiet}");
}

/// Guards against a new coordinator that grants again what its predecessor has just granted.
#[test]
fn new_coordinator_starts_with_a_part_of_the_burst() {
    let mut harness = Harness::new(1);
    harness.now = harness.now + relay_fake::millis(5_000);
    harness.feed(coordinator::Event::Elected(2));
    let (_, granted) = harness.report(0, 0, 100);
    assert!(
        u64::from(granted) * 1_000 <= RATE / 2 + 1_000,
        "{granted} requests"
    );
}
