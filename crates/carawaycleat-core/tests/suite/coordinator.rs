//! The coordinator: orders to engines, and the bounds that they keep.

use carawaycleat_core::clock;
use carawaycleat_core::coordinator;
use carawaycleat_core::relay;

use crate::relay_fake;

/// A coordinator with engines that the test plays.
pub(crate) struct World {
    pub(crate) reducer: coordinator::Reducer,
    pub(crate) now: clock::Instant,
    pub(crate) orders: Vec<coordinator::Order>,
}

impl World {
    pub(crate) fn new(models: &[&str]) -> Self {
        let mut world = Self {
            reducer: coordinator::Reducer::new(coordinator::Options::default()),
            now: clock::Instant::from_millis(100_000),
            orders: Vec::new(),
        };
        world.configure(relay_fake::engine(models));
        world.feed(coordinator::Event::Elected(41));
        // The loads that a predecessor may have ordered are forgotten after the window.
        world.now = world.now + relay_fake::millis(6_000);
        world
    }

    /// Changes what the engines of the only service have.
    pub(crate) fn configure(&mut self, engine: relay::EngineSpec) {
        let services = vec![(relay_fake::name("models"), engine)];
        self.feed(coordinator::Event::Configured {
            services,
            workspaces: vec![relay_fake::workspace(1_000)],
        });
    }

    pub(crate) fn feed(&mut self, event: coordinator::Event) {
        for effect in self.reducer.step(self.now, event) {
            if let coordinator::Effect::Order(order) = effect {
                self.orders.push(order);
            }
        }
    }

    /// Adds an engine and lets it answer a probe.
    pub(crate) fn engine(&mut self, id: &str, models: &[&str]) {
        let sighting = relay_fake::registration(id, "models", models);
        self.feed(coordinator::Event::UpstreamUpdated(Box::new(sighting)));
        self.probe(id, status(models, 0));
    }

    pub(crate) fn probe(&mut self, id: &str, status: coordinator::Status) {
        let id = relay_fake::name(id);
        self.feed(coordinator::Event::Probed(id, Box::new(status)));
    }

    /// Returns the orders of one step.
    pub(crate) fn tick(&mut self) -> Vec<coordinator::Order> {
        self.orders.clear();
        self.feed(coordinator::Event::Tick { may_order: true });
        std::mem::take(&mut self.orders)
    }

    pub(crate) fn settle(
        &mut self,
        order: &coordinator::Order,
        outcome: coordinator::Outcome,
    ) -> Vec<coordinator::Order> {
        self.orders.clear();
        let event = coordinator::Event::OrderResolved(order.engine.clone(), order.number, outcome);
        self.feed(event);
        std::mem::take(&mut self.orders)
    }

    pub(crate) fn ask(&mut self, model: &str, adapter: Option<&str>, tokens: u64, waiting: u32) {
        let ask = relay::Demand {
            service: relay_fake::name("models"),
            model: relay_fake::name(model),
            adapter: adapter.map(relay_fake::name),
            tokens,
            waiting,
        };
        let report = report("host-1", 1, ask);
        self.feed(coordinator::Event::Reported(Box::new(report)));
    }

    /// Hears a report of `host` with requests that wait for `model` and requests in progress at an engine.
    pub(crate) fn hear(
        &mut self,
        host: &str,
        number: u64,
        model: &str,
        waiting: u32,
        running: (&str, u32),
    ) {
        let ask = relay::Demand {
            service: relay_fake::name("models"),
            model: relay_fake::name(model),
            adapter: None,
            tokens: 0,
            waiting,
        };
        let report = relay::Report {
            running: vec![(relay_fake::name(running.0), running.1)],
            ..report(host, number, ask)
        };
        self.feed(coordinator::Event::Reported(Box::new(report)));
    }

    pub(crate) fn pass(&mut self, millis: u64) {
        self.now = self.now + relay_fake::millis(millis);
    }
}

fn report(host: &str, number: u64, ask: relay::Demand) -> relay::Report {
    relay::Report {
        host: relay_fake::name(host),
        number,
        full: true,
        token_requests: Vec::new(),
        interval_ms: 200,
        demands: vec![ask],
        running: Vec::new(),
        usage: Vec::new(),
        suspects: Vec::new(),
    }
}

pub(crate) fn status(models: &[&str], sequence: u64) -> coordinator::Status {
    coordinator::Status {
        models: models
            .iter()
            .map(|model| (relay_fake::name(model), Vec::new()))
            .collect(),
        sequence,
        ..coordinator::Status::default()
    }
}

/// Guards against a model that no engine holds although one has room.
#[test]
fn lost_model_is_loaded_where_there_is_room() {
    let mut world = World::new(&["small", "rare"]);
    world.engine("one", &["small"]);
    let orders = world.tick();
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].operation, coordinator::Operation::Load);
    assert_eq!(orders[0].model.as_str(), "rare");
    assert_eq!((orders[0].sequence, orders[0].epoch), (0, 41));
    assert!(
        world.tick().is_empty(),
        "an order in progress is not repeated"
    );
}

/// Guards against more weights than an engine's memory holds.
#[test]
fn engine_is_never_ordered_beyond_its_memory() {
    let mut world = World::new(&["small", "large", "rare"]);
    world.engine("one", &["small", "large"]);
    for _ in 0..100 {
        world.pass(50);
        world.ask("rare", None, 10_000, 50);
        let loads = world
            .tick()
            .into_iter()
            .filter(|order| order.operation == coordinator::Operation::Load);
        assert_eq!(
            loads.count(),
            0,
            "two models of 72 GB and adapters fill 200 GB"
        );
    }
}

/// Guards against a last copy that makes way while it is asked for.
#[test]
fn last_copy_that_is_asked_for_stays() {
    let mut world = World::new(&["small", "large", "rare"]);
    world.engine("one", &["small", "large"]);
    for _ in 0..200 {
        world.pass(100);
        world.ask("small", None, 500, 0);
        world.ask("large", None, 500, 0);
        world.ask("rare", None, 50_000, 40);
        assert!(world.tick().is_empty());
    }
}

/// Guards against orders of a host whose term is over.
#[test]
fn no_order_is_sent_outside_the_term() {
    let mut world = World::new(&["small", "rare"]);
    world.engine("one", &["small"]);
    world.feed(coordinator::Event::Tick { may_order: false });
    assert!(world.orders.is_empty());
}

/// Guards against orders under a wrong condition: the count of an engine's entry is another one than that of its
/// report.
#[test]
fn order_waits_for_the_engines_own_count() {
    let mut world = World::new(&["small", "rare"]);
    let sighting = relay_fake::registration("one", "models", &["small"]);
    world.feed(coordinator::Event::UpstreamUpdated(Box::new(sighting)));
    assert!(world.tick().is_empty());
    world.probe("one", status(&["small"], 17));
    assert_eq!(world.tick()[0].sequence, 17);
}

/// Guards against an order that takes effect twice: one without an answer is repeated under the same condition.
#[test]
fn unanswered_order_is_repeated_with_its_condition() {
    let mut world = World::new(&["small", "rare"]);
    world.engine("one", &["small"]);
    let order = world.tick().remove(0);
    world.settle(&order, coordinator::Outcome::Unknown);
    world.pass(50);
    let again = world.tick();
    assert_eq!(again, [order]);
}

/// Guards against a late order that is believed lost: a count beyond its condition settles it.
#[test]
fn accepted_order_that_got_no_answer_is_settled_by_the_report() {
    let mut world = World::new(&["small", "rare"]);
    world.engine("one", &["small"]);
    let order = world.tick().remove(0);
    world.settle(&order, coordinator::Outcome::Unknown);
    world.pass(400);
    world.probe("one", status(&["small", "rare"], 1));
    assert!(world.tick().is_empty());
}

/// Guards against more loads from the weight store than the platform allows in its window.
#[test]
fn loads_from_the_weight_store_are_bounded() {
    let models: Vec<_> = (0..40).map(|index| format!("m{index}")).collect();
    let models: Vec<_> = models.iter().map(String::as_str).collect();
    let mut world = World::new(&models);
    for index in 0..40 {
        world.engine(&format!("engine-{index}"), &[]);
    }
    let loads = world.tick();
    // 1.4 loads a second over 5 s.
    assert_eq!(loads.len(), 7);
    world.pass(4_900);
    assert!(world.tick().is_empty());
    world.pass(200);
    assert_eq!(world.tick().len(), 7);
}

/// Guards against a burst of loads by two coordinators within one window.
#[test]
fn new_coordinator_assumes_loads_of_the_one_before() {
    let models: Vec<_> = (0..40).map(|index| format!("m{index}")).collect();
    let models: Vec<_> = models.iter().map(String::as_str).collect();
    let mut world = World::new(&models);
    for index in 0..40 {
        world.engine(&format!("engine-{index}"), &[]);
    }
    world.feed(coordinator::Event::Elected(50));
    for index in 0..40 {
        world.probe(&format!("engine-{index}"), status(&[], 0));
    }
    assert_eq!(world.tick().len(), 3);
}

/// Guards against more adapters than an engine has places for.
#[test]
fn adapters_stay_within_their_places() {
    let mut world = World::new(&["small"]);
    world.engine("one", &["small"]);
    let mut held = 0_i64;
    let mut sequence = 0;
    for step in 0..60 {
        world.pass(30);
        let adapter = format!("a{}", step % 6);
        world.ask("small", Some(&adapter), 100, 1);
        for order in world.tick() {
            assert_eq!(order.sequence, sequence);
            sequence += 1;
            held += match order.operation {
                coordinator::Operation::Load => 1,
                coordinator::Operation::Unload => -1,
            };
            assert!((0..=2).contains(&held), "{held} adapters in two places");
            world.settle(&order, coordinator::Outcome::Accepted);
        }
    }
    assert!(held > 0);
}

/// Guards against an adapter that is loaded at every engine because the first load was not seen.
#[test]
fn adapter_is_loaded_once() {
    let mut world = World::new(&["small"]);
    world.engine("one", &["small"]);
    world.engine("two", &["small"]);
    world.ask("small", Some("a1"), 100, 1);
    let orders = world.tick();
    assert_eq!(orders.len(), 1);
    world.settle(&orders[0], coordinator::Outcome::Accepted);
    world.pass(20);
    world.ask("small", Some("a1"), 100, 1);
    assert!(world.tick().is_empty());
    let view = world
        .reducer
        .respond(world.now, &relay_fake::name("host-1"));
    let holders = view
        .engines
        .iter()
        .filter(|placed| !placed.adapters.is_empty());
    assert_eq!(holders.count(), 1);
}

/// Guards against adapters that are ordered from an engine that is loading a model: it refuses them for seconds, while
/// another engine could have them at once.
#[test]
fn adapter_goes_to_an_engine_that_carries_out_no_order() {
    let mut world = World::new(&["small", "rare"]);
    world.engine("one", &["small"]);
    world.engine("two", &["small"]);
    let load = world.tick().remove(0);
    assert_eq!(load.model.as_str(), "rare");
    world.settle(&load, coordinator::Outcome::Accepted);
    for adapter in ["a1", "a2"] {
        world.ask("small", Some(adapter), 100, 1);
        let order = world.tick().remove(0);
        assert_eq!(order.adapter.as_deref(), Some(adapter));
        assert_ne!(order.engine, load.engine);
        world.settle(&order, coordinator::Outcome::Accepted);
        world.pass(20);
    }
}

/// Guards against an adapter in use that is to make way again and again, while another one could.
#[test]
fn adapter_in_use_is_not_chosen_again_to_make_way() {
    let mut world = World::new(&["small"]);
    world.engine("one", &["small"]);
    for adapter in ["a1", "a2"] {
        world.ask("small", Some(adapter), 100, 1);
        let order = world.tick().remove(0);
        world.settle(&order, coordinator::Outcome::Accepted);
        world.pass(20);
    }
    assert!(world.tick().is_empty(), "both adapters have arrived");
    world.pass(1_000);
    world.ask("small", Some("a3"), 100, 1);
    let first = world.tick().remove(0);
    assert_eq!(first.operation, coordinator::Operation::Unload);
    world.settle(&first, coordinator::Outcome::Conflict);
    world.pass(200);
    world.ask("small", Some("a3"), 100, 1);
    let second = world.tick().remove(0);
    assert_eq!(second.operation, coordinator::Operation::Unload);
    assert_ne!(second.adapter, first.adapter);
}
