//! Return of callers to hosts that were away.

use std::time;

use carawaycleat_core::balance;
use carawaycleat_core::clock;
use carawaycleat_core::coordinator as core_coordinator;
use carawaycleat_core::name;
use carawaycleat_core::relay;
use carawaycleat_core::revision;

use crate::coordinator;
use crate::relay_fake;

pub(crate) fn at(seconds: f64) -> clock::Instant {
    clock::Instant::from_micros((seconds * 1e6) as u64)
}

pub(crate) fn load(zone: &str, hosts: u32, requests_per_second: f64) -> balance::Load {
    balance::Load {
        zone: relay_fake::name(zone),
        hosts,
        requests_per_second,
    }
}

pub(crate) fn host_name(number: usize) -> name::Name {
    relay_fake::name(&format!("host-{number}"))
}

pub(crate) fn zone_name(number: usize) -> name::Name {
    relay_fake::name(&format!("zone-{number}"))
}

pub(crate) fn joined(number: usize, zone: usize, revision: u64) -> [balance::Change; 2] {
    let host = host_name(number);
    [
        balance::Change::Joined {
            host: host.clone(),
            revision: revision::Revision::new(1, revision),
        },
        balance::Change::Located {
            host,
            zone: zone_name(zone),
        },
    ]
}

/// A change of the registered hosts.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A host registers.
    Join(&'static str),
    /// The entry of a host lapses.
    Leave(&'static str),
}

/// The host `own` in zone `a`, which has listed its neighbours at 100 s. The first letter of a name is the host's zone.
struct Harness {
    reducer: balance::Reducer,
    revision: u64,
}

impl Harness {
    fn new(neighbours: &[&str]) -> Self {
        let options = balance::Options::default();
        let reducer =
            balance::Reducer::new(relay_fake::name("own"), relay_fake::name("a"), options);
        let mut harness = Self {
            reducer,
            revision: 0,
        };
        for host in neighbours {
            harness.join(100.0, host);
        }
        harness
            .reducer
            .step(at(100.0), at(100.0), balance::Change::Listed);
        harness
    }

    fn join(&mut self, seconds: f64, host: &str) {
        self.revision += 1;
        let (host, zone) = (relay_fake::name(host), relay_fake::name(&host[..1]));
        let change = balance::Change::Joined {
            host: host.clone(),
            revision: revision::Revision::new(1, self.revision),
        };
        self.reducer.step(at(seconds), at(seconds), change);
        let change = balance::Change::Located { host, zone };
        self.reducer.step(at(seconds), at(seconds), change);
    }

    fn apply(&mut self, steps: &[(f64, Step)]) {
        for (seconds, step) in steps {
            match step {
                Step::Join(host) => self.join(*seconds, host),
                Step::Leave(host) => {
                    let change = balance::Change::Left(relay_fake::name(host));
                    self.reducer.step(at(*seconds), at(*seconds), change);
                }
            }
        }
    }

    /// Gives this host 100 requests per second up to `seconds`, and then the loads of all zones.
    fn receive(&mut self, seconds: f64, loads: &[balance::Load]) {
        for request in 0..2_000 {
            let ago = f64::from(2_000 - request) / 100.0;
            self.reducer.record_request(at(seconds - ago));
        }
        self.reducer.record_loads(at(seconds), loads.to_vec());
    }

    /// Returns the host whose return relocates a connection.
    fn relocated_by(&self, seconds: f64, accepted: f64, draw: f64) -> Option<name::Name> {
        let connection = balance::Connection {
            accepted: at(accepted),
            draw,
        };
        let relocation = self.reducer.relocation(at(seconds), connection);
        relocation.map(|relocation| relocation.host)
    }
}

/// The loads of two zones of which this host has the most.
fn uneven() -> Vec<balance::Load> {
    vec![load("a", 2, 120.0), load("b", 1, 20.0)]
}

/// Guards against callers that stay with a host although the one that they would have got is back, and against closing
/// connections that were accepted with the fleet complete.
#[yare::parameterized(
        while_it_was_away = { &["a1"], &[(200.0, Step::Leave("a1")), (210.0, Step::Join("a1"))], 205.0, true },
        before_its_entry_lapsed = { &["a1"], &[(200.0, Step::Leave("a1")), (210.0, Step::Join("a1"))], 196.5, true },
        before_it_left = { &["a1"], &[(200.0, Step::Leave("a1")), (210.0, Step::Join("a1"))], 195.0, false },
        before_it_is_taken_up = { &["a1"], &[(200.0, Step::Leave("a1")), (210.0, Step::Join("a1"))], 211.5, true },
        after_it_is_taken_up = { &["a1"], &[(200.0, Step::Leave("a1")), (210.0, Step::Join("a1"))], 212.5, false },
        still_away = { &["a1"], &[(200.0, Step::Leave("a1"))], 205.0, false },
        restarted_within_its_lease = { &["a1"], &[(210.0, Step::Join("a1"))], 208.0, true },
        complete_before_a_restart = { &["a1"], &[(210.0, Step::Join("a1"))], 205.0, false },
        host_added = { &["a1"], &[(210.0, Step::Join("a2"))], 150.0, true },
        after_a_host_was_added = { &["a1"], &[(210.0, Step::Join("a2"))], 213.0, false },
        replaced = { &["a1"], &[(200.0, Step::Leave("a1")), (210.0, Step::Join("a2"))], 205.0, true },
        left_again = { &["a1"], &[(200.0, Step::Leave("a1")), (210.0, Step::Join("a1")), (214.0, Step::Leave("a1"))], 205.0, false },
        back_after_leaving_again = { &["a1"], &[(190.0, Step::Leave("a1")), (197.0, Step::Join("a1")), (203.0, Step::Leave("a1")), (210.0, Step::Join("a1"))], 192.0, true },
        no_change = { &["a1", "b1"], &[], 205.0, false },
        only_host_of_another_zone = { &["b1"], &[(200.0, Step::Leave("b1")), (210.0, Step::Join("b1"))], 205.0, true },
        one_of_another_zone = { &["b1", "b2"], &[(200.0, Step::Leave("b1")), (210.0, Step::Join("b1"))], 205.0, false },
        all_of_another_zone = { &["b1", "b2"], &[(200.0, Step::Leave("b1")), (200.5, Step::Leave("b2")), (210.0, Step::Join("b1"))], 205.0, true },
        one_of_another_zone_was_left = { &["b1", "b2"], &[(200.0, Step::Leave("b1")), (208.0, Step::Leave("b2")), (210.0, Step::Join("b1"))], 203.0, false },
        all_of_another_zone_restarted = { &["b1", "b2"], &[(210.0, Step::Join("b1")), (210.2, Step::Join("b2"))], 208.0, true },
        another_zone_had_a_host_back = { &["b1", "b2"], &[(190.0, Step::Leave("b1")), (190.0, Step::Leave("b2")), (197.0, Step::Join("b1")), (210.0, Step::Join("b2"))], 205.0, false },
        replaced_in_another_zone = { &["b1"], &[(200.0, Step::Leave("b1")), (210.0, Step::Join("b2"))], 205.0, true },
        before_a_replacement_in_another_zone = { &["b1"], &[(200.0, Step::Leave("b1")), (210.0, Step::Join("b2"))], 150.0, false },
        overlapping = { &["b1", "c1"], &[(200.0, Step::Leave("b1")), (201.0, Step::Leave("c1")), (209.0, Step::Join("b1")), (210.0, Step::Join("c1"))], 199.0, true },
    )]
fn connection_is_relocated_once_its_host_is_back(
    neighbours: &[&str],
    steps: &[(f64, Step)],
    accepted: f64,
    relocates: bool,
) {
    let mut harness = Harness::new(neighbours);
    harness.apply(steps);
    harness.receive(220.0, &uneven());
    let host = harness.relocated_by(220.0, accepted, 0.9);
    assert_eq!(host.is_some(), relocates, "{host:?}");
}

/// Guards against callers that are asked to connect anew although no other host is known to have room.
#[yare::parameterized(
        above_the_mean = { &[load("a", 2, 120.0)], 0.0, true },
        at_its_share = { &[load("a", 2, 196.0)], 0.0, false },
        within_the_tolerance = { &[load("a", 2, 185.0)], 0.0, false },
        above_the_tolerance = { &[load("a", 2, 170.0)], 0.0, true },
        other_zone_is_idle = { &[load("a", 1, 100.0), load("b", 9, 0.0)], 0.0, false },
        own_zone_is_uneven = { &[load("a", 2, 120.0), load("b", 9, 9_000.0)], 0.0, true },
        others_are_stopping = { &[load("a", 1, 120.0)], 0.0, false },
        no_host_is_known = { &[], 0.0, false },
        no_host_takes_callers = { &[load("a", 0, 100.0)], 0.0, false },
        recent_loads = { &[load("a", 2, 120.0)], 5.0, true },
        coordinator_gone = { &[load("a", 2, 120.0)], 7.0, false },
    )]
fn connection_is_relocated_from_a_host_above_the_mean(
    loads: &[balance::Load],
    age: f64,
    relocates: bool,
) {
    let mut harness = Harness::new(&["a1"]);
    harness.apply(&[(200.0, Step::Leave("a1")), (210.0, Step::Join("a1"))]);
    harness.receive(220.0, loads);
    for request in 0..(age * 100.0) as u32 {
        let seconds = 220.0 + f64::from(request) / 100.0;
        harness.reducer.record_request(at(seconds));
    }
    let host = harness.relocated_by(220.0 + age, 205.0, 0.0);
    assert_eq!(host.is_some(), relocates);
}

/// Guards against connections that are closed before the coordinator has said what load the hosts have.
#[test]
fn connection_stays_without_loads() {
    let mut harness = Harness::new(&["a1"]);
    harness.apply(&[(200.0, Step::Leave("a1")), (210.0, Step::Join("a1"))]);
    for request in 0..1_000 {
        let seconds = 210.0 + f64::from(request) / 100.0;
        harness.reducer.record_request(at(seconds));
    }
    assert_eq!(harness.relocated_by(220.0, 205.0, 0.0), None);
}

/// Guards against callers that all connect anew at the same moment.
#[yare::parameterized(
    first_too_early = { 0.0, 211.9, false },
    first = { 0.0, 212.1, true },
    half_too_early = { 0.5, 212.9, false },
    half = { 0.5, 213.1, true },
    last = { 0.99, 214.0, true },
)]
fn connections_are_relocated_one_after_the_other(draw: f64, seconds: f64, relocates: bool) {
    let mut harness = Harness::new(&["a1"]);
    harness.apply(&[(200.0, Step::Leave("a1")), (210.0, Step::Join("a1"))]);
    harness.receive(seconds, &uneven());
    let host = harness.relocated_by(seconds, 205.0, draw);
    assert_eq!(host.is_some(), relocates);
}

/// Guards against a host that learns of an absence late, because it could not read the store, and keeps the callers that it
/// got before.
#[test]
fn absence_counts_from_the_last_complete_read() {
    let mut harness = Harness::new(&["a1"]);
    let left = balance::Change::Left(relay_fake::name("a1"));
    harness.reducer.step(at(230.0), at(200.0), left);
    harness.join(231.0, "a1");
    harness.receive(240.0, &uneven());
    assert!(harness.relocated_by(240.0, 205.0, 0.0).is_some());
    assert_eq!(harness.relocated_by(240.0, 195.0, 0.0), None);
}

/// Guards against a caller that ignores the header and is kept on: the decision stays the same as long as its connection is
/// open.
#[test]
fn connection_is_relocated_until_it_is_closed() {
    let mut harness = Harness::new(&["a1"]);
    harness.apply(&[(200.0, Step::Leave("a1")), (210.0, Step::Join("a1"))]);
    for seconds in [220.0, 260.0, 400.0] {
        harness.receive(seconds, &uneven());
        assert!(harness.relocated_by(seconds, 205.0, 0.0).is_some());
        assert_eq!(harness.relocated_by(seconds, 214.0, 0.0), None);
    }
}

/// Guards against memory that grows with the number of hosts that have ever been there.
#[test]
fn absences_are_bounded() {
    let mut harness = Harness::new(&[]);
    for number in 0..5_000 {
        let seconds = 200.0 + f64::from(number);
        harness.join(seconds, &format!("a{number}"));
        let left = balance::Change::Left(relay_fake::name(&format!("a{number}")));
        harness.reducer.step(at(seconds + 0.5), at(seconds), left);
    }
    let text = format!("{:?}", harness.reducer);
    assert!(text.matches("Absence").count() <= 512, "{}", text.len());
    assert!(text.len() < 200_000, "{}", text.len());
}

/// Guards against reports and views that lose a host's load, and against a host that stops and still counts as one that
/// takes callers or relocates connections.
#[test]
fn loads_pass_through_the_coordinator() {
    let mut coordinator = coordinator::Harness::new(&["small"]);
    let mut busy = relay_fake::Harness::new();
    for host in ["host-2", "host-3"] {
        let mut report = busy.reducer.report(busy.now, true);
        report.host = relay_fake::name(host);
        report.requests_per_second = 4.0;
        report.stopping = host == "host-3";
        coordinator.feed(core_coordinator::Event::Reported(Box::new(report)));
    }
    let zone = busy.reducer.report(busy.now, true).zone;
    let change = balance::Change::Listed;
    busy.feed(relay::Event::HostChanged(change));
    for change in joined(2, 0, 7) {
        busy.feed(relay::Event::HostChanged(change));
    }
    busy.advance(relay_fake::millis(7_000));
    for _ in 0..40 {
        busy.arrive(relay_fake::request("/read/1"));
    }
    let report = busy.reducer.report(busy.now, true);
    assert_eq!(report.requests_per_second, 20.0);
    let host = report.host.clone();
    coordinator.feed(core_coordinator::Event::Reported(Box::new(report)));
    let view = coordinator.reducer.respond(coordinator.now, &host);
    assert_eq!(view.loads, [load(zone.as_str(), 2, 28.0)]);

    let connection = balance::Connection {
        accepted: busy.now - time::Duration::from_secs(10),
        draw: 0.0,
    };
    assert!(busy.reducer.relocation(busy.now, connection).is_none());
    busy.feed(relay::Event::ViewReceived(Box::new(view)));
    let located = balance::Change::Located {
        host: host_name(2),
        zone,
    };
    busy.feed(relay::Event::HostChanged(located));
    let relocation = busy.reducer.relocation(busy.now, connection);
    assert_eq!(
        relocation.map(|relocation| relocation.mean_load),
        Some(14.0)
    );
    let deadline = busy.now + relay_fake::millis(5_000);
    busy.feed(relay::Event::Stopping(deadline));
    assert!(busy.reducer.report(busy.now, true).stopping);
    assert!(busy.reducer.relocation(busy.now, connection).is_none());
}

/// Guards against responses that hold up a host of a large fleet: after an outage of the store in which all entries lapsed,
/// the decision on each connection goes through the absences of all hosts.
#[test]
fn decisions_after_an_outage_of_the_store_are_cheap() {
    const HOSTS: usize = 335;
    const DECISIONS: u32 = 500;
    let options = balance::Options::default();
    let mut reducer = balance::Reducer::new(host_name(HOSTS), zone_name(2), options);
    let apply = |reducer: &mut balance::Reducer, seconds, change| {
        reducer.step(at(seconds), at(200.0), change);
    };
    for number in 0..HOSTS {
        for change in joined(number, number / 112, 1) {
            apply(&mut reducer, 100.0, change);
        }
    }
    apply(&mut reducer, 100.0, balance::Change::Listed);
    for number in 0..HOSTS {
        apply(
            &mut reducer,
            231.0,
            balance::Change::Left(host_name(number)),
        );
    }
    for number in 0..HOSTS {
        for change in joined(number, number / 112, 2) {
            apply(&mut reducer, 231.5, change);
        }
    }
    let mut harness = Harness {
        reducer,
        revision: 2,
    };
    // Only the own zone has room.
    let other = load("zone-0", 224, 224_000.0);
    harness.receive(245.0, &[other, load("zone-2", 112, 5_600.0)]);
    let began = time::Instant::now();
    for _ in 0..DECISIONS {
        assert!(harness.relocated_by(245.0, 215.0, 0.5).is_some());
    }
    let elapsed = began.elapsed();
    assert!(elapsed < time::Duration::from_secs(1), "{elapsed:?}");
}
