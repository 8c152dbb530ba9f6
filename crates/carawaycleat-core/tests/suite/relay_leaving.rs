//! Upstreams that say in their responses that they leave.

use carawaycleat_core::coordinator;
use carawaycleat_core::relay;

use crate::coordinator as coordinator_suite;
use crate::relay_fake;

/// The start of the process of each upstream.
const STARTED: u64 = 7;

fn registration(id: &str, service: &str, models: &[&str]) -> relay::Registration {
    relay::Registration {
        started: STARTED,
        ..relay_fake::registration(id, service, models)
    }
}

/// Returns a host with two upstreams that hold the model.
fn harness() -> relay_fake::Harness {
    let mut harness = relay_fake::Harness::new();
    for id in ["one", "two"] {
        harness.register(registration(id, "models", &["small"]));
    }
    harness
}

fn leave(harness: &mut relay_fake::Harness, upstream: &str, started: Option<u64>) {
    harness.feed(relay::Event::UpstreamLeaving {
        upstream: relay_fake::name(upstream),
        started,
    });
}

/// Returns how many of four new requests that run at the same time are sent to `upstream`.
fn sent_to(harness: &mut relay_fake::Harness, upstream: &str) -> usize {
    let ids: Vec<_> = (0..4)
        .map(|_| harness.arrive(relay_fake::request("/live/1")))
        .collect();
    let is_there = |id: &&relay::Id| harness.is_sent(**id) && harness.upstream(**id) == upstream;
    let sent = ids.iter().filter(is_there).count();
    for id in ids {
        harness.feed(relay::Event::CallerDisconnected(id));
    }
    sent
}

/// Guards against new requests to an engine that has said that it leaves while its entry still says that it takes work,
/// and against the end of the streams that run there.
#[test]
fn leaving_upstream_gets_no_new_requests() {
    let mut harness = harness();
    let running = harness.arrive(relay_fake::request("/live/1"));
    let upstream = harness.upstream(running);
    let attempt = harness.begin_stream(running);
    leave(&mut harness, &upstream, Some(STARTED));
    assert_eq!(sent_to(&mut harness, &upstream), 0);
    harness.register(registration(&upstream, "models", &["small"]));
    assert_eq!(
        sent_to(&mut harness, &upstream),
        0,
        "an entry that says ready"
    );
    harness.feed(relay::Event::StreamProgress(running, attempt, Some(1)));
    harness.feed(relay::Event::StreamEnded(running, attempt));
    let last = harness.last_command(running);
    assert!(matches!(last, Some(relay::Command::Deliver)), "{last:?}");
}

/// Guards against requests that wait for a slot of an engine which leaves, or are sent there when they fail elsewhere.
#[test]
fn waiting_and_failed_requests_go_elsewhere() {
    let mut harness = harness();
    let ids: Vec<_> = (0..9)
        .map(|_| harness.arrive(relay_fake::request("/live/1")))
        .collect();
    assert!(!harness.is_sent(ids[8]), "all slots are taken");
    let at_one = ids[..8].iter().find(|id| harness.upstream(**id) == "one");
    let failing = *at_one.expect("a request at each upstream");
    leave(&mut harness, "two", Some(STARTED));
    let attempt = harness.dispatch(failing).attempt;
    harness.fail_attempt(failing, attempt, true);
    let ended: Vec<_> = ids[..8]
        .iter()
        .filter(|id| **id != failing && harness.upstream(**id) == "two")
        .copied()
        .collect();
    for id in ended {
        harness.feed(relay::Event::CallerDisconnected(id));
    }
    harness.advance(relay_fake::millis(500));
    for id in [failing, ids[8]] {
        assert!(!harness.is_sent(id) || harness.upstream(id) == "one");
    }
}

/// Guards against an engine that is avoided after it has started again, and against one that is used again when its entry
/// was missing for a time.
#[test]
fn leaving_ends_with_the_process() {
    let mut harness = harness();
    leave(&mut harness, "one", Some(STARTED));
    harness.feed(relay::Event::UpstreamRemoved(relay_fake::name("one")));
    harness.advance(relay_fake::millis(5_000));
    harness.register(registration("one", "models", &["small"]));
    assert_eq!(sent_to(&mut harness, "one"), 0, "the same process");
    harness.register(relay::Registration {
        started: STARTED + 1,
        ..registration("one", "models", &["small"])
    });
    assert!(sent_to(&mut harness, "one") > 0);
    leave(&mut harness, "one", Some(STARTED));
    assert!(
        sent_to(&mut harness, "one") > 0,
        "a late response of the old process"
    );
}

/// Guards against hosts that go on using an engine which has said only to another host that it leaves, and against loads of
/// models there.
#[test]
fn other_hosts_and_the_coordinator_hear_of_it() {
    let mut first = harness();
    leave(&mut first, "one", Some(STARTED));
    assert!(first.is_report_due);
    let report = first.reducer.report(first.now, true);
    assert_eq!(report.leaving, [(relay_fake::name("one"), STARTED)]);

    let mut coordinator = coordinator_suite::Harness::new(&["small", "rare"]);
    for id in ["one", "two"] {
        let entry = registration(id, "models", &["small"]);
        coordinator.feed(coordinator::Event::UpstreamUpdated(Box::new(entry)));
        coordinator.probe(id, coordinator_suite::status(&["small"], 0));
    }
    coordinator.feed(coordinator::Event::Reported(Box::new(report)));
    let entry = registration("one", "models", &["small"]);
    coordinator.feed(coordinator::Event::UpstreamUpdated(Box::new(entry)));
    let orders = coordinator.tick();
    assert!(!orders.is_empty());
    let is_at_two = |order: &coordinator::Order| order.engine.as_str() == "two";
    assert!(orders.iter().all(is_at_two), "{orders:?}");
    let host = relay_fake::name("host-2");
    let view = coordinator.reducer.respond(coordinator.now, &host);
    assert_eq!(view.leaving, [(relay_fake::name("one"), STARTED)]);

    let mut second = harness();
    second.feed(relay::Event::ViewReceived(Box::new(relay::View {
        engines: Vec::new(),
        ..view
    })));
    assert_eq!(sent_to(&mut second, "one"), 0);
    assert!(sent_to(&mut second, "two") > 0);
}
