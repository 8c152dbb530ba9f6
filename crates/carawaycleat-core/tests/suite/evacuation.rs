//! Availability zones that operators evacuate.

use carawaycleat_core::coordinator;
use carawaycleat_core::relay;

use crate::coordinator as coordinator_fake;
use crate::relay_fake;

fn evacuated(zone: &str) -> relay::Event {
    relay::Event::ZoneEvacuated(relay_fake::name(zone))
}

/// A host with one upstream of `service` in each of two availability zones, the nearer one under load.
fn host(service: &str, models: &[&str]) -> relay_fake::Harness {
    let mut host = relay_fake::Harness::new();
    for (id, zone) in [("near", "zone-a"), ("far", "zone-b")] {
        host.register(relay::Registration {
            zone: relay_fake::name(zone),
            ..relay_fake::registration(id, service, models)
        });
    }
    host
}

// Guards against requests that reach an evacuated availability zone, and against requests in progress that are cut there.
#[test]
fn evacuated_zone_gets_no_requests() {
    let mut host = host("plain", &[]);
    let before = host.arrive(relay_fake::request("/read/1"));
    assert_eq!(host.upstream(before), "near");
    host.feed(evacuated("zone-a"));
    assert!(host.is_report_due);
    for _ in 0..4 {
        let id = host.arrive(relay_fake::request("/read/1"));
        assert_eq!(host.upstream(id), "far");
    }
    let waiting = host.arrive(relay_fake::request("/read/1"));
    assert!(!host.is_sent(waiting));
    host.respond(before, 200, false);
    assert!(matches!(
        host.last_command(before),
        Some(relay::Command::Deliver)
    ));
    host.advance(relay_fake::millis(500));
    assert!(!host.is_sent(waiting));
    let report = host.reducer.report(host.now, true);
    assert_eq!(report.evacuated, [relay_fake::name("zone-a")]);
    host.feed(relay::Event::EvacuationEnded(relay_fake::name("zone-a")));
    assert_eq!(host.upstream(waiting), "near");
    assert_eq!(host.reducer.cold_counts(host.now), (0, 0));
}

// Guards against upstreams that register while their availability zone is evacuated, or move into it.
#[test]
fn upstream_that_registers_in_an_evacuated_zone_gets_no_requests() {
    let mut host = relay_fake::Harness::new();
    host.feed(evacuated("zone-a"));
    host.register(relay_fake::registration("one", "plain", &[]));
    let id = host.arrive(relay_fake::request("/read/1"));
    assert!(!host.is_sent(id));
    let restarted = relay::Registration {
        started: 2,
        ..relay_fake::registration("one", "plain", &[])
    };
    host.register(restarted.clone());
    assert!(!host.is_sent(id));
    host.register(relay::Registration {
        zone: relay_fake::name("zone-b"),
        ..restarted
    });
    assert!(host.is_sent(id));
}

// Guards against second attempts and take-ups at the upstream that served the stream before its evacuation.
#[test]
fn second_attempts_and_take_ups_go_elsewhere() {
    let mut host = host("models", &["small"]);
    let stream = host.arrive(relay_fake::request("/live/1"));
    let first = host.upstream(stream);
    let zone = if first == "near" { "zone-a" } else { "zone-b" };
    let attempt = host.begin_stream(stream);
    host.feed(relay::Event::StreamProgress(stream, attempt, Some(3)));
    host.feed(evacuated(zone));
    let take_up = host.arrive(relay_fake::take_up("request"));
    assert_ne!(host.upstream(take_up), first);
    host.fail_attempt(stream, attempt, true);
    host.advance(relay_fake::millis(100));
    assert_ne!(host.upstream_of(stream), first);
}

/// A coordinator with one engine in each availability zone.
fn coordinator() -> coordinator_fake::Harness {
    let mut harness = coordinator_fake::Harness::new(&["small"]);
    for (id, zone, models) in [("a", "zone-a", &["small"][..]), ("b", "zone-b", &[])] {
        let registration = relay::Registration {
            zone: relay_fake::name(zone),
            ..relay_fake::registration(id, "models", models)
        };
        harness.feed(coordinator::Event::UpstreamUpdated(Box::new(registration)));
        harness.probe(id, coordinator_fake::status(models, 0));
    }
    harness
}

// Guards against models that only engines of an evacuated availability zone hold, and against orders to these.
#[test]
fn models_of_an_evacuated_zone_are_loaded_elsewhere() {
    let mut harness = coordinator();
    harness.report_demand("small", None, 1_000, 1);
    assert!(harness.tick().is_empty());
    let zone = relay_fake::name("zone-a");
    harness.feed(coordinator::Event::ZoneEvacuated(zone));
    harness.advance(50);
    let orders = harness.tick();
    let engines: Vec<_> = orders.iter().map(|order| order.engine.as_str()).collect();
    assert_eq!(engines, ["b"]);
    assert_eq!(orders[0].operation, coordinator::Operation::Load);
}

// Guards against an evacuation that counts as applied while a registered host has not reported it.
#[test]
fn evacuation_counts_as_applied_when_all_hosts_report_it() {
    let mut harness = coordinator();
    let zone = relay_fake::name("zone-a");
    let names = ["host-1", "host-2"].map(relay_fake::name);
    harness.feed(coordinator::Event::HostsChanged(names.to_vec()));
    harness.feed(coordinator::Event::ZoneEvacuated(zone.clone()));
    let mut report = |host: &str, evacuates: bool| {
        let mut host = relay_fake::Harness::of_host(host, relay::Options::default());
        if evacuates {
            host.feed(relay::Event::ZoneEvacuated(zone.clone()));
        }
        let report = host.reducer.report(harness.now, true);
        harness.feed(coordinator::Event::Reported(Box::new(report)));
        harness.advance(100);
        let tick = coordinator::Event::Tick { may_order: false };
        let effects = harness.reducer.step(harness.now, tick);
        let records = effects.iter().filter_map(|effect| match effect {
            coordinator::Effect::Record(record) => Some(record.event),
            _ => None,
        });
        records
            .filter(|event| *event == "evacuation_applied")
            .count()
    };
    assert_eq!(report("host-1", true), 0);
    assert_eq!(report("host-2", false), 0);
    assert_eq!(report("host-2", true), 1);
    assert_eq!(report("host-1", true), 0);
}
