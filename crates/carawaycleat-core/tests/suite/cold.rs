//! Load patterns: more requests than upstreams take that are cold after a start.

mod fleet;

use carawaycleat_core::relay;

use crate::relay_fake;
use fleet::{Fault, Fleet, Load, State};

const SOUND: Load = Load {
    hosts: 27,
    rate: 23.0,
    arrivals: 120.0,
    lost: 0.0,
    doubled: 0.0,
    delay_ms: 30,
    faults: &[],
};

const FAULTY: Load = Load {
    lost: 0.2,
    doubled: 0.2,
    delay_ms: 700,
    ..SOUND
};

/// Kills, cuts, freezes and changes of the coordinator, each while the others go on.
const FAULTS: &[(u64, Fault)] = &[
    (5_000, Fault::Kill(2)),
    (6_000, Fault::Hosts(0, 2, State::CutOff)),
    (7_000, Fault::Hosts(2, 3, State::Frozen)),
    (9_000, Fault::KillCoordinator),
    (10_100, Fault::Hosts(2, 3, State::Sound)),
    (14_000, Fault::Hosts(0, 1, State::Sound)),
    (15_000, Fault::Kill(1)),
    (16_000, Fault::ReleaseCoordinator),
    (18_500, Fault::Hosts(1, 2, State::Sound)),
    (20_000, Fault::CutCoordinatorOff),
];

/// A third of the hosts without the coordinator, and then frozen, while the others use what the upstream takes.
const PART: &[(u64, Fault)] = &[
    (6_000, Fault::Hosts(0, 9, State::CutOff)),
    (14_000, Fault::Hosts(0, 9, State::Sound)),
    (18_000, Fault::Hosts(0, 9, State::Frozen)),
    (21_000, Fault::Hosts(0, 9, State::Sound)),
];

// Guards against sums over hosts above the bound, which crash the upstream: every window of a second is counted from the
// outside. Guards as well against upstreams that get too little while nothing fails.
#[yare::parameterized(
    sound = { SOUND, 0.9 },
    slow_upstream = { Load { rate: 2.0, ..SOUND }, 0.8 },
    hundred_hosts = { Load { hosts: 100, arrivals: 300.0, ..SOUND }, 0.8 },
    faulty_links = { FAULTY, 0.2 },
    three_hosts = { Load { hosts: 3, faults: FAULTS, ..FAULTY }, 0.0 },
    slow_upstream_and_failures = { Load { rate: 2.0, faults: FAULTS, ..FAULTY }, 0.0 },
    part_of_the_hosts = { Load { faults: PART, arrivals: 300.0, ..SOUND }, 0.7 },
    failures = { Load { faults: FAULTS, ..SOUND }, 0.4 },
    failures_and_faulty_links = { Load { faults: FAULTS, ..FAULTY }, 0.1 },
    hundred_hosts_and_failures = { Load { hosts: 100, faults: FAULTS, ..FAULTY }, 0.0 },
)]
fn requests_to_a_cold_upstream_stay_within_the_bound(load: Load, least: f64) {
    for seed in 0..3 {
        let mut fleet = Fleet::new(load, seed);
        fleet.run(26_000);
        let bound = load.rate * 1.5 + 5.0;
        let (peak, mean) = (fleet.peak(), fleet.mean(4_000, 26_000));
        assert!(peak as f64 <= bound, "seed {seed}: {peak} in a second");
        // Here requests leave when they are decided on, so that what is kept for those that leave later is not used.
        let usable = load.rate * 1.25 + 4.0;
        assert!(peak as f64 <= usable, "seed {seed}: {peak} in a second");
        assert!(mean <= load.rate * 1.1, "seed {seed}: mean {mean}");
        assert!(mean >= load.rate * least, "seed {seed}: mean {mean}");
    }
}

/// An event at a host whose upstream is cold for 4 s after a start.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// An entry of the process with this start, with the milliseconds for which it is cold, if it says so.
    Entry(u64, Option<u64>),
    /// A response that names the milliseconds.
    Response(u64),
    Confirmed,
    Removed,
    Evacuated,
    Readmitted,
    /// Time passes, in milliseconds.
    Passed(u64),
}
use Event::{Confirmed, Entry, Evacuated, Passed, Readmitted, Removed, Response};

// Guards against upstreams that get full traffic while they are cold, and against some that are limited without reason.
#[yare::parameterized(
    first_read_says_nothing = { &[Entry(1, None), Confirmed], false },
    first_read = { &[Entry(1, Some(3_000)), Confirmed, Passed(2_900)], true },
    new_process = { &[Confirmed, Entry(1, None), Passed(3_900)], true },
    new_process_ends = { &[Confirmed, Entry(1, None), Passed(4_100)], false },
    new_process_says_for_how_long = { &[Confirmed, Entry(1, Some(1_000)), Passed(1_100)], false },
    restart = { &[Entry(1, None), Confirmed, Entry(2, None)], true },
    rewritten_entry = { &[Entry(1, None), Confirmed, Entry(1, None)], false },
    lapsed_entry = { &[Entry(1, None), Confirmed, Removed, Passed(9_000), Entry(1, None)], false },
    cold_again = { &[Entry(1, Some(0)), Confirmed, Entry(1, Some(500))], true },
    later_entry_says_0 = { &[Confirmed, Entry(1, None), Passed(1_200), Entry(1, Some(0))], false },
    response = { &[Entry(1, None), Confirmed, Response(800), Passed(700)], true },
    late_entry_after_a_response = { &[Entry(1, None), Confirmed, Response(800), Entry(1, Some(0))], true },
    shorter_response = { &[Confirmed, Entry(1, None), Response(100), Passed(3_000)], true },
    evacuated = { &[Entry(1, None), Confirmed, Evacuated], false },
    readmitted = { &[Entry(1, Some(0)), Confirmed, Evacuated, Passed(9_000), Readmitted, Passed(3_900)], true },
    late_entry_after_an_evacuation = { &[Entry(1, None), Confirmed, Evacuated, Readmitted, Entry(1, Some(0))], true },
    entry_after_an_evacuation = { &[Entry(1, None), Confirmed, Evacuated, Readmitted, Passed(2_100), Entry(1, Some(0))], false },
)]
fn upstream_is_cold(events: &[Event], expected: bool) {
    let mut host = relay_fake::Harness::unconfigured("host-1", relay::Options::default());
    let config = Box::new(fleet::config(5.0, 4_000));
    host.feed(relay::Event::Configured(config));
    let start = host.now;
    let id = relay_fake::name("u");
    let zone = relay_fake::name("zone-a");
    for event in events {
        match *event {
            Entry(started, cold) => host.register(relay::Registration {
                started,
                cold_remaining: cold.map(relay_fake::millis),
                ..relay_fake::registration("u", "plain", &[])
            }),
            Response(millis) => host.feed(relay::Event::UpstreamCold {
                upstream: id.clone(),
                started: Some(1),
                remaining: relay_fake::millis(millis),
            }),
            Confirmed => host.confirm(),
            Removed => host.feed(relay::Event::UpstreamRemoved(id.clone())),
            Evacuated => host.feed(relay::Event::ZoneEvacuated(zone.clone())),
            Readmitted => host.feed(relay::Event::EvacuationEnded(zone.clone())),
            Passed(millis) => host.now = host.now + relay_fake::millis(millis),
        }
    }
    let (_, cold) = host.reducer.cold_counts(host.now);
    assert_eq!(cold > 0, expected);
    // What is sent agrees with it. For 3 s after its start, a host sends nothing without a permit.
    host.confirm();
    host.feed(relay::Event::Tick);
    let id = host.arrive(relay_fake::request("/read/1"));
    let evacuations = events.iter().filter(|event| matches!(event, Evacuated));
    let ends = events.iter().filter(|event| matches!(event, Readmitted));
    if evacuations.count() > ends.count() {
        assert!(!host.is_sent(id));
    } else if !expected || host.now.since(start) < relay_fake::millis(3_000) {
        assert_eq!(host.is_sent(id), !expected);
    }
}

// Guards against permits that a host uses in a later second, or that are of an earlier process of it.
#[yare::parameterized(timely = { 500, 0, true }, late = { 650, 0, false }, other_process = { 5, 1, false })]
fn permit_is_used(delay_ms: u64, process: u64, expected: bool) {
    let mut host = relay_fake::Harness::unconfigured("host-1", relay::Options::default());
    host.feed(relay::Event::Configured(Box::new(fleet::config(
        5.0, 4_000,
    ))));
    host.confirm();
    host.register(relay_fake::registration("u", "plain", &[]));
    let report = host.reducer.report(host.now, true);
    host.now = host.now + relay_fake::millis(delay_ms);
    let (upstream, process) = (relay_fake::name("u"), report.colds.process + process);
    let mut view = relay_fake::view(Vec::new());
    view.report_number = report.number;
    view.cold = relay::ColdPermits {
        process,
        exclusive_ms: 9_000,
        permits: vec![relay::ColdPermit {
            upstream,
            remaining_ms: 4_000,
            ceiling: 1,
        }],
    };
    host.feed(relay::Event::ViewReceived(Box::new(view)));
    let ids = [0, 1].map(|_| host.arrive(relay_fake::request("/read/1")));
    assert_eq!(ids.map(|id| host.is_sent(id)), [expected, false]);
}
