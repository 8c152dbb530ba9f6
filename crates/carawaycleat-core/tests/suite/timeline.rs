use carawaycleat_core::clock;
use carawaycleat_core::name;
use carawaycleat_core::timeline;

use proptest::prelude::*;

fn name(text: &str) -> name::Name {
    name::Name::parse(text).expect("a valid name")
}

fn clock(host: &str) -> clock::Hybrid {
    clock::Hybrid::new(name(host))
}

fn event(host: &str, wall_ms: u64) -> timeline::Event {
    timeline::Event::new(clock(host).tick(wall_ms), timeline::Kind::Arrived)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against events of a host in the wrong order after its wall clock jumps.
    #[test]
    fn stamps_of_a_host_increase(walls in prop::collection::vec(any::<u64>(), 2..50)) {
        let mut clock = clock("a");
        let stamps: Vec<_> = walls.into_iter().map(|wall| clock.tick(wall)).collect();
        prop_assert!(stamps.is_sorted_by(|a, b| a < b));
    }

    /// Guards against an effect that sorts before its cause when clocks differ by less than the bound.
    #[test]
    fn a_receipt_follows_the_message(
        steps in prop::collection::vec((any::<bool>(), 0..clock::Hybrid::MAX_AHEAD_MS / 2), 2..50),
    ) {
        let base = 1_000_000;
        let (mut left, mut right) = (clock("a"), clock("b"));
        for (to_right, skew) in steps {
            let (from, to) = if to_right { (&mut left, &mut right) } else { (&mut right, &mut left) };
            let sent = from.tick(base + skew);
            prop_assert!(to.receive(base, &sent) > sent);
        }
    }
}

/// Guards against one wrong clock that moves the stamps of all hosts into the future.
#[test]
fn a_stamp_far_ahead_is_not_adopted() {
    let far = clock("broken").tick(1_000 + clock::Hybrid::MAX_AHEAD_MS + 1);
    let mut clock = clock("a");
    let received = clock.receive(1_000, &far);
    assert_eq!(received.wall_ms, 1_000);
    assert!(clock.tick(1_000) > received);
}

/// Guards against a counter overflow caused by a hostile or damaged stamp.
#[test]
fn a_counter_at_its_maximum_is_not_adopted() {
    let remote = clock::Stamp {
        wall_ms: 1_000,
        counter: u64::MAX,
        host: name("broken"),
    };
    let mut clock = clock("a");
    let first = clock.receive(1_000, &remote);
    assert!(clock.receive(1_000, &remote) > first);
}

/// Guards against unbounded memory, and against an unnoticed loss of events.
#[test]
fn a_full_ring_drops_the_oldest_and_counts_them() {
    let mut ring = timeline::Ring::new(2);
    for wall_ms in 1..=5 {
        ring.push(event("a", wall_ms));
    }
    let walls: Vec<_> = ring.iter().map(|event| event.stamp.wall_ms).collect();
    assert_eq!((walls, ring.dropped()), (vec![4, 5], 3));
}

/// Guards against an event that is shown twice because two hosts returned it, and against a wrong order.
#[test]
fn merged_events_are_ordered_and_distinct() {
    let (a, b, c) = (event("a", 1), event("b", 1), event("a", 2));
    let lists = vec![
        vec![c.clone(), a.clone()],
        vec![a.clone(), b.clone()],
        vec![c.clone()],
    ];
    assert_eq!(timeline::merge(lists), [a, b, c]);
}

/// Guards against two events with the same stamp, as after a restart with the clock set back, being taken for one.
#[test]
fn different_events_with_one_stamp_are_kept() {
    let first = event("a", 1).with_detail("one");
    let second = event("a", 1).with_detail("two");
    let lists = vec![vec![second.clone(), first.clone()], vec![first.clone()]];
    assert_eq!(timeline::merge(lists), [first, second]);
}

#[yare::parameterized(
    request = { "request=r1", 1 },
    workspace = { "workspace=city", 1 },
    model = { "model=small", 1 },
    upstream = { "upstream=u1", 1 },
    since = { "since=2", 2 },
    limit = { "limit=2", 2 },
    all = { "", 3 },
    none = { "workspace=city&model=other", 0 },
)]
fn a_filter_selects(query: &str, count: usize) {
    let mut ring = timeline::Ring::new(10);
    ring.push(event("a", 1));
    ring.push(
        event("a", 2)
            .with_model(name("other"))
            .with_upstream(name("u2")),
    );
    let full = event("a", 3)
        .with_request("r1")
        .with_workspace(name("city"))
        .with_model(name("small"))
        .with_upstream(name("u1"));
    ring.push(full);
    let filter = timeline::Filter::parse(query).expect("a valid query");
    assert_eq!(filter.to_query(), query);
    assert_eq!(ring.select(&filter).len(), count);
}

#[yare::parameterized(
    unknown = { "colour=red" },
    not_a_number = { "limit=many" },
    not_a_name = { "model=a/b" },
    escape = { "request=a%26b" },
)]
fn a_wrong_query_is_refused(query: &str) {
    assert!(timeline::Filter::parse(query).is_err());
}

/// Guards against a caller's key in the timeline when an error message quotes a header (P4).
#[yare::parameterized(
    plain = { "header Authorization: Bearer s3cret" },
    lower = { "authorization: bearer s3cret, retry" },
    no_space = { "Bearer:s3cret" },
    upper = { "BEARER  s3cret" },
)]
fn a_quoted_key_is_redacted(detail: &str) {
    let mut ring = timeline::Ring::new(1);
    ring.push(event("a", 1).with_detail(detail).with_request(detail));
    let json = serde_json::to_string(&ring.select(&timeline::Filter::default())).expect("JSON");
    assert!(!json.contains("s3cret"), "{json}");
    assert!(json.contains("redacted"), "{json}");
}

/// Guards against a rename of a kind that readers of the JSON depend on.
#[test]
fn an_event_survives_json() {
    let event =
        timeline::Event::new(clock("a").tick(5), timeline::Kind::FirstToken).with_detail("12");
    let json = serde_json::to_string(&event).expect("JSON");
    assert!(json.contains(r#""kind":"first_token""#), "{json}");
    assert_eq!(
        serde_json::from_str::<timeline::Event>(&json).expect("an event"),
        event
    );
}

/// Guards against an effect that is shown before its cause when the clocks of two hosts differ.
#[yare::parameterized(
    equal = { 0 },
    sidecar_ahead = { 5_000 },
    sidecar_behind = { -5_000 },
)]
fn causes_come_before_effects(sidecar_ahead_ms: i64) {
    const START_MS: u64 = 1_000_000;
    let side_wall = |wall_ms: u64| wall_ms.saturating_add_signed(sidecar_ahead_ms);
    let mut entry = clock::Hybrid::new(name("entry-1"));
    let mut side = clock::Hybrid::new(name("engine-1"));
    let mut at_entry = Vec::new();
    let mut at_side = Vec::new();
    // A request is sent to the sidecar, which reports that it started and, 200 ms later, that it ended.
    at_entry.push(timeline::Event::new(
        entry.tick(START_MS),
        timeline::Kind::Dispatched,
    ));
    let job = entry.tick(START_MS);
    side.receive(side_wall(START_MS + 1), &job);
    at_side.push(timeline::Event::new(
        side.tick(side_wall(START_MS + 1)),
        timeline::Kind::Started,
    ));
    let started = side.tick(side_wall(START_MS + 1));
    entry.receive(START_MS + 2, &started);
    at_entry.push(timeline::Event::new(
        entry.tick(START_MS + 2),
        timeline::Kind::FirstToken,
    ));
    at_side.push(timeline::Event::new(
        side.tick(side_wall(START_MS + 200)),
        timeline::Kind::Finished,
    ));
    let ended = side.tick(side_wall(START_MS + 200));
    entry.receive(START_MS + 201, &ended);
    at_entry.push(timeline::Event::new(
        entry.tick(START_MS + 201),
        timeline::Kind::Finished,
    ));
    let merged = timeline::merge(vec![at_side, at_entry]);
    let shown = merged
        .iter()
        .map(|event| (event.host.as_str(), event.kind))
        .collect::<Vec<_>>();
    let position = |host, kind| shown.iter().position(|found| *found == (host, kind));
    let order = [
        position("entry-1", timeline::Kind::Dispatched),
        position("engine-1", timeline::Kind::Started),
        position("entry-1", timeline::Kind::FirstToken),
        position("entry-1", timeline::Kind::Finished),
    ];
    assert!(order.is_sorted(), "{shown:?}");
    let ends = [
        position("engine-1", timeline::Kind::Started),
        position("engine-1", timeline::Kind::Finished),
        position("entry-1", timeline::Kind::Finished),
    ];
    assert!(ends.is_sorted(), "{shown:?}");
}
