//! The coordinator with numbers at their limits in what engines, hosts and the configuration say.

use carawaycleat_core::clock;
use carawaycleat_core::coordinator;
use carawaycleat_core::relay;

use crate::relay_fake;

/// Guards against a panic, which ends the process, at a sum or a time built from a number that another process sent.
#[yare::parameterized(
    engine_sequence = { u64::MAX, 0, 0, 1.4 },
    engine_load = { 1, u32::MAX, 0, 1.4 },
    host_counts = { 1, 0, u32::MAX, 1.4 },
    load_rate = { 1, 0, 0, 1e300 },
    negative_load_rate = { 1, 0, 0, -1e300 },
    all = { u64::MAX, u32::MAX, u32::MAX, 1e300 },
)]
fn extreme_numbers_do_not_end_the_process(sequence: u64, load: u32, count: u32, rate: f64) {
    let now = clock::Instant::from_millis(100_000);
    let mut reducer = coordinator::Reducer::new(coordinator::Options::default());
    let hosts = [relay_fake::name("host-1"), relay_fake::name("host-2")];
    let service = relay_fake::name("models");
    let spec = relay::EngineSpec {
        loads_per_second: rate,
        ..relay_fake::engine(&["small", "large"])
    };
    let mut at = now;
    let mut feed = |event| {
        at = at + relay_fake::millis(200);
        let effects = reducer.step(at, event);
        for host in &hosts {
            reducer.respond(at, host);
        }
        effects
    };
    feed(coordinator::Event::HostsChanged(hosts.to_vec()));
    feed(coordinator::Event::Configured {
        version: 1,
        services: vec![(service.clone(), spec)],
        workspaces: vec![relay_fake::workspace(u64::MAX)],
    });
    feed(coordinator::Event::Elected(1));
    for id in ["one", "two"] {
        let engine = relay_fake::registration(id, "models", &["small"]);
        feed(coordinator::Event::UpstreamUpdated(Box::new(engine)));
    }
    for _ in 0..3 {
        for id in ["one", "two"] {
            let status = coordinator::Status {
                models: vec![(relay_fake::name("small"), Vec::new())],
                sequence,
                running: load,
                queued: load,
                ..coordinator::Status::default()
            };
            let event = coordinator::Event::Probed(relay_fake::name(id), Box::new(status));
            feed(event);
        }
        for host in &hosts {
            feed(coordinator::Event::Reported(Box::new(report(
                host, &service, count,
            ))));
        }
        let effects = feed(coordinator::Event::Tick { may_order: true });
        for effect in effects {
            if let coordinator::Effect::Order(order) = effect {
                let (engine, number) = (order.engine, order.number);
                let outcome = coordinator::Outcome::Accepted;
                feed(coordinator::Event::OrderResolved(engine, number, outcome));
            }
        }
    }
}

fn report(
    host: &carawaycleat_core::name::Name,
    service: &carawaycleat_core::name::Name,
    count: u32,
) -> relay::Report {
    let (engine, workspace) = (relay_fake::name("one"), relay_fake::name("designers"));
    let demand = |model| relay::Demand {
        service: service.clone(),
        model: relay_fake::name(model),
        adapter: None,
        tokens: u64::MAX,
        waiting: count,
        traffic: relay::Traffic::default(),
    };
    relay::Report {
        host: host.clone(),
        number: u64::MAX,
        full: true,
        token_requests: vec![(workspace.clone(), u64::MAX)],
        interval_ms: u64::MAX,
        demands: vec![demand("small"), demand("large")],
        running: vec![(engine.clone(), count)],
        usage: vec![(workspace, u64::MAX)],
        suspects: Vec::new(),
        limits: vec![relay::Limit {
            upstream: engine,
            rate: Some(f64::MAX),
            age_ms: 0,
            sent: u64::from(count),
            waiting: count,
        }],
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
