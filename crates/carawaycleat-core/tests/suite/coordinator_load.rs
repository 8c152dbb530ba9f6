//! Placement of replicas, slots and adapters under patterns of demand.

use carawaycleat_core::coordinator as core_coordinator;

use crate::coordinator;

fn busy(models: &[&str], running: u32) -> core_coordinator::Status {
    core_coordinator::Status {
        running,
        ..coordinator::status(models, 0)
    }
}

/// Demand moves from one model to another. Guards against replicas of the model without demand that stay while the
/// engines of the other one are loaded.
#[test]
fn replica_is_evicted_for_the_model_in_demand() {
    let mut harness = coordinator::Harness::new(&["old", "new", "other"]);
    harness.add_engine("one", &["old", "other"]);
    harness.add_engine("two", &["old", "new"]);
    for _ in 0..30 {
        harness.advance(100);
        harness.report_demand("new", None, 5_000, 0);
        harness.report_demand("other", None, 50, 0);
        harness.probe("two", busy(&["old", "new"], 4));
        let orders = harness.tick();
        let Some(order) = orders.first() else {
            continue;
        };
        assert_eq!(order.engine.as_str(), "one");
        assert_eq!(order.operation, core_coordinator::Operation::Unload);
        assert_eq!(order.model.as_str(), "old");
        return;
    }
    panic!("no replica was evicted");
}

/// The first requests after a quiet time. Guards against replicas of the models that are requested first: their loads
/// keep engines from other orders.
#[test]
fn first_requests_cause_no_replicas() {
    let mut harness = coordinator::Harness::new(&["first", "busy"]);
    harness.add_engine("one", &["first", "busy"]);
    harness.add_engine("two", &[]);
    harness.report_demand("first", None, 100, 0);
    assert!(harness.tick().is_empty());
    for _ in 0..11 {
        harness.advance(100);
        harness.report_demand("busy", None, 5_000, 0);
    }
    let order = harness.tick().remove(0);
    assert_eq!(order.operation, core_coordinator::Operation::Load);
    assert_eq!(order.model.as_str(), "busy");
}

/// An engine that crashed comes back empty while another model is in higher demand. Guards against an engine that waits
/// for weights from the weight store while it has others on its disk.
#[test]
fn empty_engine_first_loads_cached_weights() {
    let mut harness = coordinator::Harness::new(&["busy", "calm"]);
    harness.add_engine("one", &["busy", "calm"]);
    for _ in 0..11 {
        harness.advance(100);
        harness.report_demand("busy", None, 5_000, 0);
        harness.report_demand("calm", None, 500, 0);
    }
    harness.add_engine("back", &[]);
    harness.probe(
        "back",
        core_coordinator::Status {
            on_disk: Some(vec![crate::relay_fake::name("calm")]),
            ..coordinator::status(&[], 0)
        },
    );
    let order = harness.tick().remove(0);
    assert_eq!(order.engine.as_str(), "back");
    assert_eq!(order.model.as_str(), "calm");
}

/// Demand differs between models while their engines have free slots. Guards against evictions that improve nothing.
#[test]
fn replicas_stay_while_utilization_is_low() {
    let mut harness = coordinator::Harness::new(&["old", "new", "other"]);
    harness.add_engine("one", &["old", "other"]);
    harness.add_engine("two", &["old", "new"]);
    for _ in 0..30 {
        harness.advance(100);
        harness.report_demand("new", None, 5_000, 0);
        harness.report_demand("other", None, 50, 0);
        harness.probe("two", busy(&["old", "new"], 1));
        assert!(harness.tick().is_empty());
    }
}

/// Returns the first order while two engines that hold the model in demand limit their requests, so that a quarter of
/// their slots is in use, and a third engine has `running` requests in progress.
fn order_beside_limited_engines(running: u32) -> Option<core_coordinator::Order> {
    let mut harness = coordinator::Harness::new(&["busy", "calm", "other"]);
    harness.add_engine("limited-1", &["busy", "calm"]);
    harness.add_engine("limited-2", &["busy", "calm"]);
    harness.add_engine("free", &["calm", "other"]);
    (1..=30).find_map(|step| {
        harness.advance(100);
        // Two requests per second, each of which takes half a second.
        let sent = step / 5;
        let limits = [("limited-1", 2.0, sent), ("limited-2", 2.0, sent)];
        harness.report_limits("busy", 5_000, &limits);
        harness.report_demand("calm", None, 100, 0);
        harness.report_demand("other", None, 100, 0);
        for engine in ["limited-1", "limited-2"] {
            harness.probe(engine, busy(&["busy", "calm"], 1));
        }
        harness.probe("free", busy(&["calm", "other"], running));
        harness.tick().into_iter().next()
    })
}

/// All engines that hold a model in demand limit their requests. Guards against requests that wait for it while another
/// engine has free slots, because the slots that the limits leave unused count as capacity.
#[test]
fn model_at_limited_engines_gets_a_replica_at_another_one() {
    let order = order_beside_limited_engines(1).expect("an order");
    assert_eq!(order.engine.as_str(), "free");
    assert_eq!(order.operation, core_coordinator::Operation::Unload);
    assert_eq!(order.model.as_str(), "calm");
}

/// The engines without a limit are full. Guards against replicas that take slots from the models they hold.
#[test]
fn full_engine_gets_no_replica_beside_limited_engines() {
    assert!(order_beside_limited_engines(4).is_none());
}

/// Several models could be evicted for one other. Guards against the eviction of all of them for a single replica.
#[test]
fn each_eviction_has_its_replacement() {
    let mut harness = coordinator::Harness::new(&["old", "new", "a", "b", "c"]);
    harness.add_engine("one", &["old", "a"]);
    harness.add_engine("two", &["old", "b"]);
    harness.add_engine("three", &["old", "c"]);
    harness.add_engine("four", &["old", "new"]);
    let mut unloads = 0;
    for _ in 0..25 {
        harness.advance(100);
        harness.report_demand("new", None, 3_000, 0);
        for other in ["a", "b", "c"] {
            harness.report_demand(other, None, 700, 0);
        }
        harness.probe("four", busy(&["old", "new"], 4));
        unloads += harness.tick().len();
    }
    assert!((1..=2).contains(&unloads), "{unloads} models were evicted");
}

/// A model is unloaded for another one. Guards against freed memory that stays empty or goes to a third model.
#[test]
fn replacement_is_loaded_when_memory_is_free() {
    let mut harness = coordinator::Harness::new(&["old", "new", "other"]);
    harness.add_engine("one", &["old", "other"]);
    harness.add_engine("two", &["old", "new"]);
    let order = loop {
        harness.advance(100);
        harness.report_demand("new", None, 5_000, 0);
        harness.probe("two", busy(&["old", "new"], 4));
        if let Some(order) = harness.tick().into_iter().next() {
            break order;
        }
    };
    harness.resolve(&order, core_coordinator::Outcome::Accepted);
    harness.advance(100);
    let registration = crate::relay_fake::registration("one", "models", &["other"]);
    harness.feed(core_coordinator::Event::UpstreamUpdated(Box::new(
        registration,
    )));
    let load = harness.tick().remove(0);
    assert_eq!(load.operation, core_coordinator::Operation::Load);
    assert_eq!((load.model.as_str(), load.sequence), ("new", 1));
}

/// A model has no demand while another one is saturated. Guards against idle models that keep their memory although
/// their weights are on disk, and against the eviction of a model whose weights are on no engine's disk.
#[test]
fn idle_model_is_evicted_only_when_it_is_on_disk() {
    for on_disk in [false, true] {
        let mut harness = coordinator::Harness::new(&["idle", "new", "a", "b"]);
        harness.add_engine("one", &["idle", "a"]);
        harness.add_engine("two", &["new", "b"]);
        let held = || core_coordinator::Status {
            on_disk: on_disk.then(|| vec![crate::relay_fake::name("idle")]),
            ..coordinator::status(&["idle", "a"], 0)
        };
        let mut unloaded = false;
        for _ in 0..150 {
            harness.advance(100);
            harness.report_demand("new", None, 5_000, 0);
            for other in ["a", "b"] {
                harness.report_demand(other, None, 100, 0);
            }
            harness.probe("two", busy(&["new", "b"], 4));
            harness.probe("one", held());
            let orders = harness.tick();
            unloaded |= orders.iter().any(|order| order.model.as_str() == "idle");
        }
        assert_eq!(unloaded, on_disk);
    }
}

/// Requests of many hosts wait for an engine with one free slot. Guards against a slot that all hosts use at once, and
/// against one that no host uses.
#[test]
fn free_slots_are_divided_among_the_hosts() {
    let mut harness = coordinator::Harness::new(&["small"]);
    harness.add_engine("one", &["small"]);
    let hosts: Vec<_> = (0..30).map(|index| format!("host-{index}")).collect();
    let (rounds, mut usable_slots) = (100, 0);
    for round in 0..rounds {
        harness.advance(10);
        for (index, host) in hosts.iter().enumerate() {
            let running = if index < 3 { 1 } else { 0 };
            harness.report_from(
                host,
                round * 30 + index as u64,
                "small",
                1,
                ("one", running),
            );
        }
        let slots_by_host = hosts.iter().map(|host| {
            let view = harness
                .reducer
                .respond(harness.now, &crate::relay_fake::name(host));
            view.engines[0].usable_slots
        });
        usable_slots += slots_by_host.sum::<u32>();
    }
    // One of four slots is free.
    let mean = f64::from(usable_slots) / f64::from(rounds as u32);
    assert!((0.5..=1.5).contains(&mean), "{mean} slots were given");
}

/// The load is low. Guards against a host that needs a reservation to use an engine with many free slots.
#[test]
fn each_host_may_use_an_engine_with_many_free_slots() {
    let mut harness = coordinator::Harness::new(&["small"]);
    harness.add_engine("one", &["small"]);
    for index in 0..30 {
        let host = format!("host-{index}");
        harness.report_from(&host, index, "small", 0, ("one", 0));
        let host = crate::relay_fake::name(&host);
        let view = harness.reducer.respond(harness.now, &host);
        assert!(view.engines[0].usable_slots > 0);
    }
}

/// One request waits for an engine that other hosts use. Guards against free slots that go to hosts without waiting
/// requests, while the request waits for several views.
#[test]
fn waiting_request_gets_a_free_slot_at_once() {
    let mut harness = coordinator::Harness::new(&["small"]);
    harness.add_engine("one", &["small"]);
    let hosts: Vec<_> = (0..30).map(|index| format!("host-{index}")).collect();
    for round in 0..20 {
        for (index, host) in hosts.iter().enumerate() {
            let (waiting, running) = match index {
                0 | 1 => (0, 1),
                9 => (1, 0),
                _ => (0, 0),
            };
            harness.report_from(host, round, "small", waiting, ("one", running));
        }
        let host = crate::relay_fake::name("host-9");
        let view = harness.reducer.respond(harness.now, &host);
        assert!(view.engines[0].usable_slots > 0, "round {round}");
    }
}

/// Requests of several hosts wait for the last free slots. Guards against a slot that is reserved twice: a request that
/// finds it taken waits in the engine's queue, from where it cannot be sent to another engine.
#[test]
fn slot_is_not_reserved_twice() {
    let mut harness = coordinator::Harness::new(&["small"]);
    harness.add_engine("one", &["small"]);
    harness.add_engine("two", &["small"]);
    harness.report_from("host-1", 1, "small", 5, ("one", 3));
    harness.report_from("host-2", 1, "small", 5, ("two", 2));
    let mut usable_slots = Vec::new();
    for host in ["host-1", "host-2"] {
        let host = crate::relay_fake::name(host);
        let view = harness.reducer.respond(harness.now, &host);
        usable_slots.extend(view.engines.iter().map(|engine| engine.usable_slots));
    }
    // One of four slots is free at the first engine, and two at the second one.
    assert_eq!(usable_slots, [1, 2, 0, 0]);
}

/// Engines load no adapters for seconds while they load weights. Guards against requests that wait for an adapter that
/// could have been loaded before.
#[test]
fn adapters_are_loaded_before_requests_wait_for_them() {
    let mut harness = coordinator::Harness::new(&["small"]);
    let mut engine = crate::relay_fake::engine(&["small"]);
    let model = engine.models.values_mut().next().expect("a model");
    model.adapters = ["a1", "a2", "a3"].map(crate::relay_fake::name).to_vec();
    harness.configure(engine);
    harness.add_engine("one", &["small"]);
    harness.add_engine("two", &["small"]);
    let mut held = Vec::new();
    for _ in 0..20 {
        harness.advance(100);
        for order in harness.tick() {
            assert_eq!(order.operation, core_coordinator::Operation::Load);
            harness.resolve(&order, core_coordinator::Outcome::Accepted);
            held.push((order.engine, order.adapter.expect("an adapter")));
        }
    }
    // Each engine keeps one of its two slots free for adapters that requests wait for.
    held.sort();
    assert_eq!(held.len(), 2, "{held:?}");
    assert_ne!(held[0].0, held[1].0);
    assert_ne!(held[0].1, held[1].1);
}

/// Many models have occasional requests and a few are saturated. Guards against rarely requested models that keep
/// memory from saturated ones where the weight store could reload them soon, and against models that are evicted and
/// reloaded in turn where it could not.
#[test]
fn idle_timeout_is_shorter_with_more_loads() {
    for (loads_per_second, is_evicted) in [(9.0, true), (1.4, false)] {
        let mut harness = coordinator::Harness::new(&["idle", "new", "a", "b"]);
        let mut engine = crate::relay_fake::engine(&["idle", "new", "a", "b"]);
        engine.loads_per_second = loads_per_second;
        harness.configure(engine);
        harness.add_engine("one", &["idle", "a"]);
        harness.add_engine("two", &["new", "b"]);
        let held = || core_coordinator::Status {
            on_disk: Some(vec![crate::relay_fake::name("idle")]),
            ..coordinator::status(&["idle", "a"], 0)
        };
        harness.report_demand("idle", None, 100, 0);
        let mut unloaded = false;
        for _ in 0..60 {
            harness.advance(100);
            harness.report_demand("new", None, 5_000, 0);
            for other in ["a", "b"] {
                harness.report_demand(other, None, 100, 0);
            }
            harness.probe("two", busy(&["new", "b"], 4));
            harness.probe("one", held());
            let orders = harness.tick();
            unloaded |= orders.iter().any(|order| order.model.as_str() == "idle");
        }
        assert_eq!(unloaded, is_evicted, "{loads_per_second} loads per second");
    }
}
