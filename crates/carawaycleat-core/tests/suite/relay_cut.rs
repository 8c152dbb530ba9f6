//! Streams that have begun and whose upstream is silent for about a second, or lost.

use carawaycleat_core::relay;

use crate::relay_fake;

/// The silence after which a stream is sent to a second upstream, and the time for which both then work on it.
const SILENCE_MS: u64 = 700;
const OVERLAP_MS: u64 = 300;

/// How the second attempt ends without an answer that the caller can be given.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Full,
    Misdirected,
    Error,
    BrokenOff,
    Unreachable,
}

fn is_refused(harness: &relay_fake::Harness, id: relay::Id) -> bool {
    let last = harness.last_command(id);
    matches!(last, Some(relay::Command::Refuse(_)))
}

/// Guards against a stream that is cut although its upstream, which was silent for a second, goes on: the attempt there is
/// ended first, and the upstream that was to take the stream over does not.
#[yare::parameterized(
    full = { 0, End::Full },
    misdirected = { 0, End::Misdirected },
    error = { 0, End::Error },
    broken_off = { 0, End::BrokenOff },
    unreachable = { 0, End::Unreachable },
    old_and_full = { 2_000, End::Full },
    old_and_misdirected = { 2_000, End::Misdirected },
    old_and_error = { 2_000, End::Error },
    old_and_broken_off = { 2_000, End::BrokenOff },
    old_and_unreachable = { 2_000, End::Unreachable },
)]
fn stream_is_not_cut_after_a_failed_take_over(age_ms: u64, end: End) {
    let mut harness = relay_fake::Harness::new();
    for id in ["one", "two"] {
        harness.register(relay_fake::registration(id, "models", &["small"]));
    }
    let id = harness.arrive(relay_fake::request("/live/1"));
    let first = harness.begin_stream(id);
    let mut event = 1;
    harness.feed(relay::Event::StreamProgress(id, first, Some(event)));
    for _ in 0..age_ms / 100 {
        harness.advance(relay_fake::millis(100));
        event += 1;
        harness.feed(relay::Event::StreamProgress(id, first, Some(event)));
    }
    harness.advance(relay_fake::millis(SILENCE_MS));
    assert_eq!(harness.dispatch(id).attempt, 2);
    if end != End::Unreachable {
        harness.feed(relay::Event::AttemptSent(id, 2));
    }
    harness.advance(relay_fake::millis(OVERLAP_MS));
    match end {
        End::Full => harness.respond(id, 503, true),
        End::Misdirected => harness.respond(id, 421, true),
        End::Error => harness.respond(id, 500, false),
        End::BrokenOff => harness.fail_attempt(id, 2, true),
        End::Unreachable => harness.fail_attempt(id, 2, false),
    }
    assert!(!is_refused(&harness, id), "{:?}", harness.commands[&id]);
    harness.advance(relay_fake::millis(300));
    assert!(!is_refused(&harness, id), "{:?}", harness.commands[&id]);
}

/// Returns a stream that has brought an event, and its attempt, at a host with the upstreams `ids`.
fn begin_stream(ids: &[&str]) -> (relay_fake::Harness, relay::Id, u32) {
    let mut harness = relay_fake::Harness::new();
    for id in ids {
        harness.register(relay_fake::registration(id, "models", &["small"]));
    }
    let id = harness.arrive(relay_fake::request("/live/1"));
    let attempt = harness.begin_stream(id);
    harness.feed(relay::Event::StreamProgress(id, attempt, Some(1)));
    (harness, id, attempt)
}

/// Guards against a stream whose attempt at a silent upstream is ended before the second attempt has a connection, so that
/// both are lost when that one gets none.
#[yare::parameterized(
    unconnected = { relay::Failure::Unconnected },
    refused = { relay::Failure::Refused },
    local = { relay::Failure::Local },
)]
fn attempt_without_a_connection_does_not_end_the_first(failure: relay::Failure) {
    let (mut harness, id, first) = begin_stream(&["one", "two"]);
    harness.advance(relay_fake::millis(SILENCE_MS));
    assert_eq!(harness.dispatch(id).attempt, 2);
    harness.advance(relay_fake::millis(350));
    harness.feed(relay::Event::AttemptFailed {
        request: id,
        attempt: 2,
        failure,
    });
    harness.advance(relay_fake::millis(100));
    harness.feed(relay::Event::StreamProgress(id, first, Some(2)));
    harness.feed(relay::Event::StreamEnded(id, first));
    let outcomes: Vec<_> = harness.summaries.iter().map(|s| s.outcome).collect();
    assert_eq!(outcomes, [relay::Outcome::Completed]);
}

/// Announces that the model of the stream is loaded after its caller has disconnected.
fn announce_load(harness: &mut relay_fake::Harness) {
    let view = relay::View {
        ready_in_ms: vec![(relay_fake::name("small"), 3_100)],
        ..relay_fake::view(Vec::new())
    };
    harness.feed(relay::Event::ViewReceived(Box::new(view)));
}

/// Guards against a stream that is cut at once because its model is announced for later, although the upstreams that hold it
/// are back before.
#[test]
fn stream_waits_for_a_lost_upstream_beside_a_late_load() {
    let (mut harness, id, first) = begin_stream(&["one", "two"]);
    announce_load(&mut harness);
    harness.fail_attempt(id, first, true);
    harness.fail_attempt(id, 2, false);
    for _ in 0..8 {
        harness.advance(relay_fake::millis(250));
        announce_load(&mut harness);
        let attempts = &harness.commands[&id];
        let last = match attempts.last() {
            Some(relay::Command::Send(dispatch)) => dispatch.attempt,
            other => panic!("it waits: {other:?}"),
        };
        harness.fail_attempt(id, last, false);
    }
    harness.advance(relay_fake::millis(1_000));
    assert_eq!(harness.dispatch(id).last_event, Some(1));
    harness.begin_stream(id);
}

/// Guards against a take-up that is refused because its model is announced for later, although the upstreams that hold it are
/// back before.
#[test]
fn take_up_waits_for_a_lost_upstream_beside_a_late_load() {
    let (mut harness, broken, _) = begin_stream(&["one"]);
    harness.feed(relay::Event::CallerDisconnected(broken));
    announce_load(&mut harness);
    let id = harness.arrive(relay_fake::take_up("request"));
    harness.fail_attempt(id, 1, false);
    harness.advance(relay_fake::millis(200));
    assert!(!is_refused(&harness, id));
    harness.advance(relay_fake::millis(1_000));
    assert_eq!(harness.dispatch(id).attempt, 2);
}

/// Guards against a stream that is cut because one upstream had no free slot several times in a row.
#[test]
fn stream_outlives_rejections_in_a_row() {
    let (mut harness, id, first) = begin_stream(&["one"]);
    harness.fail_attempt(id, first, true);
    let mut attempts = 0;
    for _ in 0..60 {
        if harness.is_sent(id) && harness.dispatch(id).attempt > attempts {
            attempts = harness.dispatch(id).attempt;
            if attempts > 1 {
                harness.respond(id, 503, true);
            }
        }
        harness.advance(relay_fake::millis(50));
    }
    assert!((4..12).contains(&attempts), "{attempts}");
    assert!(!is_refused(&harness, id));
}
