//! Dispatch and retries of requests, and what a refusal says about whether a request has run.

use carawaycleat_core::relay;

use crate::relay_fake;

fn plain_harness() -> relay_fake::Harness {
    let mut harness = relay_fake::Harness::new();
    harness.register(relay_fake::registration("one", "plain", &[]));
    harness.register(relay_fake::registration("two", "plain", &[]));
    harness
}

/// Guards against an idempotent request that is not retried after a 5xx response.
#[test]
fn failed_idempotent_request_runs_elsewhere() {
    let mut harness = plain_harness();
    let id = harness.arrive(relay_fake::request("/read/1"));
    let first = harness.upstream(id);
    harness.respond(id, 500, false);
    assert_ne!(harness.upstream(id), first);
    harness.respond(id, 200, false);
    assert!(matches!(
        harness.last_command(id),
        Some(relay::Command::Deliver)
    ));
}

/// Guards against a non-idempotent request that runs twice after its response was lost.
#[test]
fn non_idempotent_request_is_not_repeated_once_sent() {
    let mut harness = plain_harness();
    let id = harness.arrive(relay_fake::request("/book/1"));
    let attempt = harness.dispatch(id).attempt;
    harness.fail_attempt(id, attempt, true);
    let refusal = harness.refusal(id);
    assert_eq!(refusal.status(), 502);
    assert!(refusal.may_have_run);
}

/// Guards against a non-idempotent request that is refused although no byte of it was sent.
#[test]
fn non_idempotent_request_is_retried_before_it_is_sent() {
    let mut harness = plain_harness();
    let id = harness.arrive(relay_fake::request("/book/1"));
    let first = harness.dispatch(id);
    harness.fail_attempt(id, first.attempt, false);
    assert_ne!(harness.upstream(id), first.upstream.as_str());
}

/// Guards against a non-idempotent request that is refused although the upstream says that it did not run.
#[test]
fn rejected_request_runs_elsewhere() {
    let mut harness = plain_harness();
    let id = harness.arrive(relay_fake::request("/book/1"));
    let first = harness.upstream(id);
    harness.respond(id, 503, true);
    assert_ne!(harness.upstream(id), first);
}

/// Guards against a 503, which says that a request has not run, after the response of an upstream was lost.
#[test]
fn refusal_after_a_lost_response_does_not_claim_that_nothing_ran() {
    let mut harness = plain_harness();
    let id = harness.arrive(relay_fake::request("/read/1"));
    for _ in 0..2 {
        let attempt = harness.dispatch(id).attempt;
        harness.fail_attempt(id, attempt, true);
    }
    assert_eq!(harness.refusal(id).status(), 502);
}

/// Guards against a request that runs at more upstreams than its route allows.
#[test]
fn attempts_are_bounded_by_the_route() {
    let mut harness = plain_harness();
    harness.register(relay_fake::registration("three", "plain", &[]));
    let id = harness.arrive(relay_fake::request("/read/1"));
    harness.respond(id, 500, false);
    harness.respond(id, 500, false);
    // The second failure is passed on as the upstream's own response.
    assert!(matches!(
        harness.last_command(id),
        Some(relay::Command::Deliver)
    ));
    assert_eq!(harness.commands[&id].len(), 3);
}

/// Guards against retries that multiply the load of failing upstreams.
#[test]
fn retries_are_bounded_by_the_budget() {
    let options = relay::Options {
        retry_percent: 10,
        retry_slack: 5,
        ..relay::Options::default()
    };
    let mut harness = relay_fake::Harness::with_options(options);
    for id in ["one", "two", "three"] {
        harness.register(relay_fake::registration(id, "plain", &[]));
    }
    let mut retried = 0;
    for _ in 0..100 {
        let id = harness.arrive(relay_fake::request("/read/1"));
        harness.respond(id, 500, false);
        if harness.is_sent(id) {
            retried += 1;
            harness.respond(id, 500, false);
        }
    }
    assert!((5..=15).contains(&retried), "{retried} retries");
}

/// Guards against a final response after the time limit of the route, and against the claim that a request has not run
/// while an attempt is in progress.
#[test]
fn time_limit_ends_a_sent_request_as_possibly_run() {
    let mut harness = plain_harness();
    let id = harness.arrive(relay_fake::request("/book/1"));
    harness.advance(relay_fake::millis(3_950));
    assert!(harness.is_sent(id));
    harness.advance(relay_fake::millis(75));
    assert_eq!(harness.refusal(id).status(), 504);
}

/// Guards against a timeout that is reported as possibly run although no attempt was sent.
#[test]
fn time_limit_ends_an_unsent_request_as_not_run() {
    let mut harness = relay_fake::Harness::new();
    let id = harness.arrive(relay_fake::request("/book/1"));
    harness.advance(relay_fake::millis(4_100));
    assert_eq!(harness.refusal(id).status(), 503);
}

/// Guards against a retry for a caller that has disconnected.
#[test]
fn request_of_a_disconnected_caller_is_not_sent_again() {
    let mut harness = plain_harness();
    let id = harness.arrive(relay_fake::request("/read/1"));
    let attempt = harness.dispatch(id).attempt;
    harness.feed(relay::Event::CallerDisconnected(id));
    harness.fail_attempt(id, attempt, true);
    assert_eq!(harness.commands[&id].len(), 1);
    assert_eq!(harness.reducer.counts(), (0, 0));
}

/// Guards against a response to an attempt that another one has replaced.
#[test]
fn response_to_an_earlier_attempt_is_dropped() {
    let mut harness = plain_harness();
    let id = harness.arrive(relay_fake::request("/read/1"));
    let first = harness.dispatch(id).attempt;
    harness.fail_attempt(id, first, true);
    let response = relay::Response {
        status: 200,
        not_run: false,
        is_stream: false,
        request_limit: None,
        pause: None,
    };
    harness.feed(relay::Event::Responded(id, first, response));
    assert!(harness.is_sent(id));
}

/// Guards against requests for an upstream that drains.
#[test]
fn draining_upstream_gets_no_requests() {
    let mut harness = plain_harness();
    let mut draining = relay_fake::registration("one", "plain", &[]);
    draining.state = relay::State::Draining;
    harness.register(draining);
    for _ in 0..4 {
        let id = harness.arrive(relay_fake::request("/read/1"));
        assert_eq!(harness.upstream(id), "two");
    }
}

/// Guards against requests for an upstream whose registration was removed while the store was reachable.
#[test]
fn removed_upstream_gets_no_requests() {
    let mut harness = plain_harness();
    harness.advance(relay_fake::millis(3_000));
    harness.feed(relay::Event::UpstreamRemoved(relay_fake::name("one")));
    let id = harness.arrive(relay_fake::request("/read/1"));
    assert_eq!(harness.upstream(id), "two");
}

/// Guards against a host without upstreams after an outage of the store in which the registrations of live ones lapsed.
#[test]
fn registrations_that_lapsed_in_an_outage_are_used_for_the_grace_period() {
    let mut harness = plain_harness();
    harness.advance(relay_fake::millis(1_000));
    harness.now = harness.now + relay_fake::millis(3_000);
    harness.feed(relay::Event::StoreFailed);
    harness.confirm();
    for id in ["one", "two"] {
        harness.feed(relay::Event::UpstreamRemoved(relay_fake::name(id)));
    }
    let id = harness.arrive(relay_fake::request("/read/1"));
    assert!(harness.is_sent(id));
    harness.advance(relay_fake::millis(2_500));
    let id = harness.arrive(relay_fake::request("/read/1"));
    assert!(
        !harness.is_sent(id),
        "registrations that have not returned are dropped"
    );
}

/// Guards against requests for a removed upstream at a host that received no confirmation for a time although the store
/// was reachable: the coordinator had lost the store, or the host was suspended.
#[test]
fn removal_after_a_gap_without_an_outage_takes_effect_at_once() {
    let mut harness = plain_harness();
    harness.advance(relay_fake::millis(1_000));
    harness.now = harness.now + relay_fake::millis(3_000);
    harness.feed(relay::Event::UpstreamRemoved(relay_fake::name("one")));
    harness.confirm();
    let id = harness.arrive(relay_fake::request("/read/1"));
    assert_eq!(harness.upstream(id), "two");
}

/// Guards against models of the previous process of an upstream that restarted under its identifier.
#[test]
fn restarted_upstream_holds_only_its_registered_models() {
    let mut harness = relay_fake::Harness::new();
    harness.register(relay_fake::registration("one", "models", &["small"]));
    let mut restarted = relay_fake::registration("one", "models", &[]);
    restarted.started = 2;
    harness.register(restarted);
    let id = harness.arrive(relay_fake::request("/live/1"));
    assert!(!harness.is_sent(id));
}

/// Guards against an upstream without progress that holds requests until their time limit.
#[test]
fn request_is_retried_when_its_upstream_makes_no_progress() {
    let mut harness = plain_harness();
    let id = harness.arrive(relay_fake::request("/read/1"));
    let first = harness.upstream(id);
    harness.advance(relay_fake::millis(700));
    assert_ne!(harness.upstream(id), first);
    // The upstream is ejected: later requests go elsewhere, too.
    let next = harness.arrive(relay_fake::request("/read/1"));
    assert_ne!(harness.upstream(next), first);
}

/// Guards against times of a request that are measured from the wrong event, or missing for one of the ways in which it
/// ends.
#[test]
fn summary_of_a_request_has_its_times() {
    let mut harness = relay_fake::Harness::new();
    let completed = harness.arrive(relay_fake::request("/live/1"));
    let disconnected = harness.arrive(relay_fake::request("/live/1"));
    harness.advance(relay_fake::millis(200));
    harness.register(relay_fake::registration("one", "models", &["small"]));
    let attempt = harness.begin_stream(completed);
    harness.advance(relay_fake::millis(100));
    harness.feed(relay::Event::StreamProgress(completed, attempt, Some(0)));
    harness.advance(relay_fake::millis(300));
    harness.feed(relay::Event::StreamEnded(completed, attempt));
    harness.feed(relay::Event::CallerDisconnected(disconnected));
    let [first, second] = &harness.summaries[..] else {
        panic!("{:?}", harness.summaries);
    };
    assert_eq!(first.outcome, relay::Outcome::Completed);
    assert_eq!(first.kind, relay::Kind::Streaming);
    assert_eq!(first.queue_time, relay_fake::millis(200));
    assert_eq!(first.time_to_first_byte, Some(relay_fake::millis(300)));
    assert_eq!(first.upstream_time, Some(relay_fake::millis(400)));
    assert_eq!(second.outcome, relay::Outcome::CallerDisconnected);
    assert_eq!(second.time_to_first_byte, None);
}

/// Guards against a response of an engine that reaches the caller as the promise that its request has not run, although the
/// engine does not say so.
#[yare::parameterized(
    timeout = { 408 },
    too_many = { 429 },
    unavailable = { 503 },
)]
fn status_without_proof_does_not_promise_that_a_request_has_not_run(status: u16) {
    let mut harness = plain_harness();
    let booking = harness.arrive(relay_fake::request("/book/1"));
    harness.respond(booking, status, false);
    assert_eq!(harness.refusal(booking).status(), 502);
    let lookup = harness.arrive(relay_fake::request("/read/1"));
    let first = harness.upstream(lookup);
    harness.respond(lookup, status, false);
    assert_ne!(harness.upstream(lookup), first, "it may run again");
}
