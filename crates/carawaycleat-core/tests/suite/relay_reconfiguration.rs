//! Changes of the configuration while requests are in progress.

use std::collections;

use carawaycleat_core::relay;

use crate::relay_fake;

fn harness() -> relay_fake::Harness {
    let mut harness = relay_fake::Harness::new();
    for id in ["one", "two"] {
        harness.register(relay_fake::registration(id, "models", &["small"]));
        harness.register(relay_fake::registration(
            &format!("plain-{id}"),
            "plain",
            &[],
        ));
    }
    harness
}

/// A later configuration that does not mention what the requests in progress use.
#[derive(Clone, Copy, Debug)]
enum Change {
    NoServices,
    NoRoutes,
    NoWorkspaces,
    Nothing,
}

fn change(harness: &mut relay_fake::Harness, change: Change) {
    let workspaces = vec![relay_fake::workspace(1_000_000)];
    let services: collections::BTreeMap<_, _> = relay_fake::config(1, 1_000_000)
        .services()
        .map(|(name, service)| (name.clone(), service.clone()))
        .collect();
    let none = collections::BTreeMap::new();
    let config = match change {
        Change::NoServices => relay::Config::new(2, Vec::new(), none, workspaces, None),
        Change::NoRoutes => relay::Config::new(2, Vec::new(), services, workspaces, None),
        Change::NoWorkspaces => relay::Config::new(2, Vec::new(), services, Vec::new(), None),
        Change::Nothing => relay::Config::new(2, Vec::new(), none, Vec::new(), None),
    };
    harness.feed(relay::Event::Configured(Box::new(config)));
}

/// Guards against a stream that is cut because a later configuration has no rules for it when its upstream breaks off.
#[yare::parameterized(
    no_services = { Change::NoServices },
    no_routes = { Change::NoRoutes },
    no_workspaces = { Change::NoWorkspaces },
    nothing = { Change::Nothing },
)]
fn stream_is_resumed_under_the_rules_that_admitted_it(later: Change) {
    let mut harness = harness();
    let id = harness.arrive(relay_fake::request("/live/1"));
    let attempt = harness.begin_stream(id);
    harness.feed(relay::Event::StreamProgress(id, attempt, Some(4)));
    change(&mut harness, later);
    harness.fail_attempt(id, attempt, true);
    assert_eq!(harness.dispatch(id).last_event, Some(4));
}

/// Guards against a waiting request that is refused because a later configuration has no rules for it.
#[yare::parameterized(
    no_services = { Change::NoServices },
    no_routes = { Change::NoRoutes },
    no_workspaces = { Change::NoWorkspaces },
    nothing = { Change::Nothing },
)]
fn waiting_request_is_served_under_the_rules_that_admitted_it(later: Change) {
    let mut harness = harness();
    let ids: Vec<_> = (0..9)
        .map(|_| harness.arrive(relay_fake::request("/read/1")))
        .collect();
    let waiting = *ids.last().expect("requests");
    assert!(!harness.is_sent(waiting), "no slot is free");
    change(&mut harness, later);
    harness.respond(ids[0], 200, false);
    harness.advance(relay_fake::millis(50));
    assert!(harness.is_sent(waiting));
}

/// Guards against a stream that is cut between two attempts because the configuration has not been confirmed since it was
/// admitted.
#[test]
fn stream_is_resumed_under_an_old_configuration() {
    let mut harness = harness();
    let id = harness.arrive(relay_fake::request("/live/1"));
    let attempt = harness.begin_stream(id);
    harness.feed(relay::Event::StreamProgress(id, attempt, Some(4)));
    harness.now = harness.now + relay_fake::millis(3_600);
    harness.fail_attempt(id, attempt, true);
    assert_eq!(harness.dispatch(id).last_event, Some(4));
}
