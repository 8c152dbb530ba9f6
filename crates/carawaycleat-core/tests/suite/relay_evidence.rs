//! What a failed attempt says about its upstream.

use std::time;

use carawaycleat_core::relay;

use crate::relay_fake;

/// The longest time for which an upstream that is only silent gets no requests.
const MAX_SILENCE_EJECTION: time::Duration = time::Duration::from_millis(800);
/// The time between two ticks of the harness.
const TICK: time::Duration = time::Duration::from_millis(25);

/// Returns a host with one upstream, and a stream in progress there whose caller does not read, so that the upstream is not
/// tried by one request at a time while it is ejected.
fn harness() -> (relay_fake::Harness, relay::Id, u32) {
    let mut harness = relay_fake::Harness::new();
    harness.register(relay_fake::registration("one", "models", &["small"]));
    let stream = harness.arrive(relay_fake::request("/live/1"));
    let attempt = harness.begin_stream(stream);
    harness.feed(relay::Event::StreamProgress(stream, attempt, Some(1)));
    harness.feed(relay::Event::CallerBlocked(stream));
    (harness, stream, attempt)
}

fn fail(harness: &mut relay_fake::Harness, request: relay::Id, failure: relay::Failure) {
    let attempt = harness.dispatch(request).attempt;
    harness.feed(relay::Event::AttemptFailed {
        request,
        attempt,
        failure,
    });
}

/// Returns how often a request was sent.
fn sends(harness: &relay_fake::Harness, id: relay::Id) -> usize {
    let is_send = |command: &&relay::Command| matches!(command, relay::Command::Send(_));
    let commands = harness.commands.get(&id).into_iter().flatten();
    commands.filter(is_send).count()
}

/// Lets a new request arrive, and returns it and the time until it is sent.
fn send_when_possible(harness: &mut relay_fake::Harness) -> (relay::Id, time::Duration) {
    let arrived = harness.now;
    let id = harness.arrive(relay_fake::request("/live/1"));
    for _ in 0..200 {
        if harness.is_sent(id) {
            break;
        }
        harness.advance(TICK);
    }
    (id, harness.now.since(arrived))
}

/// Pattern: connections to an upstream time out one after another. Guards against an upstream that gets no requests for
/// seconds although it was silent only for a moment.
#[test]
fn silence_does_not_eject_for_seconds() {
    let (mut harness, _, _) = harness();
    for _ in 0..6 {
        let (id, waited) = send_when_possible(&mut harness);
        assert!(waited <= MAX_SILENCE_EJECTION + TICK, "{waited:?}");
        fail(&mut harness, id, relay::Failure::Unconnected);
        harness.feed(relay::Event::CallerDisconnected(id));
    }
}

/// Guards against an upstream that stays ejected for silence after it has gone on.
#[test]
fn progress_ends_an_ejection_for_want_of_a_connection() {
    let (mut harness, stream, attempt) = harness();
    let id = harness.arrive(relay_fake::request("/live/1"));
    fail(&mut harness, id, relay::Failure::Unconnected);
    harness.advance(TICK);
    assert_eq!(sends(&harness, id), 1);
    harness.feed(relay::Event::StreamProgress(stream, attempt, Some(2)));
    harness.advance(TICK);
    assert_eq!(sends(&harness, id), 2);
}

/// Guards against an upstream that stays ejected for want of a connection after it has accepted one.
#[test]
fn connection_ends_an_ejection_for_want_of_one() {
    let (mut harness, _, _) = harness();
    let first = harness.arrive(relay_fake::request("/live/1"));
    let second = harness.arrive(relay_fake::request("/live/1"));
    let attempt = harness.dispatch(second).attempt;
    fail(&mut harness, first, relay::Failure::Unconnected);
    harness.advance(TICK);
    assert_eq!(sends(&harness, first), 1);
    harness.feed(relay::Event::AttemptSent(second, attempt));
    harness.advance(TICK);
    assert_eq!(sends(&harness, first), 2);
}

/// Guards against a crash that is concluded from a connection that was not accepted in time, and against one that is not
/// concluded from a connection that was refused.
#[yare::parameterized(
    refused = { relay::Failure::Refused, 1 },
    unconnected = { relay::Failure::Unconnected, 0 },
    local = { relay::Failure::Local, 0 },
)]
fn only_a_refusal_confirms_a_crash(failure: relay::Failure, crashes: usize) {
    let (mut harness, _, _) = harness();
    let broken_off = harness.arrive(relay_fake::request("/live/1"));
    let other = harness.arrive(relay_fake::request("/live/1"));
    let attempt = harness.begin_stream(broken_off);
    harness.fail_attempt(broken_off, attempt, true);
    fail(&mut harness, other, failure);
    harness.advance(TICK);
    assert_eq!(harness.crashes.len(), crashes);
}

/// Guards against an upstream that gets fewer requests, or none, because the host lacks descriptors or ports.
#[test]
fn local_failures_do_not_count_against_an_upstream() {
    let mut harness = relay_fake::Harness::new();
    for id in ["one", "two"] {
        harness.register(relay_fake::registration(id, "models", &["small"]));
    }
    let id = harness.arrive(relay_fake::request("/live/1"));
    let failed = harness.upstream(id);
    fail(&mut harness, id, relay::Failure::Local);
    assert!(harness.records.contains(&"attempt_failed"));
    harness.feed(relay::Event::CallerDisconnected(id));
    harness.advance(relay_fake::millis(50));
    let next = harness.arrive(relay_fake::request("/live/1"));
    assert_eq!(harness.upstream(next), failed);
}

/// Guards against a request that is sent again without a pause while the host cannot open connections.
#[test]
fn request_that_cannot_be_sent_is_repeated_after_a_pause() {
    let (mut harness, _, _) = harness();
    let id = harness.arrive(relay_fake::request("/live/1"));
    let mut failures = 0;
    for _ in 0..40 {
        while failures < sends(&harness, id) && failures < 100 {
            failures += 1;
            fail(&mut harness, id, relay::Failure::Local);
        }
        harness.advance(TICK);
    }
    assert!((2..=26).contains(&failures), "{failures}");
}
