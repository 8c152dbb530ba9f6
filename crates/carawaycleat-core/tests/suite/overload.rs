//! Tests of a host that has more requests than processor time.

mod world;

use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::overload;

use world::Policy;
use world::Retries;

/// The part of the processor that refusals may take in the rows that must recover.
const MAX_REFUSAL_WORK: f64 = 0.35;

/// Guards against a host that accepts more than it can do: responses come late or not at all, and it stays so after the load
/// has ended, also when refused callers retry. Compared with a host that serves everything in order of arrival.
#[yare::parameterized(
    short_requests_a_little = { 0.0, 1.3 },
    short_requests_twice = { 0.0, 2.0 },
    short_requests_fourfold = { 0.0, 4.0 },
    mixed_a_little = { 0.5, 1.3 },
    mixed_twice = { 0.5, 2.0 },
    mixed_fourfold = { 0.5, 4.0 },
    streams_a_little = { 1.0, 1.3 },
    streams_twice = { 1.0, 2.0 },
    streams_fourfold = { 1.0, 4.0 },
)]
fn host_with_too_much_serves_what_it_can(streams: f64, factor: f64) {
    for end in [3_000_000, 10_000_000] {
        for retries in [Retries::None, Retries::Once, Retries::AtOnce] {
            let load = world::Load::new(factor, end, streams, retries);
            let report = world::World::play(load, Policy::Lateness);
            let baseline = world::World::play(load, Policy::Everything);
            let label = format!("{load:?}: {report:?}, serving all {baseline:?}");
            assert!(report.refusals.iter().sum::<u64>() > 0, "{label}");
            assert!(report.unanswered <= baseline.unanswered, "{label}");
            if load.refusal_work() > MAX_REFUSAL_WORK {
                continue;
            }
            assert_eq!(report.unanswered, 0, "{label}");
            let recovered = load.last_work() + world::RECOVERY;
            assert!(report.last_late <= recovered, "{label}");
            assert_eq!(report.in_time_after, report.asked_after, "{label}");
            if end < 10_000_000 {
                continue;
            }
            assert!(report.in_time > baseline.in_time, "{label}");
            let possible = load.capacity() * end as f64 / 1e6;
            assert!(report.in_time as f64 > possible * 0.35, "{label}");
        }
    }
}

/// Guards against a rule that serves one load or mixture of requests well and others badly, as each limit on the number of
/// requests in progress does.
#[yare::parameterized(
    few = { 6 },
    some = { 12 },
    many = { 24 },
    very_many = { 48 },
)]
fn no_limit_on_concurrency_serves_more(limit: usize) {
    let (mut by_lateness, mut limited) = (0.0, 0.0);
    for streams in [0.0, 0.5, 1.0] {
        for factor in [0.8, 1.0, 1.3, 2.0, 4.0] {
            let load = world::Load::new(factor, 10_000_000, streams, Retries::None);
            let part = |policy| world::World::play(load, policy).in_time as f64 / load.capacity();
            by_lateness += part(Policy::Lateness);
            limited += part(Policy::Concurrency(limit));
        }
    }
    assert!(by_lateness > limited, "{by_lateness} {limited}");
}

/// Guards against a host that refuses requests although it can serve them.
#[yare::parameterized(
    short_requests = { 0.0 },
    mixed = { 0.5 },
    streams = { 1.0 },
)]
fn host_on_time_refuses_nothing(streams: f64) {
    for retries in [Retries::None, Retries::AtOnce] {
        let load = world::Load::new(0.8, 10_000_000, streams, retries);
        let report = world::World::play(load, Policy::Lateness);
        assert_eq!(report.refusals, [0, 0], "{load:?}");
        assert_eq!(report.in_time, report.asked, "{load:?}");
        let busy = world::Load::new(1.0, 10_000_000, streams, retries);
        let report = world::World::play(busy, Policy::Lateness);
        assert!(
            report.in_time * 4 > report.asked * 3,
            "{busy:?}: {report:?}"
        );
        assert_eq!(report.unanswered, 0, "{busy:?}: {report:?}");
    }
}

/// Guards against urgent requests that are refused while less urgent ones are served.
#[test]
fn less_urgent_requests_are_refused_first() {
    let load = world::Load::new(1.3, 10_000_000, 0.5, Retries::None);
    let [urgent, less_urgent] = world::World::play(load, Policy::Lateness).refusals;
    assert!(urgent * 5 < less_urgent, "{urgent} {less_urgent}");
}

/// Returns a host whose ticks were late by `delay` for a second, and the present time. Ten requests a tick were finished.
fn host(delay: time::Duration) -> (overload::Reducer, clock::Instant) {
    let mut host = overload::Reducer::default();
    let mut now = clock::Instant::from_millis(1_000);
    let end = now + time::Duration::from_secs(1);
    while now < end {
        now = now + time::Duration::from_millis(25) + delay;
        for seed in 0..10 {
            let _ = host.admit(now, 0, seed);
            host.record_finished();
        }
        let _ = host.record_delay(now, delay);
    }
    (host, now)
}

/// Guards against a host that refuses requests because its process stood still for a while.
#[test]
fn single_pause_does_not_count() {
    let (mut host, mut now) = host(time::Duration::ZERO);
    for delay in [1_000, 1, 600, 2, 0, 300] {
        now = now + time::Duration::from_millis(delay + 25);
        let line = host.record_delay(now, time::Duration::from_millis(delay));
        assert!(line.is_none());
    }
    assert!(!host.is_late());
}

/// Guards against a host that refuses everyone, and so never learns that it could serve again.
#[test]
fn late_host_goes_on_admitting() {
    let (mut host, mut now) = host(time::Duration::from_millis(300));
    assert!(host.is_late());
    let mut admitted = [0; 2];
    for round in 0..40_u64 {
        let delay = time::Duration::from_millis(300);
        now = now + delay;
        for seed in 0..100_u64 {
            let priority = (seed % 2) as u8;
            let random = (seed * 42_949_672 + round) | (seed << 32);
            admitted[usize::from(priority)] += u64::from(host.admit(now, priority, random).is_ok());
        }
        let _ = host.record_delay(now, delay);
    }
    assert!(admitted[0] > 40 && admitted[1] > 0, "{admitted:?}");
}

/// Guards against refused callers that all come back at the same time.
#[test]
fn retries_are_spread() {
    let (mut host, now) = host(time::Duration::from_millis(300));
    let waits: Vec<_> = (0..1_000_u64)
        .filter_map(|number| host.admit(now, 0, (number * 4_294_967) << 32).err())
        .collect();
    assert!(waits.len() > 500, "{}", waits.len());
    let (first, last) = (
        waits.iter().min().expect("one"),
        waits.iter().max().expect("one"),
    );
    assert!(
        *last - *first > time::Duration::from_millis(100),
        "{first:?} {last:?}"
    );
}
