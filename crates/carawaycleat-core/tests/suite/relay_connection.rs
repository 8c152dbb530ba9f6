//! Requests whose connections are made, refused or not permitted, and the replicas that a host prefers.

use std::collections;

use carawaycleat_core::relay;

use crate::relay_fake;

/// The engines of the zone of the host, and others.
const ENGINES: [(&str, &str); 5] = [
    ("near-1", "zone-a"),
    ("near-2", "zone-a"),
    ("far-1", "zone-b"),
    ("far-2", "zone-b"),
    ("far-3", "zone-c"),
];

fn harness(balancing: relay::Balancing) -> relay_fake::Harness {
    let mut harness = relay_fake::Harness::unconfigured("host-1", relay::Options::default());
    let config = relay_fake::config(1, 1_000_000).with_balancing(balancing);
    harness.feed(relay::Event::Configured(Box::new(config)));
    harness.confirm();
    for (index, (id, zone)) in ENGINES.into_iter().enumerate() {
        harness.register(relay::Registration {
            address: ([10, 0, 0, index as u8 + 1], 8_000).into(),
            zone: relay_fake::name(zone),
            slots: 8,
            ..relay_fake::registration(id, "models", &["small"])
        });
    }
    for (id, address) in [("plain-1", 31), ("plain-2", 32)] {
        harness.register(relay::Registration {
            address: ([10, 0, 0, address], 8_000).into(),
            ..relay_fake::registration(id, "plain", &[])
        });
    }
    harness.advance(relay_fake::millis(200));
    harness
}

fn booking() -> relay::Request {
    relay::Request {
        timeout: Some(relay_fake::millis(400)),
        ..relay_fake::request("/book/1")
    }
}

/// Guards against an unknown outcome for a request of which no byte has left, and against one that is refused as not run and
/// sent after that.
#[yare::parameterized(
    before_the_connection = { false, 503 },
    after_the_connection = { true, 504 },
)]
fn request_without_a_connection_has_not_run(is_connected: bool, status: u16) {
    for balancing in [relay::Balancing::Requests, relay::Balancing::Work] {
        let mut harness = harness(balancing);
        let id = harness.arrive(booking());
        let attempt = harness.dispatch(id).attempt;
        harness.feed(relay::Event::AttemptConnecting(id, attempt));
        if is_connected {
            assert!(harness.reducer.begin_send(id, attempt));
        }
        harness.advance(relay_fake::millis(500));
        let refusal = harness.refusal(id);
        assert_eq!(refusal.status(), status);
        assert!(refusal.retry_after.is_some());
        assert!(!harness.reducer.begin_send(id, attempt));
    }
}

/// Guards against 502 for a request that no upstream has received because connections to all of them failed.
#[yare::parameterized(
    refused = { relay::Failure::Refused },
    unconnected = { relay::Failure::Unconnected },
    local = { relay::Failure::Local },
    unshared = { relay::Failure::Unshared },
)]
fn request_that_reached_no_upstream_has_not_run(failure: relay::Failure) {
    let mut harness = harness(relay::Balancing::Work);
    let id = harness.arrive(booking());
    for _ in 0..60 {
        if harness.is_sent(id) {
            let attempt = harness.dispatch(id).attempt;
            harness.feed(relay::Event::AttemptConnecting(id, attempt));
            harness.feed(relay::Event::AttemptFailed {
                request: id,
                attempt,
                failure,
            });
        }
        harness.advance(relay_fake::millis(25));
    }
    let refusal = harness.refusal(id);
    assert_eq!(refusal.status(), 503);
    assert!(refusal.retry_after.is_some());
}

/// Guards against a request that may run once and is refused as not run, or sent again, although a byte of it was written.
#[test]
fn reset_after_a_byte_leaves_the_outcome_unknown() {
    let mut harness = harness(relay::Balancing::Work);
    let id = harness.arrive(booking());
    let attempt = harness.dispatch(id).attempt;
    harness.feed(relay::Event::AttemptConnecting(id, attempt));
    assert!(harness.reducer.begin_send(id, attempt));
    harness.fail_attempt(id, attempt, true);
    assert_eq!(harness.refusal(id).status(), 502);
}

/// Guards against requests spread over all replicas, so that connections are idle for too long to be used again, and against a
/// preference that overloads the preferred replicas.
#[test]
fn host_stays_with_few_replicas_while_they_have_room() {
    let used = |count: usize| {
        let mut harness = harness(relay::Balancing::Work);
        // A host that has just started uses few connections until it knows the others.
        harness.advance(relay_fake::millis(5_000));
        let ids: Vec<_> = (0..count)
            .map(|_| harness.arrive(relay_fake::request("/live/1")))
            .collect();
        let mut used = collections::BTreeMap::<_, u32>::new();
        for id in ids {
            *used.entry(harness.upstream(id)).or_default() += 1;
        }
        used
    };
    let few = used(2);
    assert!(few.keys().all(|id| id.starts_with("near")), "{few:?}");
    let many = used(20);
    assert_eq!(many.len(), ENGINES.len(), "{many:?}");
    // The preferred ones may have 0.15 of their 8 slots, and the request that is chosen for, above the mean of 4.
    assert!(
        many.values().all(|count| (3..=6).contains(count)),
        "{many:?}"
    );
}

/// Guards against limits on connections in deployments that did not ask for them.
#[test]
fn only_work_limits_connections() {
    assert!(harness(relay::Balancing::Requests).limits.is_empty());
    let mut harness = harness(relay::Balancing::Work);
    assert!(harness.limits.values().all(Option::is_some));
    assert_eq!(harness.limits.len(), ENGINES.len() + 2);
    let config = relay_fake::config(2, 1_000_000).with_balancing(relay::Balancing::Requests);
    harness.feed(relay::Event::Configured(Box::new(config)));
    harness.advance(relay_fake::millis(200));
    assert!(harness.limits.values().all(Option::is_none));
}

/// Guards against a request that makes a new connection while another replica has an idle one, and against one that goes to a
/// clearly busier replica because of its idle connection.
#[yare::parameterized(
    idle = { 0, true },
    clearly_busier = { 6, false },
)]
fn replica_with_an_idle_connection_is_used_again(others: u32, is_expected: bool) {
    let mut harness = harness(relay::Balancing::Work);
    harness.advance(relay_fake::millis(5_000));
    let ids = [1, 2].map(|_| harness.arrive(relay_fake::request("/live/1")));
    let [first, second] = ids.map(|id| harness.upstream(id));
    assert_ne!(first, second);
    let attempt = harness.begin_stream(ids[1]);
    harness.feed(relay::Event::StreamProgress(ids[1], attempt, Some(1)));
    harness.feed(relay::Event::StreamEnded(ids[1], attempt));
    let engines = ENGINES.map(|(id, _)| relay::EngineView {
        upstream: relay_fake::name(id),
        models: vec![relay_fake::name("small")],
        loading: Vec::new(),
        unloading: Vec::new(),
        adapters: Vec::new(),
        other_requests: if id == second { others } else { 0 },
        usable_slots: 8,
        other_prompt_ms: 0,
        other_work_ms: 0,
    });
    let view = relay_fake::view(engines.into());
    harness.feed(relay::Event::ViewReceived(Box::new(view)));
    let next = harness.arrive(relay_fake::request("/live/1"));
    assert_eq!(harness.upstream(next) == second, is_expected);
}
