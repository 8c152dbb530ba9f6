use std::collections;
use std::time;

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

pub(crate) fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

pub(crate) fn id(value: u128) -> request::Id {
    request::Id::from_u128(value)
}

/// Returns a snapshot with upstreams `u0`, `u1` and so on in one group and zone.
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

pub(crate) fn load(upstream: &str, sequence: u64) -> routing::Load {
    let resident = |adapter: Option<&str>| routing::Resident {
        model: name("m"),
        adapter: adapter.map(name),
        answered: true,
    };
    routing::Load {
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

/// The names that a need refers to.
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

    pub(crate) fn need(&self) -> routing::Need<'_> {
        routing::Need {
            model: Some(&self.model),
            adapter: None,
            group: &self.group,
            prefixes: &[],
            zone: &self.zone,
            exclude: &[],
        }
    }
}

/// Returns a table with `count` upstreams that have reported at 0 ms.
fn table(count: u16, policy: routing::Policy) -> routing::Table {
    let mut table = routing::Table::new(policy);
    table.configure(&snapshot(1, count, |_, _| {}));
    for index in 0..count {
        assert!(table.report(at(0), load(&format!("u{index}"), 1)));
    }
    table
}

fn hear(table: &mut routing::Table, now: clock::Instant, load: routing::Load) {
    table.report(now, load);
}

/// Returns the upstreams that 200 picks choose.
fn picked(table: &mut routing::Table, now: clock::Instant, need: &routing::Need<'_>) -> String {
    let mut random = fastrand::Rng::with_seed(3);
    let picks = (0..200).filter_map(|_| table.pick(now, need, &mut || random.u64(..)).ok());
    let names: collections::BTreeSet<_> = picks.collect();
    names
        .iter()
        .map(|name| &**name)
        .collect::<Vec<_>>()
        .join(" ")
}

type Change = fn(&mut routing::Table);

#[yare::parameterized(
    all = { |_| {}, 0, "u0 u1 u2" },
    reports_almost_missing = { |_| {}, 1_249, "u0 u1 u2" },
    two_reports_missing = { |table| hear(table, at(500), load("u1", 2)), 1_250, "u1" },
    leaving_by_report = { |table| hear(table, at(0), routing::Load { leaving: true, ..load("u0", 2) }), 0, "u1 u2" },
    leaving_by_resource = { |table| table.configure(&snapshot(2, 3, |index, upstream| upstream.leaving = index == 0)), 0, "u1 u2" },
    leaving_by_old_resource = { |table| table.configure(&snapshot(0, 3, |_, upstream| upstream.leaving = true)), 0, "u0 u1 u2" },
    leaving_by_host_list = { |table| table.set_leaving(&name("u0"), true), 0, "u1 u2" },
    leaving_by_refusal = { |table| {
        table.started(at(0), id(1), &name("u0"), &Names::new().need());
        table.failed(at(0), id(1), routing::Failure::Leaving);
        // This report left before the refusal.
        table.report(at(1), load("u0", 2));
    }, 1, "u1 u2" },
    unreachable = { |table| hear(table, at(0), routing::Load { reachable: false, ..load("u0", 2) }), 0, "u1 u2" },
    not_resident = { |table| hear(table, at(0), routing::Load { resident: Vec::new(), ..load("u0", 2) }), 0, "u1 u2" },
    duplicate = { |table| hear(table, at(0), routing::Load { leaving: true, ..load("u0", 1) }), 0, "u0 u1 u2" },
    old_incarnation = { |table| hear(table, at(0), routing::Load { leaving: true, incarnation: 0, ..load("u0", 9) }), 0, "u0 u1 u2" },
    new_incarnation = { |table| hear(table, at(0), routing::Load { leaving: true, incarnation: 2, ..load("u0", 0) }), 0, "u1 u2" },
    at_capacity = { |table| hear(table, at(0), routing::Load { capacity: 3, in_flight: 3, ..load("u0", 2) }), 0, "u1 u2" },
    removed = { |table| table.configure(&snapshot(2, 2, |_, _| {})), 0, "u0 u1" },
    other_zone = { |table| table.configure(&snapshot(2, 3, |index, upstream| if index == 0 { upstream.availability_zone = name("b") })),
        0, "u1 u2" },
    without_sidecar = { |table| table.configure(&snapshot(2, 4, |index, upstream| if index == 3 { upstream.side_address = None })),
        5_000, "u3" },
)]
fn candidates_are(change: Change, now_ms: u64, expected: &str) {
    let mut table = table(3, routing::Policy::default());
    change(&mut table);
    assert_eq!(
        picked(&mut table, at(now_ms), &Names::new().need()),
        expected
    );
}

#[test]
fn an_adapter_must_be_resident() {
    let (mut table, names) = (table(2, routing::Policy::default()), Names::new());
    table.report(
        at(0),
        routing::Load {
            resident: load("u0", 2).resident[..1].to_vec(),
            ..load("u0", 2)
        },
    );
    let adapter = name("x");
    let need = routing::Need {
        adapter: Some(&adapter),
        ..names.need()
    };
    assert_eq!(picked(&mut table, at(0), &need), "u1");
    let need = routing::Need {
        adapter: Some(&name("y")),
        ..names.need()
    };
    assert_eq!(
        table.pick(at(0), &need, &mut || 0),
        Err(routing::Error::Absent)
    );
}

/// Guards against all hosts following a lagging report to the same upstream, as the least reported load does.
#[yare::parameterized(
    cost = { routing::Choice::Cost, 20, 35 },
    round_robin = { routing::Choice::RoundRobin, 25, 25 },
    least_reported = { routing::Choice::LeastReported, 100, 100 },
)]
fn load_is_corrected_by_what_was_sent(choice: routing::Choice, least: u32, most: u32) {
    let names = Names::new();
    let mut table = routing::Table::new(routing::Policy {
        choice,
        ..routing::Policy::default()
    });
    table.configure(&snapshot(1, 4, |_, upstream| {
        upstream.availability_zone = name("a")
    }));
    (0..4).for_each(|index| hear(&mut table, at(0), load(&format!("u{index}"), 1)));
    let mut random = fastrand::Rng::with_seed(8);
    for index in 0..100 {
        let upstream = table
            .pick(at(1), &names.need(), &mut || random.u64(..))
            .expect("a candidate");
        table.started(at(1), id(index), &upstream, &names.need());
    }
    let highest = (0..4)
        .map(|index| table.in_flight(&name(&format!("u{index}"))))
        .max();
    println!(
        "{choice:?}: the busiest of 4 upstreams got {highest:?} of 100 requests between two reports"
    );
    assert!(highest.is_some_and(|highest| (least..=most).contains(&highest)));
}

/// Guards against an ejected or a far upstream being preferred, and a cached prefix outweighing a queue.
#[yare::parameterized(
    cached = { 0, 0, "u2" },
    cached_and_a_little_busier = { 2, 0, "u2" },
    cached_and_much_busier = { 20, 0, "u0" },
    gap_in_the_events = { 0, 2, "u0 u2" },
)]
fn a_cached_prefix_attracts(in_flight: u32, gap: u64, expected: &str) {
    let (mut table, names) = (table(4, routing::Policy::default()), Names::new());
    for sequence in 1..=12 {
        table.cache_event(&name("u2"), sequence, routing::Cache::Stored(sequence));
    }
    table.cache_event(&name("u2"), 13 + gap, routing::Cache::Evicted(99));
    table.report(
        at(0),
        routing::Load {
            in_flight,
            ..load("u2", 2)
        },
    );
    let prefixes: Vec<u64> = (1..=12).collect();
    let need = routing::Need {
        prefixes: &prefixes,
        ..names.need()
    };
    let exclude = if in_flight == 20 {
        vec![name("u1"), name("u3")]
    } else {
        Vec::new()
    };
    let mut random = fastrand::Rng::with_seed(3);
    let need = routing::Need {
        exclude: &exclude,
        ..need
    };
    let picks: collections::BTreeSet<_> = (0..200)
        .map(|_| {
            table
                .pick(at(0), &need, &mut || random.u64(..))
                .expect("a candidate")
        })
        .filter(|name| gap == 0 || !["u1", "u3"].contains(&&**name))
        .collect();
    let picks: Vec<_> = picks.iter().map(|name| &**name).collect();
    assert_eq!(picks.join(" "), expected);
}

/// Guards against the prefix map growing without bound.
#[test]
fn the_prefix_map_is_bounded() {
    let policy = routing::Policy {
        prefixes: 100,
        ..routing::Policy::default()
    };
    let mut table = table(2, policy);
    (1..10_000).for_each(|sequence| {
        table.cache_event(&name("u0"), sequence, routing::Cache::Stored(sequence))
    });
    assert_eq!(table.prefixes(), 100);
    table.report(
        at(0),
        routing::Load {
            incarnation: 2,
            ..load("u0", 1)
        },
    );
    assert_eq!(table.prefixes(), 0, "a restart numbers events anew");
}

#[yare::parameterized(
    cold_model = { 0, 2_000 },
    fast_model = { 100, 2_000 },
    slow_model = { 500, 4_000 },
)]
fn no_first_token_is_a_stall(usual_ms: u64, limit_ms: u64) {
    let (mut table, names) = (table(2, routing::Policy::default()), Names::new());
    for index in 0..20 {
        table.started(at(0), id(index), &name("u1"), &names.need());
        if usual_ms > 0 {
            table.first_token(at(usual_ms), id(index));
        }
        table.finished(at(usual_ms), id(index));
    }
    table.started(at(0), id(99), &name("u0"), &names.need());
    assert_eq!(table.stalled(at(limit_ms)), []);
    assert_eq!(table.stalled(at(limit_ms + 1)), [(id(99), name("u0"))]);
    assert_eq!(
        table.stalled(at(limit_ms + 2)),
        [],
        "a stall is returned once"
    );
}

#[yare::parameterized(
    floor = { 10, 1_000 },
    slow = { 100, 2_000 },
)]
fn no_further_token_is_a_stall(gap_ms: u64, limit_ms: u64) {
    let (mut table, names) = (table(2, routing::Policy::default()), Names::new());
    table.started(at(0), id(1), &name("u0"), &names.need());
    table.first_token(at(0), id(1));
    (1..=50).for_each(|index| table.token(at(index * gap_ms), id(1)));
    assert_eq!(table.stalled(at(50 * gap_ms + limit_ms)), []);
    assert_eq!(
        table.stalled(at(50 * gap_ms + limit_ms + 1)),
        [(id(1), name("u0"))]
    );
}

/// Guards against a model whose every first token is slow being taken for a fault for ever.
#[test]
fn a_slow_model_is_learned() {
    let (mut table, names) = (table(2, routing::Policy::default()), Names::new());
    table.started(at(0), id(1), &name("u0"), &names.need());
    assert_eq!(table.stalled(at(3_000)).len(), 1);
    table.failed(at(3_000), id(1), routing::Failure::Timeout);
    table.started(at(3_000), id(2), &name("u1"), &names.need());
    assert_eq!(table.stalled(at(6_000)), []);
    table.first_token(at(6_000), id(2));
    table.started(at(6_000), id(3), &name("u1"), &names.need());
    table.finished(at(6_000), id(2));
    assert_eq!(table.stalled(at(30_000)), [], "8 times 3 s");
}

/// Guards against silent upstreams raising the limit without bound while the model has never answered.
#[test]
fn silent_upstreams_do_not_raise_the_limit_for_ever() {
    let (mut table, names) = (table(2, routing::Policy::default()), Names::new());
    let mut now = 0;
    for limit_ms in [2_000, 4_000, 8_000, 16_000, 16_000] {
        (0..9).for_each(|index| table.started(at(now), id(index), &name("u0"), &names.need()));
        assert_eq!(table.stalled(at(now + limit_ms)), []);
        now += limit_ms + 1;
        assert_eq!(table.stalled(at(now)).len(), 9);
        (0..9).for_each(|index| table.failed(at(now), id(index), routing::Failure::Timeout));
    }
}

/// Guards against a faulty upstream getting work at a constant rate, and against one fault counted many times.
#[test]
fn ejections_last_exponentially_longer() {
    let (mut table, names) = (table(2, routing::Policy::default()), Names::new());
    let mut now = 0;
    for expected_ms in [1_000, 2_000, 4_000, 8_000, 16_000, 32_000, 60_000, 60_000] {
        for index in 0..5 {
            table.started(at(now), id(index), &name("u0"), &names.need());
        }
        (0..5).for_each(|index| table.failed(at(now), id(index), routing::Failure::Broken));
        for (later, expected) in [(expected_ms - 1, "u1"), (expected_ms, "u0 u1")] {
            for upstream in ["u0", "u1"] {
                table.report(at(now + later), load(upstream, now + later + 2));
            }
            assert_eq!(picked(&mut table, at(now + later), &names.need()), expected);
        }
        now += expected_ms;
    }
    table.started(at(now), id(1), &name("u0"), &names.need());
    assert_eq!(
        picked(&mut table, at(now), &names.need()),
        "u1",
        "one request at a time tests it"
    );
    table.finished(at(now), id(1));
    for (index, upstream) in [(2, "u0"), (3, "u1")] {
        table.started(at(now), id(index), &name(upstream), &names.need());
    }
    assert_eq!(
        picked(&mut table, at(now), &names.need()),
        "u0 u1",
        "an answer ends the test"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against faults at many upstreams at once, such as a bad request, taking a model away.
    #[test]
    fn at_most_half_are_ejected(count in 1..9_u16, faults in prop::collection::vec((0..9_u16, 0..400_u64), 1..40)) {
        let run = |percent: usize| {
            let policy = routing::Policy { ejected_percent: percent, ..routing::Policy::default() };
            let (mut table, names) = (table(count, policy), Names::new());
            let mut now = 0;
            let mut least = usize::from(count);
            for (upstream, wait) in &faults {
                now = (now + wait).min(1_200);
                table.started(at(now), id(1), &name(&format!("u{}", upstream % count)), &names.need());
                table.failed(at(now), id(1), routing::Failure::Crossed);
                least = least.min(picked(&mut table, at(now), &names.need()).split_whitespace().count());
            }
            least
        };
        prop_assert!(run(50) >= usize::from(count.div_ceil(2)));
        let hit: collections::BTreeSet<_> = faults.iter().map(|(upstream, _)| upstream % count).collect();
        let is_at_once = faults.iter().map(|(_, wait)| wait).sum::<u64>() < 1_000;
        if hit.len() == usize::from(count) && is_at_once {
            prop_assert_eq!(run(100), 0, "the naive rule takes all away");
        }
    }
}

/// Guards against a limit of ejections that is never seen to matter.
#[test]
fn without_the_bound_all_are_ejected() {
    let policy = routing::Policy {
        ejected_percent: 100,
        ..routing::Policy::default()
    };
    let (mut table, names) = (table(2, policy), Names::new());
    for upstream in ["u0", "u1"] {
        table.started(at(0), id(1), &name(upstream), &names.need());
        table.failed(at(0), id(1), routing::Failure::Broken);
    }
    assert_eq!(
        picked(
            &mut table,
            at(0) + time::Duration::from_millis(1),
            &names.need()
        ),
        ""
    );
}
