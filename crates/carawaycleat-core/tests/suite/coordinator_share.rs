//! The division of allowances among hosts.

use carawaycleat_core::clock;
use carawaycleat_core::coordinator;
use carawaycleat_core::relay;

use crate::relay_fake;

const RATE: u64 = 20_000;

/// A coordinator that hears hosts.
struct World {
    reducer: coordinator::Reducer,
    now: clock::Instant,
    number: u64,
}

impl World {
    fn new(hosts: usize) -> Self {
        let mut world = Self {
            reducer: coordinator::Reducer::new(coordinator::Options::default()),
            now: clock::Instant::from_millis(100_000),
            number: 0,
        };
        world.feed(coordinator::Event::Configured {
            services: Vec::new(),
            workspaces: vec![relay_fake::workspace(RATE)],
        });
        world.feed(coordinator::Event::Elected(1));
        world.feed(coordinator::Event::HostsChanged(
            (0..hosts)
                .map(|host| relay_fake::name(&host_name(host)))
                .collect(),
        ));
        world
    }

    fn feed(&mut self, event: coordinator::Event) {
        self.reducer.step(self.now, event);
    }

    /// Returns the share of a host that used `usage` tokens, and how many of `wants` requests of 1,000 tokens it may
    /// send.
    fn report(&mut self, host: usize, usage: u64, wants: usize) -> (f64, u32) {
        self.number += 1;
        let workspace = relay_fake::name("designers");
        let report = relay::Report {
            host: relay_fake::name(&host_name(host)),
            number: self.number,
            full: false,
            token_requests: vec![(workspace.clone(), 1_000); wants],
            interval_ms: 200,
            demands: Vec::new(),
            running: Vec::new(),
            usage: vec![(workspace, usage)],
            suspects: Vec::new(),
        };
        self.feed(coordinator::Event::Reported(Box::new(report)));
        let name = relay_fake::name(&host_name(host));
        let view = self.reducer.respond(self.now, &name);
        assert_eq!(view.report_number, self.number);
        let granted = view.grants.first().map_or(0, |(_, count)| *count);
        (view.shares[0].with_coordinator, granted)
    }
}

/// Guards against hosts that exceed the allowance when all of them lose the coordinator at once, and against parts that
/// leave most of it unused.
#[test]
fn parts_without_a_coordinator_add_up_to_the_whole() {
    let mut world = World::new(10);
    let name = relay_fake::name("designers");
    let mut alone = [0.0; 10];
    for _ in 0..50 {
        world.now = world.now + relay_fake::millis(200);
        for (host, part) in alone.iter_mut().enumerate() {
            world.report(host, if host < 2 { 1_500 } else { 20 }, 0);
            let view = world
                .reducer
                .respond(world.now, &relay_fake::name(&host_name(host)));
            let share = view.shares.iter().find(|share| share.workspace == name);
            *part = share.expect("a share").without_coordinator;
        }
    }
    let sum: f64 = alone.iter().sum();
    assert!((0.9..=1.05).contains(&sum), "{sum}");
    assert!(alone[0] > 0.35 && alone[1] > 0.35, "{alone:?}");
}

fn host_name(host: usize) -> String {
    format!("host-{host}")
}

/// Guards against hosts and grants that together exceed the allowance: all hosts ask for more than there is.
#[test]
fn shares_and_grants_stay_within_the_allowance() {
    let mut world = World::new(5);
    let mut granted = 0;
    let mut shares = [0.0; 5];
    for _ in 0..80 {
        world.now = world.now + relay_fake::millis(100);
        for (host, share) in shares.iter_mut().enumerate() {
            let (part, count) = world.report(host, 5_000, 3);
            *share = part;
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

/// Guards against an allowance that is exceeded by a host which is cut off from the coordinator and uses an even part
/// by itself.
#[test]
fn as_much_as_silent_hosts_use_is_kept_back() {
    let mut world = World::new(5);
    let mut granted = 0;
    let mut shares = [0.0; 3];
    for _ in 0..80 {
        world.now = world.now + relay_fake::millis(100);
        for (host, share) in shares.iter_mut().enumerate() {
            let (part, count) = world.report(host, 5_000, 5);
            *share = part;
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

/// Pattern: one host gets most requests of a workspace. Guards against an even division that leaves its part unused
/// elsewhere.
#[test]
fn share_follows_the_demand() {
    let mut world = World::new(5);
    for _ in 0..20 {
        world.now = world.now + relay_fake::millis(100);
        for host in 0..5 {
            world.report(host, if host == 0 { 1_600 } else { 100 }, 0);
        }
    }
    let (busy, _) = world.report(0, 1_600, 0);
    let (quiet, _) = world.report(1, 100, 0);
    assert!(busy > 3.0 * quiet, "{busy} and {quiet}");
}

/// Guards against a new coordinator that grants again what the one before has just granted.
#[test]
fn new_coordinator_starts_with_a_part_of_the_burst() {
    let mut world = World::new(1);
    world.now = world.now + relay_fake::millis(5_000);
    world.feed(coordinator::Event::Elected(2));
    let (_, granted) = world.report(0, 0, 100);
    assert!(
        u64::from(granted) * 1_000 <= RATE / 2 + 1_000,
        "{granted} requests"
    );
}
