//! The coordinator's orders to engines and the limits that they keep.

use carawaycleat_core::clock;
use carawaycleat_core::coordinator;
use carawaycleat_core::relay;

use crate::relay_fake;

/// A coordinator whose engines and hosts are simulated by the test.
pub(crate) struct Harness {
    pub(crate) reducer: coordinator::Reducer,
    pub(crate) now: clock::Instant,
    pub(crate) orders: Vec<coordinator::Order>,
}

impl Harness {
    pub(crate) fn new(models: &[&str]) -> Self {
        let mut harness = Self {
            reducer: coordinator::Reducer::new(coordinator::Options {
                // Takes effect only for services whose load is measured by work.
                follows_spikes: true,
                ..coordinator::Options::default()
            }),
            now: clock::Instant::from_millis(100_000),
            orders: Vec::new(),
        };
        harness.configure(relay_fake::engine(models));
        harness.feed(coordinator::Event::Elected(41));
        // After the load window, the loads that a predecessor may have ordered no longer count.
        harness.now = harness.now + relay_fake::millis(6_000);
        harness
    }

    /// Changes the engine specification of the only service.
    pub(crate) fn configure(&mut self, engine: relay::EngineSpec) {
        let services = vec![(relay_fake::name("models"), engine)];
        self.feed(coordinator::Event::Configured {
            version: 1,
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

    /// Registers an engine and lets it respond to a probe.
    pub(crate) fn add_engine(&mut self, id: &str, models: &[&str]) {
        let registration = relay_fake::registration(id, "models", models);
        self.feed(coordinator::Event::UpstreamUpdated(Box::new(registration)));
        self.probe(id, status(models, 0));
    }

    pub(crate) fn probe(&mut self, id: &str, status: coordinator::Status) {
        let id = relay_fake::name(id);
        self.feed(coordinator::Event::Probed(id, Box::new(status)));
    }

    /// Returns the orders of one tick.
    pub(crate) fn tick(&mut self) -> Vec<coordinator::Order> {
        self.orders.clear();
        self.feed(coordinator::Event::Tick { may_order: true });
        std::mem::take(&mut self.orders)
    }

    /// Resolves an order and returns the orders that follow at once.
    pub(crate) fn resolve(
        &mut self,
        order: &coordinator::Order,
        outcome: coordinator::Outcome,
    ) -> Vec<coordinator::Order> {
        self.orders.clear();
        let event = coordinator::Event::OrderResolved(order.engine.clone(), order.number, outcome);
        self.feed(event);
        std::mem::take(&mut self.orders)
    }

    /// Sends a report of `host-1` with demand for a model or adapter.
    pub(crate) fn report_demand(
        &mut self,
        model: &str,
        adapter: Option<&str>,
        tokens: u64,
        waiting: u32,
    ) {
        let demand = relay::Demand {
            service: relay_fake::name("models"),
            model: relay_fake::name(model),
            adapter: adapter.map(relay_fake::name),
            tokens,
            waiting,
            traffic: relay::Traffic::default(),
        };
        let report = report("host-1", 1, demand);
        self.feed(coordinator::Event::Reported(Box::new(report)));
    }

    /// Sends a report of `host-1` with demand for a model and with engines that limit their requests, each with its
    /// limit in requests per second and the requests sent to it so far.
    pub(crate) fn report_limits(&mut self, model: &str, tokens: u64, limits: &[(&str, f64, u64)]) {
        let demand = relay::Demand {
            service: relay_fake::name("models"),
            model: relay_fake::name(model),
            adapter: None,
            tokens,
            waiting: 0,
            traffic: relay::Traffic::default(),
        };
        let limit = |(engine, rate, sent): &(&str, f64, u64)| relay::Limit {
            upstream: relay_fake::name(engine),
            rate: Some(*rate),
            age_ms: 0,
            sent: *sent,
            waiting: 0,
        };
        let report = relay::Report {
            limits: limits.iter().map(limit).collect(),
            ..report("host-1", 1, demand)
        };
        self.feed(coordinator::Event::Reported(Box::new(report)));
    }

    /// Sends a report of `host` with requests that wait for `model` and requests in progress at an engine.
    pub(crate) fn report_from(
        &mut self,
        host: &str,
        number: u64,
        model: &str,
        waiting: u32,
        running: (&str, u32),
    ) {
        let demand = relay::Demand {
            service: relay_fake::name("models"),
            model: relay_fake::name(model),
            adapter: None,
            tokens: 0,
            waiting,
            traffic: relay::Traffic::default(),
        };
        let report = relay::Report {
            running: vec![(relay_fake::name(running.0), running.1)],
            ..report(host, number, demand)
        };
        self.feed(coordinator::Event::Reported(Box::new(report)));
    }

    pub(crate) fn advance(&mut self, millis: u64) {
        self.now = self.now + relay_fake::millis(millis);
    }
}

pub(crate) fn report(host: &str, number: u64, demand: relay::Demand) -> relay::Report {
    relay::Report {
        demands: vec![demand],
        ..empty_report(host, number)
    }
}

/// Returns a report without demand.
pub(crate) fn empty_report(host: &str, number: u64) -> relay::Report {
    relay::Report {
        host: relay_fake::name(host),
        number,
        full: true,
        token_requests: Vec::new(),
        interval_ms: 200,
        demands: Vec::new(),
        running: Vec::new(),
        usage: Vec::new(),
        suspects: Vec::new(),
        limits: Vec::new(),
        leaving: Vec::new(),
        zone: relay_fake::name("zone-1"),
        requests_per_second: 0.0,
        stopping: false,
        colds: relay::Colds::default(),
        evacuated: Vec::new(),
        work: Vec::new(),
        connections: Vec::new(),
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

/// Guards against a model without a replica although an engine has enough free memory.
#[test]
fn model_without_replica_is_loaded_where_memory_is_free() {
    let mut harness = Harness::new(&["small", "rare"]);
    harness.add_engine("one", &["small"]);
    let orders = harness.tick();
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].operation, coordinator::Operation::Load);
    assert_eq!(orders[0].model.as_str(), "rare");
    assert_eq!((orders[0].sequence, orders[0].epoch), (0, 41));
    assert!(
        harness.tick().is_empty(),
        "an order in progress is not repeated"
    );
}

/// Guards against orders for more weights than an engine's memory holds.
#[test]
fn engine_is_never_ordered_beyond_its_memory() {
    let mut harness = Harness::new(&["small", "large", "rare"]);
    harness.add_engine("one", &["small", "large"]);
    for _ in 0..100 {
        harness.advance(50);
        harness.report_demand("rare", None, 10_000, 50);
        let loads = harness
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

/// Guards against the eviction of a model's last replica while there is demand for it.
#[test]
fn last_replica_in_demand_is_not_evicted() {
    let mut harness = Harness::new(&["small", "large", "rare"]);
    harness.add_engine("one", &["small", "large"]);
    for _ in 0..200 {
        harness.advance(100);
        harness.report_demand("small", None, 500, 0);
        harness.report_demand("large", None, 500, 0);
        harness.report_demand("rare", None, 50_000, 40);
        assert!(harness.tick().is_empty());
    }
}

/// Guards against orders of a host that may send none, as after its term.
#[test]
fn no_order_is_sent_outside_the_term() {
    let mut harness = Harness::new(&["small", "rare"]);
    harness.add_engine("one", &["small"]);
    harness.feed(coordinator::Event::Tick { may_order: false });
    assert!(harness.orders.is_empty());
}

/// Guards against orders with a wrong precondition: the count of accepted orders in an engine's registration differs
/// from the one in its status.
#[test]
fn order_waits_for_the_accepted_count_of_a_status() {
    let mut harness = Harness::new(&["small", "rare"]);
    let registration = relay_fake::registration("one", "models", &["small"]);
    harness.feed(coordinator::Event::UpstreamUpdated(Box::new(registration)));
    assert!(harness.tick().is_empty());
    harness.probe("one", status(&["small"], 17));
    assert_eq!(harness.tick()[0].sequence, 17);
}

/// Guards against an order that takes effect twice: one without a response is resent with the same precondition.
#[test]
fn order_without_response_is_resent_with_its_precondition() {
    let mut harness = Harness::new(&["small", "rare"]);
    harness.add_engine("one", &["small"]);
    let order = harness.tick().remove(0);
    harness.resolve(&order, coordinator::Outcome::Unknown);
    harness.advance(50);
    let again = harness.tick();
    assert_eq!(again, [order]);
}

/// Guards against an order that counts as lost although it arrived late: a count of accepted orders above its
/// precondition resolves it.
#[test]
fn accepted_order_without_response_is_resolved_by_the_status() {
    let mut harness = Harness::new(&["small", "rare"]);
    harness.add_engine("one", &["small"]);
    let order = harness.tick().remove(0);
    harness.resolve(&order, coordinator::Outcome::Unknown);
    harness.advance(400);
    harness.probe("one", status(&["small", "rare"], 1));
    assert!(harness.tick().is_empty());
}

/// Guards against more loads from the weight store than the platform allows within the load window.
#[test]
fn loads_from_the_weight_store_are_bounded() {
    let models: Vec<_> = (0..40).map(|index| format!("m{index}")).collect();
    let models: Vec<_> = models.iter().map(String::as_str).collect();
    let mut harness = Harness::new(&models);
    for index in 0..40 {
        harness.add_engine(&format!("engine-{index}"), &[]);
    }
    let loads = harness.tick();
    // 1.4 loads per second over 5 s.
    assert_eq!(loads.len(), 7);
    harness.advance(4_900);
    assert!(harness.tick().is_empty());
    harness.advance(200);
    assert_eq!(harness.tick().len(), 7);
}

/// Guards against more loads than allowed by two coordinators within one load window.
#[test]
fn new_coordinator_counts_loads_of_its_predecessor() {
    let models: Vec<_> = (0..40).map(|index| format!("m{index}")).collect();
    let models: Vec<_> = models.iter().map(String::as_str).collect();
    let mut harness = Harness::new(&models);
    for index in 0..40 {
        harness.add_engine(&format!("engine-{index}"), &[]);
    }
    harness.feed(coordinator::Event::Elected(50));
    for index in 0..40 {
        harness.probe(&format!("engine-{index}"), status(&[], 0));
    }
    assert_eq!(harness.tick().len(), 3);
}

/// Guards against more adapters than an engine has slots for.
#[test]
fn adapters_stay_within_their_slots() {
    let mut harness = Harness::new(&["small"]);
    harness.add_engine("one", &["small"]);
    let mut held = 0_i64;
    let mut sequence = 0;
    for step in 0..60 {
        harness.advance(30);
        let adapter = format!("a{}", step % 6);
        harness.report_demand("small", Some(&adapter), 100, 1);
        for order in harness.tick() {
            assert_eq!(order.sequence, sequence);
            sequence += 1;
            held += match order.operation {
                coordinator::Operation::Load => 1,
                coordinator::Operation::Unload => -1,
            };
            assert!((0..=2).contains(&held), "{held} adapters in two slots");
            harness.resolve(&order, coordinator::Outcome::Accepted);
        }
    }
    assert!(held > 0);
}

/// Guards against an adapter that is loaded at every engine because its first load is not known.
#[test]
fn adapter_is_loaded_once() {
    let mut harness = Harness::new(&["small"]);
    harness.add_engine("one", &["small"]);
    harness.add_engine("two", &["small"]);
    harness.report_demand("small", Some("a1"), 100, 1);
    let orders = harness.tick();
    assert_eq!(orders.len(), 1);
    harness.resolve(&orders[0], coordinator::Outcome::Accepted);
    harness.advance(20);
    harness.report_demand("small", Some("a1"), 100, 1);
    assert!(harness.tick().is_empty());
    let view = harness
        .reducer
        .respond(harness.now, &relay_fake::name("host-1"));
    let holders = view
        .engines
        .iter()
        .filter(|placed| !placed.adapters.is_empty());
    assert_eq!(holders.count(), 1);
}

/// Guards against adapter orders to an engine that is loading a model: it refuses them for seconds, while another
/// engine could load the adapter at once.
#[test]
fn adapter_goes_to_an_engine_that_carries_out_no_order() {
    let mut harness = Harness::new(&["small", "rare"]);
    harness.add_engine("one", &["small"]);
    harness.add_engine("two", &["small"]);
    let load = harness.tick().remove(0);
    assert_eq!(load.model.as_str(), "rare");
    harness.resolve(&load, coordinator::Outcome::Accepted);
    for adapter in ["a1", "a2"] {
        harness.report_demand("small", Some(adapter), 100, 1);
        let order = harness.tick().remove(0);
        assert_eq!(order.adapter.as_deref(), Some(adapter));
        assert_ne!(order.engine, load.engine);
        harness.resolve(&order, coordinator::Outcome::Accepted);
        harness.advance(20);
    }
}

/// Guards against repeated attempts to evict an adapter in use while another one could be evicted.
#[test]
fn adapter_in_use_is_not_chosen_again_for_eviction() {
    let mut harness = Harness::new(&["small"]);
    harness.add_engine("one", &["small"]);
    for adapter in ["a1", "a2"] {
        harness.report_demand("small", Some(adapter), 100, 1);
        let order = harness.tick().remove(0);
        harness.resolve(&order, coordinator::Outcome::Accepted);
        harness.advance(20);
    }
    assert!(harness.tick().is_empty(), "both adapters are loaded");
    harness.advance(1_000);
    harness.report_demand("small", Some("a3"), 100, 1);
    let first = harness.tick().remove(0);
    assert_eq!(first.operation, coordinator::Operation::Unload);
    harness.resolve(&first, coordinator::Outcome::Conflict);
    harness.advance(200);
    harness.report_demand("small", Some("a3"), 100, 1);
    let second = harness.tick().remove(0);
    assert_eq!(second.operation, coordinator::Operation::Unload);
    assert_ne!(second.adapter, first.adapter);
}
