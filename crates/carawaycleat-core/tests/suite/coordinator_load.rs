//! Patterns of demand: where copies of models go.

use carawaycleat_core::coordinator as core_coordinator;

use crate::coordinator;

fn busy(models: &[&str], running: u32) -> core_coordinator::Status {
    core_coordinator::Status {
        running,
        ..coordinator::status(models, 0)
    }
}

/// Pattern: demand moves from one model to another. Guards against copies that stay with the model that has fallen
/// silent while the engines of the busy one are loaded.
#[test]
fn copy_moves_to_the_model_that_is_asked_for() {
    let mut world = coordinator::World::new(&["old", "new", "other"]);
    world.engine("one", &["old", "other"]);
    world.engine("two", &["old", "new"]);
    for _ in 0..30 {
        world.pass(100);
        world.ask("new", None, 5_000, 0);
        world.ask("other", None, 50, 0);
        world.probe("two", busy(&["old", "new"], 4));
        let orders = world.tick();
        let Some(order) = orders.first() else {
            continue;
        };
        assert_eq!(order.engine.as_str(), "one");
        assert_eq!(order.operation, core_coordinator::Operation::Unload);
        assert_eq!(order.model.as_str(), "old");
        return;
    }
    panic!("no copy has moved");
}

/// Pattern: the first requests of a day. Guards against copies of whatever is asked for first, which keep their engines
/// from other orders for the time of a load.
#[test]
fn first_requests_cause_no_copies() {
    let mut world = coordinator::World::new(&["first", "busy"]);
    world.engine("one", &["first", "busy"]);
    world.engine("two", &[]);
    world.ask("first", None, 100, 0);
    assert!(world.tick().is_empty());
    for _ in 0..11 {
        world.pass(100);
        world.ask("busy", None, 5_000, 0);
    }
    let order = world.tick().remove(0);
    assert_eq!(order.operation, core_coordinator::Operation::Load);
    assert_eq!(order.model.as_str(), "busy");
}

/// Pattern: engines that crashed come back empty while a model is busy elsewhere. Guards against an engine that waits
/// for weights from the weight store with others on its disk.
#[test]
fn empty_engine_first_loads_what_is_close() {
    let mut world = coordinator::World::new(&["busy", "calm"]);
    world.engine("one", &["busy", "calm"]);
    for _ in 0..11 {
        world.pass(100);
        world.ask("busy", None, 5_000, 0);
        world.ask("calm", None, 500, 0);
    }
    world.engine("back", &[]);
    world.probe(
        "back",
        core_coordinator::Status {
            on_disk: Some(vec![crate::relay_fake::name("calm")]),
            ..coordinator::status(&[], 0)
        },
    );
    let order = world.tick().remove(0);
    assert_eq!(order.engine.as_str(), "back");
    assert_eq!(order.model.as_str(), "calm");
}

/// Pattern: demand differs while the engines have room. Guards against moves that serve nobody better.
#[test]
fn copies_stay_where_engines_have_room() {
    let mut world = coordinator::World::new(&["old", "new", "other"]);
    world.engine("one", &["old", "other"]);
    world.engine("two", &["old", "new"]);
    for _ in 0..30 {
        world.pass(100);
        world.ask("new", None, 5_000, 0);
        world.ask("other", None, 50, 0);
        world.probe("two", busy(&["old", "new"], 1));
        assert!(world.tick().is_empty());
    }
}

/// Pattern: one receiver and several donors. Guards against all donors giving way at once for one copy.
#[test]
fn each_place_that_is_freed_has_its_successor() {
    let mut world = coordinator::World::new(&["old", "new", "a", "b", "c"]);
    world.engine("one", &["old", "a"]);
    world.engine("two", &["old", "b"]);
    world.engine("three", &["old", "c"]);
    world.engine("four", &["old", "new"]);
    let mut unloads = 0;
    for _ in 0..25 {
        world.pass(100);
        world.ask("new", None, 3_000, 0);
        for other in ["a", "b", "c"] {
            world.ask(other, None, 700, 0);
        }
        world.probe("four", busy(&["old", "new"], 4));
        unloads += world.tick().len();
    }
    assert!((1..=2).contains(&unloads), "{unloads} models gave way");
}

/// Pattern: a freed place. Guards against a place that stays empty, or goes to another model, after its unload.
#[test]
fn successor_is_loaded_when_the_place_is_free() {
    let mut world = coordinator::World::new(&["old", "new", "other"]);
    world.engine("one", &["old", "other"]);
    world.engine("two", &["old", "new"]);
    let order = loop {
        world.pass(100);
        world.ask("new", None, 5_000, 0);
        world.probe("two", busy(&["old", "new"], 4));
        if let Some(order) = world.tick().into_iter().next() {
            break order;
        }
    };
    world.settle(&order, core_coordinator::Outcome::Accepted);
    world.pass(100);
    let left = crate::relay_fake::registration("one", "models", &["other"]);
    world.feed(core_coordinator::Event::UpstreamUpdated(Box::new(left)));
    let load = world.tick().remove(0);
    assert_eq!(load.operation, core_coordinator::Operation::Load);
    assert_eq!((load.model.as_str(), load.sequence), ("new", 1));
}

/// Pattern: a model that nothing asks for, beside a saturated one. Guards against places that idle models keep while
/// their weights are on disk, and against losing a model whose weights are nowhere close.
#[test]
fn idle_model_makes_way_only_when_it_is_on_disk() {
    for on_disk in [false, true] {
        let mut world = coordinator::World::new(&["idle", "new", "a", "b"]);
        world.engine("one", &["idle", "a"]);
        world.engine("two", &["new", "b"]);
        let held = || core_coordinator::Status {
            on_disk: on_disk.then(|| vec![crate::relay_fake::name("idle")]),
            ..coordinator::status(&["idle", "a"], 0)
        };
        let mut unloaded = false;
        for _ in 0..150 {
            world.pass(100);
            world.ask("new", None, 5_000, 0);
            for other in ["a", "b"] {
                world.ask(other, None, 100, 0);
            }
            world.probe("two", busy(&["new", "b"], 4));
            world.probe("one", held());
            let orders = world.tick();
            unloaded |= orders.iter().any(|order| order.model.as_str() == "idle");
        }
        assert_eq!(unloaded, on_disk);
    }
}

/// Pattern: many hosts wait for an engine with one free place. Guards against a place that all of them take at once, and
/// against one that nobody takes.
#[test]
fn free_places_are_divided_among_the_hosts() {
    let mut world = coordinator::World::new(&["small"]);
    world.engine("one", &["small"]);
    let hosts: Vec<_> = (0..30).map(|index| format!("host-{index}")).collect();
    let (rounds, mut room) = (100, 0);
    for round in 0..rounds {
        world.pass(10);
        for (index, host) in hosts.iter().enumerate() {
            let running = if index < 3 { 1 } else { 0 };
            world.hear(
                host,
                round * 30 + index as u64,
                "small",
                1,
                ("one", running),
            );
        }
        let rooms = hosts.iter().map(|host| {
            let view = world
                .reducer
                .respond(world.now, &crate::relay_fake::name(host));
            view.engines[0].reserved_slots
        });
        room += rooms.sum::<u32>();
    }
    // One of four places is free.
    let mean = f64::from(room) / f64::from(rounds as u32);
    assert!((0.5..=1.5).contains(&mean), "{mean} places were given");
}

/// Pattern: a calm day. Guards against a host that has to ask before it can use an engine with many free places.
#[test]
fn each_host_may_use_an_engine_with_many_free_places() {
    let mut world = coordinator::World::new(&["small"]);
    world.engine("one", &["small"]);
    for index in 0..30 {
        let host = format!("host-{index}");
        world.hear(&host, index, "small", 0, ("one", 0));
        let host = crate::relay_fake::name(&host);
        let view = world.reducer.respond(world.now, &host);
        assert!(view.engines[0].reserved_slots > 0);
    }
}

/// Pattern: one request waits for an engine that other hosts use. Guards against free places that go to hosts which need
/// none, while the request waits for several views.
#[test]
fn waiting_request_gets_a_free_place_at_once() {
    let mut world = coordinator::World::new(&["small"]);
    world.engine("one", &["small"]);
    let hosts: Vec<_> = (0..30).map(|index| format!("host-{index}")).collect();
    for round in 0..20 {
        for (index, host) in hosts.iter().enumerate() {
            let (waiting, running) = match index {
                0 | 1 => (0, 1),
                9 => (1, 0),
                _ => (0, 0),
            };
            world.hear(host, round, "small", waiting, ("one", running));
        }
        let host = crate::relay_fake::name("host-9");
        let view = world.reducer.respond(world.now, &host);
        assert!(view.engines[0].reserved_slots > 0, "round {round}");
    }
}

/// Pattern: several hosts wait for the last free places. Guards against a place that is promised twice: those that find
/// it taken wait in the engine's queue, where nobody can send them elsewhere.
#[test]
fn promised_place_is_not_given_again() {
    let mut world = coordinator::World::new(&["small"]);
    world.engine("one", &["small"]);
    world.engine("two", &["small"]);
    world.hear("host-1", 1, "small", 5, ("one", 3));
    world.hear("host-2", 1, "small", 5, ("two", 2));
    let mut rooms = Vec::new();
    for host in ["host-1", "host-2"] {
        let host = crate::relay_fake::name(host);
        let view = world.reducer.respond(world.now, &host);
        rooms.extend(view.engines.iter().map(|placed| placed.reserved_slots));
    }
    // One of four places is free at the first engine, and two at the second one.
    assert_eq!(rooms, [1, 2, 0, 0]);
}

/// Pattern: an engine loads weights for seconds and takes no adapters meanwhile. Guards against requests that wait for an
/// adapter although there was a place for it before.
#[test]
fn adapters_are_loaded_before_requests_wait_for_them() {
    let mut world = coordinator::World::new(&["small"]);
    let mut engine = crate::relay_fake::engine(&["small"]);
    let model = engine.models.values_mut().next().expect("a model");
    model.adapters = ["a1", "a2", "a3"].map(crate::relay_fake::name).to_vec();
    world.configure(engine);
    world.engine("one", &["small"]);
    world.engine("two", &["small"]);
    let mut held = Vec::new();
    for _ in 0..20 {
        world.pass(100);
        for order in world.tick() {
            assert_eq!(order.operation, core_coordinator::Operation::Load);
            world.settle(&order, core_coordinator::Outcome::Accepted);
            held.push((order.engine, order.adapter.expect("an adapter")));
        }
    }
    // Each engine keeps one of its two places for what requests wait for.
    held.sort();
    assert_eq!(held.len(), 2, "{held:?}");
    assert_ne!(held[0].0, held[1].0);
    assert_ne!(held[0].1, held[1].1);
}

/// Pattern: many models are asked for now and then, and a few are saturated. Guards against rare models that keep the
/// places of busy ones where the weight store could bring them back soon, and against models that go back and forth where
/// it could not.
#[test]
fn idle_model_makes_way_the_sooner_the_more_loads_there_are() {
    for (loads_per_second, is_soon) in [(9.0, true), (1.4, false)] {
        let mut world = coordinator::World::new(&["idle", "new", "a", "b"]);
        let mut engine = crate::relay_fake::engine(&["idle", "new", "a", "b"]);
        engine.loads_per_second = loads_per_second;
        world.configure(engine);
        world.engine("one", &["idle", "a"]);
        world.engine("two", &["new", "b"]);
        let held = || core_coordinator::Status {
            on_disk: Some(vec![crate::relay_fake::name("idle")]),
            ..coordinator::status(&["idle", "a"], 0)
        };
        world.ask("idle", None, 100, 0);
        let mut unloaded = false;
        for _ in 0..60 {
            world.pass(100);
            world.ask("new", None, 5_000, 0);
            for other in ["a", "b"] {
                world.ask(other, None, 100, 0);
            }
            world.probe("two", busy(&["new", "b"], 4));
            world.probe("one", held());
            let orders = world.tick();
            unloaded |= orders.iter().any(|order| order.model.as_str() == "idle");
        }
        assert_eq!(unloaded, is_soon, "{loads_per_second} loads a second");
    }
}
