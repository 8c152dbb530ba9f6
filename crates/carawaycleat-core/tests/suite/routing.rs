use std::collections;

use carawaycleat_core::clock;
use carawaycleat_core::config;
use carawaycleat_core::name;
use carawaycleat_core::request;
use carawaycleat_core::resource;
use carawaycleat_core::routing;
use proptest::prelude::*;

pub(crate) fn name(text: &str) -> name::Name {
    name::Name::parse(text).expect("a valid name")
}

/// Returns a configuration with a fixed seed, so that the cases are the same in each run.
pub(crate) fn seeded(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

pub(crate) fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

pub(crate) fn id(value: u128) -> request::Id {
    request::Id::from_u128(value)
}

/// Returns a snapshot with the upstreams `u0`, `u1` and so on in one group and zone, each changed by `change`.
pub(crate) fn snapshot(
    revision: u64,
    count: u16,
    change: impl Fn(u16, &mut resource::Upstream),
) -> config::Snapshot {
    let mut snapshot = config::Snapshot::new(revision);
    for index in 0..count {
        let mut upstream = resource::Upstream {
            group: name("g"),
            address: ([127, 0, 0, 1], 7_000 + index).into(),
            side_address: Some(([127, 0, 0, 1], 8_000 + index).into()),
            availability_zone: name("a"),
            memory_bytes: 1,
            fencing: resource::Fencing::Checked,
            leaving: false,
        };
        change(index, &mut upstream);
        let resource = resource::Resource::Upstream(upstream);
        snapshot.insert(
            name(&format!("u{index}")),
            config::Entry { revision, resource },
        );
    }
    snapshot
}

/// Returns a report in which the model `m` and its adapter `x` are resident.
pub(crate) fn report(upstream: &str, sequence: u64) -> routing::Report {
    let resident = |adapter: Option<&str>| routing::Resident {
        model: name("m"),
        adapter: adapter.map(name),
        answered: true,
    };
    routing::Report {
        upstream: name(upstream),
        incarnation: 1,
        sequence,
        leaving: false,
        reachable: true,
        resident: vec![resident(None), resident(Some("x"))],
        in_flight: 0,
        waiting: 0,
        capacity: 0,
    }
}

/// The names that criteria refer to.
pub(crate) struct Names {
    pub(crate) model: name::Name,
    group: name::Name,
    zone: name::Name,
}

impl Names {
    pub(crate) fn new() -> Self {
        Self {
            model: name("m"),
            group: name("g"),
            zone: name("a"),
        }
    }

    pub(crate) fn criteria(&self) -> routing::Criteria<'_> {
        routing::Criteria {
            model: Some(&self.model),
            adapter: None,
            group: &self.group,
            prefixes: &[],
            zone: &self.zone,
            exclude: &[],
        }
    }
}

/// A table with upstreams whose first reports were received at 0 ms.
struct Fixture {
    table: routing::Table,
    names: Names,
}

impl Fixture {
    fn new(count: u16, change: impl Fn(&mut routing::Policy)) -> Self {
        let mut policy = routing::Policy::default();
        change(&mut policy);
        let mut table = routing::Table::new(policy);
        table.configure(&snapshot(1, count, |_, _| {}));
        for index in 0..count {
            assert!(table.apply_report(at(0), report(&format!("u{index}"), 1)));
        }
        Self {
            table,
            names: Names::new(),
        }
    }

    fn configure(&mut self, revision: u64, count: u16, change: fn(u16, &mut resource::Upstream)) {
        self.table.configure(&snapshot(revision, count, change));
    }

    fn report(&mut self, sequence: u64, change: fn(&mut routing::Report)) {
        let mut report = report("u0", sequence);
        change(&mut report);
        self.table.apply_report(at(0), report);
    }

    fn start(&mut self, millis: u64, request: u128, upstream: &str) {
        self.table.record_start(
            at(millis),
            id(request),
            &name(upstream),
            &self.names.criteria(),
        );
    }

    fn fail(&mut self, millis: u64, request: u128, failure: routing::Failure) {
        self.table.record_failure(at(millis), id(request), failure);
    }

    /// Returns the requests that have stalled since the last call.
    fn stalled(&mut self, millis: u64) -> Vec<u128> {
        let stalled = self.table.detect_stalls(at(millis)).into_iter();
        stalled.map(|(id, _)| id.as_u128()).collect()
    }

    /// Returns the upstreams that 200 picks select, separated by spaces.
    fn picked(&mut self, millis: u64) -> String {
        let names = Names::new();
        self.picked_for(millis, &names.criteria())
    }

    fn picked_for(&mut self, millis: u64, criteria: &routing::Criteria<'_>) -> String {
        let mut random = fastrand::Rng::with_seed(3);
        let mut pick = |_| {
            self.table
                .pick(at(millis), criteria, &mut || random.u64(..))
                .ok()
        };
        let names: collections::BTreeSet<_> = (0..200).filter_map(&mut pick).collect();
        names
            .iter()
            .map(|name| &**name)
            .collect::<Vec<_>>()
            .join(" ")
    }
}

fn unchanged(_: &mut routing::Policy) {}

#[yare::parameterized(
    all = { |_| {}, 0, "u0 u1 u2" },
    reports_almost_missing = { |_| {}, 1_249, "u0 u1 u2" },
    two_reports_missing = { |it| { it.table.apply_report(at(500), report("u1", 2)); }, 1_250, "u1" },
    leaving_by_report = { |it| it.report(2, |report| report.leaving = true), 0, "u1 u2" },
    leaving_by_resource = { |it| it.configure(2, 3, |index, it| it.leaving = index == 0), 0, "u1 u2" },
    leaving_by_old_resource = { |it| it.configure(0, 3, |_, it| it.leaving = true), 0, "u0 u1 u2" },
    leaving_by_host_list = { |it| it.table.set_leaving(&name("u0"), true), 0, "u1 u2" },
    leaving_by_refusal = { |it| {
        it.start(0, 1, "u0");
        it.fail(0, 1, routing::Failure::Leaving);
        // This report was sent before the refusal.
        it.report(2, |_| {});
    }, 1, "u1 u2" },
    unreachable = { |it| it.report(2, |report| report.reachable = false), 0, "u1 u2" },
    not_resident = { |it| it.report(2, |report| report.resident.clear()), 0, "u1 u2" },
    duplicate = { |it| it.report(1, |report| report.leaving = true), 0, "u0 u1 u2" },
    old_incarnation = { |it| it.report(9, |report| (report.incarnation, report.leaving) = (0, true)), 0, "u0 u1 u2" },
    new_incarnation = { |it| it.report(0, |report| (report.incarnation, report.leaving) = (2, true)), 0, "u1 u2" },
    at_capacity = { |it| it.report(2, |report| (report.capacity, report.in_flight) = (3, 3)), 0, "u1 u2" },
    removed = { |it| it.configure(2, 2, |_, _| {}), 0, "u0 u1" },
    busy_with_requests_sent_since_the_report = { |it| {
        it.configure(2, 2, |_, _| {});
        it.report(2, |report| report.in_flight = 10);
        it.report(2, |report| (report.upstream, report.in_flight) = (name("u1"), 12));
        (0..5).for_each(|request| it.start(0, request, "u0"));
    }, 0, "u1" },
    other_zone = { |it| it.configure(2, 3, |index, it| if index == 0 { it.availability_zone = name("b") }), 0, "u1 u2" },
    without_sidecar = { |it| it.configure(2, 4, |index, it| if index == 3 { it.side_address = None }), 5_000, "u3" },
)]
fn candidates_are(change: fn(&mut Fixture), now_ms: u64, expected: &str) {
    let mut fixture = Fixture::new(3, unchanged);
    change(&mut fixture);
    assert_eq!(fixture.picked(now_ms), expected);
}

#[yare::parameterized(
    one = { "x", "u1" },
    none = { "y", "" },
)]
fn an_adapter_must_be_resident(adapter: &str, expected: &str) {
    let mut fixture = Fixture::new(2, unchanged);
    fixture.report(2, |report| report.resident.truncate(1));
    let (adapter, names) = (name(adapter), Names::new());
    let mut criteria = names.criteria();
    criteria.adapter = Some(&adapter);
    assert_eq!(fixture.picked_for(0, &criteria), expected);
}

/// Guards against all hosts sending their requests between two reports to the same upstream, as the strategy
/// `LeastReportedLoad` does because it takes only the lagging reports into account.
#[yare::parameterized(
    cost = { routing::Strategy::Cost, 20, 35 },
    round_robin = { routing::Strategy::RoundRobin, 25, 25 },
    least_reported = { routing::Strategy::LeastReportedLoad, 100, 100 },
)]
fn load_includes_requests_sent_since_the_report(
    strategy: routing::Strategy,
    least: u32,
    most: u32,
) {
    let mut fixture = Fixture::new(4, |policy| policy.strategy = strategy);
    let mut random = fastrand::Rng::with_seed(8);
    for index in 0..100 {
        let criteria = fixture.names.criteria();
        let upstream = fixture.table.pick(at(1), &criteria, &mut || random.u64(..));
        fixture.start(1, index, &upstream.expect("a candidate"));
    }
    let in_flight = |index| fixture.table.in_flight(&name(&format!("u{index}")));
    let highest = (0..4).map(in_flight).max().unwrap_or(0);
    println!(
        "{strategy:?}: the busiest of 4 upstreams got {highest} of 100 requests between two reports"
    );
    assert!((least..=most).contains(&highest));
}

/// Guards against stale prefixes after a gap in the cache events, and against a cached prefix outweighing a long queue.
#[yare::parameterized(
    cached = { 0, 0, "u1" },
    cached_and_a_little_busier = { 2, 0, "u1" },
    cached_and_much_busier = { 20, 0, "u0" },
    gap_in_the_events = { 0, 2, "u0 u1" },
)]
fn a_cached_prefix_attracts_requests(in_flight: u32, gap: u64, expected: &str) {
    let mut fixture = Fixture::new(2, unchanged);
    for sequence in 1..=12 {
        fixture.table.apply_cache_event(
            &name("u1"),
            sequence,
            routing::cache::Event::Stored(sequence),
        );
    }
    fixture
        .table
        .apply_cache_event(&name("u1"), 13 + gap, routing::cache::Event::Evicted(99));
    let mut busy = report("u1", 2);
    busy.in_flight = in_flight;
    fixture.table.apply_report(at(0), busy);
    let (names, prefixes) = (Names::new(), (1..=12).collect::<Vec<u64>>());
    let mut criteria = names.criteria();
    criteria.prefixes = &prefixes;
    assert_eq!(fixture.picked_for(0, &criteria), expected);
}

/// Guards against sending a prompt to another upstream than the one that has just processed its prefix.
#[test]
fn a_processed_prompt_attracts_requests_with_its_prefixes() {
    let mut fixture = Fixture::new(2, unchanged);
    let (names, prefixes) = (Names::new(), (1..=12).collect::<Vec<u64>>());
    let mut criteria = names.criteria();
    criteria.prefixes = &prefixes;
    assert_eq!(fixture.picked_for(0, &criteria), "u0 u1");
    fixture.table.record_prefixes(&name("u1"), &prefixes);
    assert_eq!(fixture.picked_for(0, &criteria), "u1");
    let mut restarted = report("u1", 1);
    restarted.incarnation += 1;
    fixture.table.apply_report(at(0), restarted);
    let picked = fixture.picked_for(0, &criteria);
    assert_eq!(picked, "u0 u1", "a restart empties the cache");
}

/// Guards against the prefix map growing without bound.
#[test]
fn the_prefix_map_is_bounded() {
    let mut fixture = Fixture::new(2, |policy| policy.max_prefixes = 100);
    for sequence in 1..10_000 {
        fixture.table.apply_cache_event(
            &name("u0"),
            sequence,
            routing::cache::Event::Stored(sequence),
        );
    }
    assert_eq!(fixture.table.prefix_count(), 100);
    fixture.report(1, |report| report.incarnation = 2);
    assert_eq!(
        fixture.table.prefix_count(),
        0,
        "a restart resets the sequence numbers of events"
    );
}

#[yare::parameterized(
    cold_model = { None, 2_000 },
    fast_model = { Some(100), 2_000 },
    slow_model = { Some(500), 4_000 },
)]
fn a_missing_first_token_is_a_stall(usual_ms: Option<u64>, timeout_ms: u64) {
    let mut fixture = Fixture::new(2, unchanged);
    for (request, usual_ms) in (0..20).zip(usual_ms.into_iter().cycle()) {
        fixture.start(0, request, "u1");
        fixture.table.record_first_token(at(usual_ms), id(request));
        fixture.table.record_success(at(usual_ms), id(request));
    }
    fixture.start(0, 99, "u0");
    assert_eq!(fixture.stalled(timeout_ms), []);
    assert_eq!(fixture.stalled(timeout_ms + 1), [99]);
    assert_eq!(
        fixture.stalled(timeout_ms + 2),
        [],
        "a stall is returned once"
    );
}

#[yare::parameterized(
    floor = { 10, 1_000 },
    slow = { 100, 2_000 },
)]
fn a_missing_further_token_is_a_stall(gap_ms: u64, timeout_ms: u64) {
    let mut fixture = Fixture::new(2, unchanged);
    fixture.start(0, 1, "u0");
    fixture.table.record_first_token(at(0), id(1));
    (1..=50).for_each(|index| fixture.table.record_token(at(index * gap_ms), id(1)));
    assert_eq!(fixture.stalled(50 * gap_ms + timeout_ms), []);
    assert_eq!(fixture.stalled(50 * gap_ms + timeout_ms + 1), [1]);
}

/// Guards against treating a model whose first tokens are always slow as faulty for ever.
#[test]
fn a_slow_model_is_learned() {
    let mut fixture = Fixture::new(2, unchanged);
    fixture.start(0, 1, "u0");
    assert_eq!(fixture.stalled(3_000), [1]);
    fixture.fail(3_000, 1, routing::Failure::Timeout);
    fixture.start(3_000, 2, "u1");
    assert_eq!(fixture.stalled(6_000), []);
    fixture.table.record_first_token(at(6_000), id(2));
    fixture.table.record_success(at(6_000), id(2));
    fixture.start(6_000, 3, "u1");
    assert_eq!(fixture.stalled(30_000), [], "8 times 3 s");
}

/// Guards against unresponsive upstreams raising the timeout without bound while the model has never responded.
#[test]
fn unresponsive_upstreams_do_not_raise_the_timeout_without_bound() {
    let mut fixture = Fixture::new(2, unchanged);
    let mut now = 0;
    for timeout_ms in [2_000, 4_000, 8_000, 16_000, 16_000] {
        (0..9).for_each(|request| fixture.start(now, request, "u0"));
        assert_eq!(fixture.stalled(now + timeout_ms), []);
        now += timeout_ms + 1;
        assert_eq!(fixture.stalled(now).len(), 9);
        (0..9).for_each(|request| fixture.fail(now, request, routing::Failure::Timeout));
    }
}

/// Guards against a faulty upstream getting requests at a constant rate, and against counting one fault several times.
#[test]
fn the_duration_of_ejections_doubles() {
    let mut fixture = Fixture::new(2, unchanged);
    let mut now = 0;
    for expected_ms in [1_000, 2_000, 4_000, 8_000, 16_000, 32_000, 60_000, 60_000] {
        (0..5).for_each(|request| fixture.start(now, request, "u0"));
        (0..5).for_each(|request| fixture.fail(now, request, routing::Failure::Error));
        for (later, expected) in [(now + expected_ms - 1, "u1"), (now + expected_ms, "u0 u1")] {
            for upstream in ["u0", "u1"] {
                fixture
                    .table
                    .apply_report(at(later), report(upstream, later + 2));
            }
            assert_eq!(fixture.picked(later), expected);
        }
        now += expected_ms;
    }
    fixture.start(now, 1, "u0");
    assert_eq!(
        fixture.picked(now),
        "u1",
        "one request at a time after an ejection"
    );
    fixture.table.record_success(at(now), id(1));
    fixture.start(now, 2, "u0");
    fixture.start(now, 3, "u1");
    assert_eq!(
        fixture.picked(now),
        "u0 u1",
        "a completed request ends the restriction"
    );
}

proptest! {
    #![proptest_config(seeded(128))]

    /// Guards against a model becoming unavailable when many upstreams fail at once, for example from a bad request.
    #[test]
    fn at_most_half_are_ejected(count in 1..9_u16, faults in prop::collection::vec((0..9_u16, 0..400_u64), 1..40)) {
        let run = |percent: usize| {
            let mut fixture = Fixture::new(count, |policy| policy.max_ejected_percent = percent);
            let mut now = 0;
            let mut least = usize::from(count);
            for (upstream, wait) in &faults {
                now = (now + wait).min(1_200);
                fixture.start(now, 1, &format!("u{}", upstream % count));
                fixture.fail(now, 1, routing::Failure::Mismatched);
                least = least.min(fixture.picked(now).split_whitespace().count());
            }
            least
        };
        prop_assert!(run(50) >= usize::from(count.div_ceil(2)));
        let failed: collections::BTreeSet<_> = faults.iter().map(|(upstream, _)| upstream % count).collect();
        let is_simultaneous = faults.iter().map(|(_, wait)| wait).sum::<u64>() < 1_000;
        if failed.len() == usize::from(count) && is_simultaneous {
            prop_assert_eq!(run(100), 0, "without the limit, all are ejected");
        }
    }
}
