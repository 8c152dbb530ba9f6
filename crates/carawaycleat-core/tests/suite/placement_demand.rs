use std::collections;

use carawaycleat_core::clock;
use carawaycleat_core::memory;
use carawaycleat_core::name;
use carawaycleat_core::placement;

use crate::placement as fixture;

fn subject(model: &str) -> placement::Subject {
    placement::Subject {
        model: name::Name::parse(model).expect("a valid name"),
        adapter: None,
    }
}

/// Guards against a decider that places by its own requests alone: what two hosts measured counts as if one had.
#[test]
fn the_demand_of_two_hosts_adds_up() {
    let at = clock::Instant::from_millis;
    let (mut own, mut peer, mut whole) =
        <(placement::Demand, placement::Demand, placement::Demand)>::default();
    for (second, model) in [
        (0, "a"),
        (1, "b"),
        (7, "a"),
        (20, "c"),
        (31, "a"),
        (40, "b"),
    ] {
        let now = at(second * 1_000);
        let host = if second % 2 == 0 { &mut own } else { &mut peer };
        host.observe(now, &subject(model), 100 + second);
        whole.observe(now, &subject(model), 100 + second);
    }
    // What a peer tells is set anew at each exchange and must not count twice.
    let mut heard = placement::Demand::default();
    for _ in 0..3 {
        for (subject, rate, at) in peer.page(0, 10) {
            heard.set(at, subject, rate);
        }
    }
    own.add(&heard);
    for model in ["a", "b", "c", "never"] {
        let subject = subject(model);
        let (sum, one) = (
            own.rate(at(50_000), &subject),
            whole.rate(at(50_000), &subject),
        );
        assert!((sum - one).abs() < 1e-9, "{model}: {sum} for {one}");
        assert_eq!(own.last_observed(&subject), whole.last_observed(&subject));
    }
}

/// Guards against a model that no digest ever carries, because each carries only a part.
#[test]
fn parts_reach_all_subjects() {
    let mut demand = placement::Demand::default();
    for number in 0..55 {
        let subject = subject(&format!("model-{number:02}"));
        demand.observe(clock::Instant::from_millis(0), &subject, 1);
    }
    let mut seen = collections::BTreeSet::new();
    for number in 7..11 {
        let part: Vec<_> = demand.page(number * 16, 16).collect();
        assert_eq!(part.len(), 16);
        seen.extend(part.into_iter().map(|(subject, ..)| subject.clone()));
    }
    assert_eq!(seen.len(), 55);
    assert_eq!(placement::Demand::default().page(3, 16).count(), 0);
}

/// Guards against models that fill upstreams so that their adapters find no room: nothing has answered yet, so nothing
/// may be dropped to make any.
#[test]
fn each_adapter_of_a_new_group_finds_room() {
    const GIGABYTE: u64 = 1_000_000_000;
    let name = |text: &str| name::Name::parse(text).expect("a valid name");
    let mut items = Vec::new();
    // The models of a site in the order of their names, with the number of their adapters.
    for (model, size, adapters) in [
        ("contract-large", 28, 1),
        ("contract-main", 14, 1),
        ("draft-large", 28, 7),
        ("draft-main", 14, 5),
        ("draft-small", 8, 4),
        ("route-large", 28, 3),
        ("route-main", 14, 4),
        ("route-small", 8, 3),
        ("season-main", 14, 1),
        ("season-small", 8, 1),
        ("summary-main", 14, 2),
        ("summary-small", 8, 1),
        ("translate-main", 14, 3),
        ("translate-small", 8, 3),
        ("weather-small", 8, 1),
    ] {
        let id = memory::Id::model(name(model), name(&format!("{model}@1")));
        for number in 0..adapters {
            let adapter = name(&format!("{model}-{number}"));
            items.push(memory::Item::new(id.with_adapter(adapter), GIGABYTE / 5));
        }
        items.push(memory::Item::new(id, size * GIGABYTE));
    }
    let upstream = |number| placement::Upstream {
        name: name(&format!("engine-{number}")),
        availability_zone: name(&format!("zone-{}", number % 3)),
        memory_bytes: 30 * GIGABYTE,
        tokens_per_second: 1_000.0,
        state: placement::State::Live,
        resident: Vec::new(),
    };
    let mut upstreams: Vec<_> = (0..10).map(upstream).collect();
    let demand = placement::Demand::default();
    let mut planner = placement::Planner::default();
    let mut plan: Option<placement::Plan> = None;
    for second in 0..30 {
        let inputs = placement::Inputs {
            group: name("group"),
            items: items.clone(),
            upstreams: upstreams.clone(),
            demand: &demand,
            limits: fixture::LIMITS,
            loads_in_flight: 0,
            previous: plan.as_ref(),
        };
        let next = planner.plan(clock::Instant::from_millis(second * 1_000), &inputs);
        plan = next.or(plan);
        for upstream in &mut upstreams {
            let held = plan.as_ref().and_then(|plan| plan.holdings(&upstream.name));
            let resident = |item: &memory::Item| placement::Residence {
                item: item.clone(),
                answered: false,
            };
            upstream.resident = held.unwrap_or_default().iter().map(resident).collect();
        }
    }
    let is_held = |item: &&memory::Item| {
        let mut held = upstreams.iter().flat_map(|u| &u.resident);
        held.any(|r| r.item.id == item.id)
    };
    let missing: Vec<_> = items.iter().filter(|item| !is_held(item)).collect();
    assert!(missing.is_empty(), "no upstream holds {missing:?}");
}
