//! Requests of callers: what may be sent where, and what may be said of them.

use carawaycleat_core::relay;

use crate::relay_fake;

fn plain_harness() -> relay_fake::Harness {
    let mut harness = relay_fake::Harness::new();
    harness.see(relay_fake::registration("one", "plain", &[]));
    harness.see(relay_fake::registration("two", "plain", &[]));
    harness
}

/// Guards against an idempotent request that ends with the first upstream's failure.
#[test]
fn failed_idempotent_request_runs_elsewhere() {
    let mut harness = plain_harness();
    let id = harness.arrive(relay_fake::request("/read/1"));
    let first = harness.upstream(id);
    harness.answer(id, 500, false);
    assert_ne!(harness.upstream(id), first);
    harness.answer(id, 200, false);
    assert!(matches!(harness.last(id), Some(relay::Command::Deliver)));
}

/// Guards against a booking that runs twice after its answer was lost.
#[test]
fn non_idempotent_request_is_not_repeated_once_sent() {
    let mut harness = plain_harness();
    let id = harness.arrive(relay_fake::request("/book/1"));
    let attempt = harness.dispatch(id).attempt;
    harness.fail(id, attempt, true);
    let refusal = harness.refusal(id);
    assert_eq!(refusal.status(), 502);
    assert!(refusal.may_have_run);
}

/// Guards against a booking that is given up although no byte of it has left.
#[test]
fn non_idempotent_request_moves_on_before_it_is_sent() {
    let mut harness = plain_harness();
    let id = harness.arrive(relay_fake::request("/book/1"));
    let first = harness.dispatch(id);
    harness.fail(id, first.attempt, false);
    assert_ne!(harness.upstream(id), first.upstream.as_str());
}

/// Guards against a booking that is given up although the upstream says that it did not run.
#[test]
fn rejected_request_runs_elsewhere() {
    let mut harness = plain_harness();
    let id = harness.arrive(relay_fake::request("/book/1"));
    let first = harness.upstream(id);
    harness.answer(id, 503, true);
    assert_ne!(harness.upstream(id), first);
}

/// Guards against the claim that a request has not run after an answer of an upstream was lost.
#[test]
fn refusal_after_a_lost_answer_does_not_promise_anything() {
    let mut harness = plain_harness();
    let id = harness.arrive(relay_fake::request("/read/1"));
    for _ in 0..2 {
        let attempt = harness.dispatch(id).attempt;
        harness.fail(id, attempt, true);
    }
    assert_eq!(harness.refusal(id).status(), 502);
}

/// Guards against more upstreams than the route allows for one request.
#[test]
fn attempts_are_bounded_by_the_route() {
    let mut harness = plain_harness();
    harness.see(relay_fake::registration("three", "plain", &[]));
    let id = harness.arrive(relay_fake::request("/read/1"));
    harness.answer(id, 500, false);
    harness.answer(id, 500, false);
    // The second failure is delivered as the upstream's own answer.
    assert!(matches!(harness.last(id), Some(relay::Command::Deliver)));
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
        harness.see(relay_fake::registration(id, "plain", &[]));
    }
    let mut retried = 0;
    for _ in 0..100 {
        let id = harness.arrive(relay_fake::request("/read/1"));
        harness.answer(id, 500, false);
        if harness.is_sent(id) {
            retried += 1;
            harness.answer(id, 500, false);
        }
    }
    assert!((5..=15).contains(&retried), "{retried} retries");
}

/// Guards against a final answer that comes later than the operator wants.
#[test]
fn time_limit_ends_a_sent_request_as_possibly_run() {
    let mut harness = plain_harness();
    let id = harness.arrive(relay_fake::request("/book/1"));
    harness.pass(relay_fake::millis(3_950));
    assert!(harness.is_sent(id));
    harness.pass(relay_fake::millis(75));
    assert_eq!(harness.refusal(id).status(), 504);
}

/// Guards against a promise of an unrun request while an attempt is in progress.
#[test]
fn time_limit_ends_an_unsent_request_as_not_run() {
    let mut harness = relay_fake::Harness::new();
    let id = harness.arrive(relay_fake::request("/book/1"));
    harness.pass(relay_fake::millis(4_100));
    assert_eq!(harness.refusal(id).status(), 503);
}

/// Guards against an attempt that goes on for a caller who has left.
#[test]
fn request_of_a_gone_caller_is_not_sent_again() {
    let mut harness = plain_harness();
    let id = harness.arrive(relay_fake::request("/read/1"));
    let attempt = harness.dispatch(id).attempt;
    harness.feed(relay::Event::CallerDisconnected(id));
    harness.fail(id, attempt, true);
    assert_eq!(harness.commands[&id].len(), 1);
    assert_eq!(harness.reducer.counts(), (0, 0));
}

/// Guards against answers of an attempt that another one has replaced.
#[test]
fn answer_of_an_earlier_attempt_is_dropped() {
    let mut harness = plain_harness();
    let id = harness.arrive(relay_fake::request("/read/1"));
    let first = harness.dispatch(id).attempt;
    harness.fail(id, first, true);
    let answer = relay::Response {
        status: 200,
        not_run: false,
        is_stream: false,
    };
    harness.feed(relay::Event::Responded(id, first, answer));
    assert!(harness.is_sent(id));
}

/// Guards against work for an upstream that is leaving.
#[test]
fn draining_upstream_gets_no_work() {
    let mut harness = plain_harness();
    let mut leaving = relay_fake::registration("one", "plain", &[]);
    leaving.state = relay::State::Draining;
    harness.see(leaving);
    for _ in 0..4 {
        let id = harness.arrive(relay_fake::request("/read/1"));
        assert_eq!(harness.upstream(id), "two");
    }
}

/// Guards against work for an upstream whose entry was removed while the store was in reach.
#[test]
fn removed_upstream_gets_no_work() {
    let mut harness = plain_harness();
    harness.pass(relay_fake::millis(3_000));
    harness.feed(relay::Event::UpstreamRemoved(relay_fake::name("one")));
    let id = harness.arrive(relay_fake::request("/read/1"));
    assert_eq!(harness.upstream(id), "two");
}

/// Guards against an empty fleet after an outage of the store in which entries of live upstreams lapsed.
#[test]
fn entries_that_lapsed_in_an_outage_are_used_until_they_had_time_to_return() {
    let mut harness = plain_harness();
    harness.pass(relay_fake::millis(1_000));
    harness.now = harness.now + relay_fake::millis(3_000);
    harness.feed(relay::Event::StoreFailed);
    harness.confirm();
    for id in ["one", "two"] {
        harness.feed(relay::Event::UpstreamRemoved(relay_fake::name(id)));
    }
    let id = harness.arrive(relay_fake::request("/read/1"));
    assert!(harness.is_sent(id));
    harness.pass(relay_fake::millis(2_500));
    let id = harness.arrive(relay_fake::request("/read/1"));
    assert!(!harness.is_sent(id), "what is still missing is gone");
}

/// Guards against work for an upstream that has left, at a host that heard nothing for a time although the store was in
/// reach: the coordinator had lost the store, or the host was suspended.
#[test]
fn removal_after_a_gap_without_an_outage_takes_effect_at_once() {
    let mut harness = plain_harness();
    harness.pass(relay_fake::millis(1_000));
    harness.now = harness.now + relay_fake::millis(3_000);
    harness.feed(relay::Event::UpstreamRemoved(relay_fake::name("one")));
    harness.confirm();
    let id = harness.arrive(relay_fake::request("/read/1"));
    assert_eq!(harness.upstream(id), "two");
}

/// Guards against models of the process before at an upstream that started again under its identifier.
#[test]
fn restarted_upstream_holds_what_it_says_now() {
    let mut harness = relay_fake::Harness::new();
    harness.see(relay_fake::registration("one", "models", &["small"]));
    let mut restarted = relay_fake::registration("one", "models", &[]);
    restarted.started = 2;
    harness.see(restarted);
    let id = harness.arrive(relay_fake::request("/live/1"));
    assert!(!harness.is_sent(id));
}

/// Guards against one silent upstream that holds requests until their time is over.
#[test]
fn request_leaves_an_upstream_without_progress() {
    let mut harness = plain_harness();
    let id = harness.arrive(relay_fake::request("/read/1"));
    let first = harness.upstream(id);
    harness.pass(relay_fake::millis(700));
    assert_ne!(harness.upstream(id), first);
    // Later requests avoid it as well.
    let next = harness.arrive(relay_fake::request("/read/1"));
    assert_ne!(harness.upstream(next), first);
}

/// Guards against times of a request that are counted from the wrong moment, or lost with the way in which it ends.
#[test]
fn times_of_a_request_are_told_at_its_end() {
    let mut harness = relay_fake::Harness::new();
    let answered = harness.arrive(relay_fake::request("/live/1"));
    let gone = harness.arrive(relay_fake::request("/live/1"));
    harness.pass(relay_fake::millis(200));
    harness.see(relay_fake::registration("one", "models", &["small"]));
    let attempt = harness.begin(answered);
    harness.pass(relay_fake::millis(100));
    harness.feed(relay::Event::StreamProgress(answered, attempt, Some(0)));
    harness.pass(relay_fake::millis(300));
    harness.feed(relay::Event::StreamEnded(answered, attempt));
    harness.feed(relay::Event::CallerDisconnected(gone));
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
