//! Streams that have begun and whose upstream is silent for about a second.

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
