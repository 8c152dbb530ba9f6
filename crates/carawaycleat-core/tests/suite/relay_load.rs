//! Load patterns: which requests wait, which are refused, and which upstreams they are sent to.

use std::collections;

use carawaycleat_core::relay;

use crate::relay_fake;

fn arrive(harness: &mut relay_fake::Harness, model: &str) -> relay::Id {
    let mut request = relay_fake::request("/live/1");
    request.model = Some(relay_fake::name(model));
    harness.arrive(request)
}

fn finish(harness: &mut relay_fake::Harness, id: relay::Id) {
    let attempt = harness.begin_stream(id);
    harness.feed(relay::Event::StreamProgress(id, attempt, Some(0)));
    harness.feed(relay::Event::StreamEnded(id, attempt));
}

/// Pattern: a burst at equal upstreams. Guards against one upstream that gets more than its share.
#[test]
fn burst_spreads_over_upstreams() {
    let mut harness = relay_fake::Harness::new();
    for id in ["one", "two", "three"] {
        harness.register(relay_fake::registration(id, "models", &["small"]));
    }
    let mut counts = collections::HashMap::new();
    for _ in 0..12 {
        let id = arrive(&mut harness, "small");
        *counts.entry(harness.upstream(id)).or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| *count == 4), "{counts:?}");
}

/// Pattern: more requests than slots, with different latency objectives. Guards against an urgent request that is
/// queued behind less urgent ones, and against an old request that all newer ones overtake.
#[test]
fn freed_slot_goes_to_the_request_with_the_earliest_target_time() {
    let mut harness = relay_fake::Harness::new();
    harness.register(relay_fake::registration("one", "models", &["small"]));
    let running: Vec<_> = (0..4).map(|_| arrive(&mut harness, "small")).collect();
    let mut patient = relay_fake::request("/batch/1");
    patient.model = Some(relay_fake::name("small"));
    let patient = harness.arrive(patient);
    let urgent = arrive(&mut harness, "small");
    harness.advance(relay_fake::millis(550));
    let fresh = arrive(&mut harness, "small");
    finish(&mut harness, running[0]);
    assert!(harness.is_sent(urgent));
    assert!(!harness.is_sent(patient) && !harness.is_sent(fresh));
    finish(&mut harness, running[1]);
    assert!(harness.is_sent(patient) && !harness.is_sent(fresh));
    finish(&mut harness, running[2]);
    assert!(harness.is_sent(fresh));
}

/// Pattern: a queue that grows faster than it drains. Guards against callers that wait until they disconnect
/// although it is known that they cannot be served.
#[test]
fn request_that_cannot_be_served_is_refused_at_once() {
    let mut harness = relay_fake::Harness::new();
    harness.register(relay_fake::registration("one", "models", &["small"]));
    let mut refused = 0;
    for _ in 0..60 {
        let id = arrive(&mut harness, "small");
        harness.feed(relay::Event::Tick);
        if let Some(relay::Command::Refuse(refusal)) = harness.last_command(id) {
            assert_eq!(refusal.status(), 503);
            assert!(refusal.retry_after.is_some());
            refused += 1;
        }
    }
    assert!(refused > 20, "{refused} refused");
    let (_, waiting) = harness.reducer.counts();
    assert!(waiting < 30, "{waiting} wait");
}

/// Pattern: a queue that takes longer to drain than callers wait. Guards against a `Retry-After` after which the caller
/// finds the same queue and is refused again.
#[test]
fn refused_caller_returns_when_the_queue_has_drained() {
    let mut harness = relay_fake::Harness::new();
    harness.register(relay_fake::registration("one", "models", &["small"]));
    for _ in 0..60 {
        let id = arrive(&mut harness, "small");
        harness.feed(relay::Event::Tick);
        if let Some(relay::Command::Refuse(refusal)) = harness.last_command(id) {
            let retry_after = refusal.retry_after.expect("a time");
            // Callers of this route disconnect after two seconds.
            assert!(retry_after >= relay_fake::millis(2_000), "{retry_after:?}");
        }
    }
}

/// Pattern: a rare model that no upstream holds. Guards against a caller that waits until the time limit.
#[test]
fn request_for_an_unplaced_model_is_refused_after_a_bounded_wait() {
    let mut harness = relay_fake::Harness::new();
    harness.register(relay_fake::registration("one", "models", &["small"]));
    let id = arrive(&mut harness, "rare");
    assert!(
        harness.last_command(id).is_none(),
        "it waits for the model at first"
    );
    harness.advance(relay_fake::millis(1_300));
    assert_eq!(harness.refusal(id).status(), 503);
}

/// Pattern: a rare model that is being loaded. Guards against a refusal although it will be ready in time.
#[test]
fn request_waits_for_a_model_that_is_being_loaded() {
    let mut harness = relay_fake::Harness::new();
    harness.register(relay_fake::registration("one", "models", &["small"]));
    let view = |ready_in_ms| relay::View {
        ready_in_ms,
        ..relay_fake::view(Vec::new())
    };
    let soon = vec![(relay_fake::name("rare"), 1_500)];
    harness.feed(relay::Event::ViewReceived(Box::new(view(soon))));
    let id = arrive(&mut harness, "rare");
    harness.advance(relay_fake::millis(1_400));
    assert!(harness.last_command(id).is_none());
    harness.register(relay_fake::registration("two", "models", &["rare"]));
    assert_eq!(harness.upstream(id), "two");
    let late = vec![(relay_fake::name("large"), 9_000)];
    harness.feed(relay::Event::ViewReceived(Box::new(view(late))));
    let id = arrive(&mut harness, "large");
    assert_eq!(
        harness.refusal(id).status(),
        503,
        "it cannot be ready in time"
    );
}

/// Pattern: many hosts share a busy upstream. Guards against a host that uses slots which the coordinator has reserved
/// for others: a request that finds no slot makes no progress and is retried elsewhere.
#[test]
fn host_sends_no_more_than_its_reserved_slots() {
    let mut harness = relay_fake::Harness::new();
    harness.register(relay_fake::registration("one", "models", &["small"]));
    let engine = |usable_slots| relay::EngineView {
        upstream: relay_fake::name("one"),
        models: vec![relay_fake::name("small")],
        loading: Vec::new(),
        unloading: Vec::new(),
        adapters: Vec::new(),
        other_requests: 1,
        usable_slots,
        other_prompt_ms: 0,
        other_work_ms: 0,
    };
    harness.feed(relay::Event::ViewReceived(Box::new(relay_fake::view(
        vec![engine(1)],
    ))));
    let ids: Vec<_> = (0..3).map(|_| arrive(&mut harness, "small")).collect();
    let sent = |harness: &relay_fake::Harness| {
        ids.iter()
            .map(|id| harness.is_sent(*id))
            .collect::<Vec<_>>()
    };
    assert_eq!(sent(&harness), [true, false, false]);
    finish(&mut harness, ids[0]);
    assert_eq!(
        sent(&harness)[1..],
        [true, false],
        "the slot of a request that ends stays reserved"
    );
    let next = relay::View {
        report_number: 1,
        ..relay_fake::view(vec![engine(1)])
    };
    harness.feed(relay::Event::ViewReceived(Box::new(next)));
    assert!(sent(&harness)[2]);
}

/// Pattern: two hosts without a coordinator share an upstream. Guards against a host that keeps sending to an upstream
/// that the other one has filled.
#[test]
fn full_upstream_lowers_the_concurrency_limit() {
    let mut harness = relay_fake::Harness::new();
    let mut registration = relay_fake::registration("one", "plain", &[]);
    registration.slots = 8;
    harness.register(registration);
    let ids: Vec<_> = (0..6)
        .map(|_| harness.arrive(relay_fake::request("/read/1")))
        .collect();
    assert!(ids.iter().all(|id| harness.is_sent(*id)));
    harness.respond(ids[5], 503, true);
    harness.respond(ids[4], 200, false);
    harness.advance(relay_fake::millis(50));
    let more: Vec<_> = (0..4)
        .map(|_| harness.arrive(relay_fake::request("/read/1")))
        .collect();
    let sent = more.iter().filter(|id| harness.is_sent(**id)).count();
    assert!(sent <= 1, "{sent} more were sent");
}

/// Pattern: an upstream that fails part of its requests while its health check succeeds. Guards against equal load on
/// healthy and failing upstreams.
#[test]
fn failing_upstream_gets_few_requests() {
    let mut harness = relay_fake::Harness::new();
    for id in ["bad", "one", "two"] {
        harness.register(relay_fake::registration(id, "plain", &[]));
    }
    let mut to_bad = 0;
    for _ in 0..200 {
        harness.advance(relay_fake::millis(25));
        let id = harness.arrive(relay_fake::request("/book/1"));
        let bad = harness.upstream(id) == "bad";
        to_bad += usize::from(bad);
        harness.respond(id, if bad { 500 } else { 200 }, false);
    }
    assert!(to_bad < 20, "{to_bad} of 200 went to the failing one");
    assert!(to_bad > 0, "it is tried again, so that it can recover");
}

/// Pattern: a slow upstream among fast ones. Guards against a selection by the number of requests alone, which
/// ignores latency.
#[test]
fn slow_upstream_gets_fewer_requests() {
    let mut harness = relay_fake::Harness::new();
    for id in ["slow", "fast"] {
        harness.register(relay_fake::registration(id, "plain", &[]));
    }
    let mut to_slow = 0;
    for _ in 0..100 {
        let id = harness.arrive(relay_fake::request("/read/1"));
        let slow = harness.upstream(id) == "slow";
        to_slow += usize::from(slow);
        harness.advance(relay_fake::millis(if slow { 400 } else { 50 }));
        harness.respond(id, 200, false);
    }
    assert!(to_slow < 15, "{to_slow} of 100 went to the slow one");
}

/// Pattern: the only upstream with a model fails. Guards against retries that all go to it, and against a loss of the
/// model that is not reported to the coordinator.
#[test]
fn failed_upstream_of_a_model_is_reported_and_not_retried() {
    let mut harness = relay_fake::Harness::new();
    harness.register(relay_fake::registration("one", "models", &["small"]));
    let id = arrive(&mut harness, "small");
    let attempt = harness.begin_stream(id);
    harness.feed(relay::Event::StreamProgress(id, attempt, Some(4)));
    harness.fail_attempt(id, attempt, false);
    assert_eq!(
        harness.commands[&id].len(),
        2,
        "it is not sent to the same upstream at once"
    );
    let report = harness.reducer.report(harness.now, true);
    assert!(report.demands.iter().any(|ask| ask.waiting == 1));
    assert_eq!(report.suspects.len(), 1);
    harness.register(relay_fake::registration("two", "models", &["small"]));
    assert_eq!(harness.upstream(id), "two");
    assert_eq!(harness.dispatch(id).last_event, Some(4));
}

/// Guards against a baseline policy that does not do what its name says, so that comparisons with it mean nothing.
#[test]
fn policies_differ_as_their_names_say() {
    let spread = |routing| {
        let policy = relay::Policy {
            routing,
            ..relay::Policy::default()
        };
        let mut harness = relay_fake::Harness::with_options(relay::Options {
            policy,
            ..relay::Options::default()
        });
        harness.register(relay_fake::registration("one", "models", &["small"]));
        let busy: Vec<_> = (0..2).map(|_| arrive(&mut harness, "small")).collect();
        assert!(busy.iter().all(|id| harness.is_sent(*id)));
        harness.register(relay_fake::registration("two", "models", &["small"]));
        let ids: Vec<_> = (0..2).map(|_| arrive(&mut harness, "small")).collect();
        ids.iter()
            .map(|id| harness.upstream(*id))
            .collect::<Vec<_>>()
    };
    assert_eq!(spread(relay::Routing::LeastLoad), ["two", "two"]);
    assert_eq!(spread(relay::Routing::RoundRobin), ["one", "two"]);
}

/// Pattern: requests that run, wait and end at a service that is balanced by work. Guards against replicas that follow a
/// wrong number of requests, a wrong time in a slot, or callers that have left.
#[test]
fn reports_count_requests_and_their_time_in_a_slot() {
    let mut harness = relay_fake::Harness::new();
    let config = relay_fake::config(2, 1_000_000).with_balancing(relay::Balancing::Work);
    harness.feed(relay::Event::Configured(Box::new(config)));
    harness.confirm();
    harness.register(relay_fake::registration("one", "models", &["small"]));
    let running: Vec<_> = (0..5).map(|_| arrive(&mut harness, "small")).collect();
    let traffic = |harness: &mut relay_fake::Harness| {
        let report = harness.reducer.report(harness.now, true);
        let demand = report.demands.into_iter().next().expect("a demand");
        (demand.waiting, demand.traffic)
    };
    // Four have a slot. The caller of the fifth has priority 1 and leaves after 2 s.
    let (waiting, arrived) = traffic(&mut harness);
    assert_eq!(
        (arrived.arrivals, arrived.urgency, arrived.completed),
        (5, 250, 0)
    );
    assert_eq!(
        (waiting, arrived.waiting),
        (1, vec![(0, 0), (0, 0), (1, 50), (0, 0), (0, 0)])
    );
    harness.advance(relay_fake::millis(100));
    finish(&mut harness, running[0]);
    let (waiting, ended) = traffic(&mut harness);
    assert_eq!((waiting, ended.arrivals), (0, 0));
    assert_eq!((ended.completed, ended.slot_ms), (1, 100));
}
