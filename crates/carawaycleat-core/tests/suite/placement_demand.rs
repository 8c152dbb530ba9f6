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

/// Guards against a leader that considers only the requests of its own host: the demand measured by two hosts is the
/// same as if one host had measured all of it.
#[test]
fn the_demand_of_two_hosts_adds_up() {
    let at = clock::Instant::from_millis;
    let (mut own, mut peer, mut all) =
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
        all.observe(now, &subject(model), 100 + second);
    }
    // Each exchange with a peer replaces the demand it reported before, which must not be counted twice.
    let mut received = placement::Demand::default();
    for _ in 0..3 {
        for (subject, rate, at) in peer.page(0, 10) {
            received.set(at, subject, rate);
        }
    }
    own.add(&received);
    for model in ["a", "b", "c", "never"] {
        let subject = subject(model);
        let (sum, expected) = (
            own.rate(at(50_000), &subject),
            all.rate(at(50_000), &subject),
        );
        assert!(
            (sum - expected).abs() < 1e-9,
            "{model}: {sum} instead of {expected}"
        );
        assert_eq!(own.last_observed(&subject), all.last_observed(&subject));
    }
}

/// Guards against a model that no exchange ever contains, because each contains only a page of the subjects.
#[test]
fn pages_cover_all_subjects() {
    let mut demand = placement::Demand::default();
    for number in 0..55 {
        let subject = subject(&format!("model-{number:02}"));
        demand.observe(clock::Instant::from_millis(0), &subject, 1);
    }
    let mut seen = collections::BTreeSet::new();
    for number in 7..11 {
        let page: Vec<_> = demand.page(number * 16, 16).collect();
        assert_eq!(page.len(), 16);
        seen.extend(page.into_iter().map(|(subject, ..)| subject.clone()));
    }
    assert_eq!(seen.len(), 55);
    assert_eq!(placement::Demand::default().page(3, 16).count(), 0);
}

/// Guards against models that fill the upstreams and leave no memory for their adapters: in a new group no item has
/// served a request yet, so none may be evicted to free memory.
#[test]
fn each_adapter_of_a_new_group_is_placed() {
    const GIGABYTE: u64 = 1_000_000_000;
    let name = |text: &str| name::Name::parse(text).expect("a valid name");
    let mut items = Vec::new();
    // The models of a site by name, with their size in gigabytes and the number of their adapters.
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
