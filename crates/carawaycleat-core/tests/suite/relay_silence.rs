//! Upstreams that fall silent for a while and go on.

use carawaycleat_core::relay;

use crate::relay_fake;

/// The silence after which a request is sent to a second upstream.
const SILENCE_MS: u64 = 700;

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

/// How the second attempt ends without an answer that the caller can be given.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Full,
    Misdirected,
    Error,
    BrokenOff,
    Unreachable,
}

fn end_second_attempt(harness: &mut relay_fake::Harness, id: relay::Id, end: End) {
    assert_eq!(harness.dispatch(id).attempt, 2);
    match end {
        End::Full => harness.respond(id, 503, true),
        End::Misdirected => harness.respond(id, 421, true),
        End::Error => harness.respond(id, 500, false),
        End::BrokenOff => harness.fail_attempt(id, 2, true),
        End::Unreachable => harness.fail_attempt(id, 2, false),
    }
}

fn assert_completed(harness: &relay_fake::Harness, id: relay::Id) {
    let commands = &harness.commands[&id];
    let last = commands.last();
    assert!(matches!(last, Some(relay::Command::Deliver)), "{last:?}");
    let outcomes: Vec<_> = harness.summaries.iter().map(|s| s.outcome).collect();
    assert_eq!(outcomes, [relay::Outcome::Completed], "{commands:?}");
}

/// Guards against a stream that is cut, or is no longer followed, because its upstream was silent for a second and the
/// upstream that was to take it over does not.
#[yare::parameterized(
    full = { End::Full },
    misdirected = { End::Misdirected },
    error = { End::Error },
    broken_off = { End::BrokenOff },
    unreachable = { End::Unreachable },
)]
fn silent_stream_goes_on_when_no_other_upstream_takes_it_over(end: End) {
    let mut harness = harness();
    let id = harness.arrive(relay_fake::request("/live/1"));
    let attempt = harness.begin_stream(id);
    harness.feed(relay::Event::StreamProgress(id, attempt, Some(2)));
    harness.advance(relay_fake::millis(SILENCE_MS));
    end_second_attempt(&mut harness, id, end);
    harness.advance(relay_fake::millis(300));
    harness.feed(relay::Event::StreamProgress(id, attempt, Some(3)));
    harness.feed(relay::Event::StreamEnded(id, attempt));
    assert_completed(&harness, id);
}

/// Guards against a response that is thrown away, or answered with an error instead, because its upstream was silent for a
/// second.
#[yare::parameterized(
    full = { End::Full },
    misdirected = { End::Misdirected },
    error = { End::Error },
    broken_off = { End::BrokenOff },
    unreachable = { End::Unreachable },
)]
fn late_response_is_delivered_when_no_other_upstream_responds(end: End) {
    let mut harness = harness();
    let id = harness.arrive(relay_fake::request("/read/1"));
    let attempt = harness.dispatch(id).attempt;
    harness.advance(relay_fake::millis(SILENCE_MS));
    end_second_attempt(&mut harness, id, end);
    harness.advance(relay_fake::millis(300));
    let response = relay::Response {
        status: 200,
        not_run: false,
        is_stream: false,
        request_limit: None,
        pause: None,
    };
    harness.feed(relay::Event::Responded(id, attempt, response));
    assert_completed(&harness, id);
}

/// Returns a stream whose upstream has been silent, so that a second attempt is in progress.
fn silent_stream(harness: &mut relay_fake::Harness) -> relay::Id {
    let id = harness.arrive(relay_fake::request("/live/1"));
    let attempt = harness.begin_stream(id);
    harness.feed(relay::Event::StreamProgress(id, attempt, Some(2)));
    harness.advance(relay_fake::millis(SILENCE_MS));
    assert_eq!(harness.dispatch(id).attempt, 2);
    id
}

fn ended_attempts(harness: &relay_fake::Harness, id: relay::Id) -> Vec<u32> {
    let ended = harness.commands[&id].iter().map(|command| match command {
        relay::Command::End(attempt) => Some(*attempt),
        _ => None,
    });
    ended.flatten().collect()
}

/// Guards against two attempts that both go on after one of them has brought events, and against events of the other one.
#[yare::parameterized(
    silent_one_goes_on = { 1, 2 },
    second_one_takes_over = { 2, 1 },
)]
fn first_attempt_with_an_answer_ends_the_other(first: u32, other: u32) {
    let mut harness = harness();
    let id = silent_stream(&mut harness);
    if first == 2 {
        harness.begin_stream(id);
    }
    harness.feed(relay::Event::StreamProgress(id, first, Some(3)));
    assert_eq!(ended_attempts(&harness, id), [other]);
    harness.feed(relay::Event::StreamEnded(id, other));
    assert_eq!(harness.reducer.counts(), (1, 0));
    harness.feed(relay::Event::StreamEnded(id, first));
    assert_completed(&harness, id);
}

/// Guards against two upstreams that work on one stream for more than 400 ms.
#[test]
fn silent_attempt_at_a_stream_ends_soon_after_the_second_is_sent() {
    let mut harness = harness();
    let id = silent_stream(&mut harness);
    harness.advance(relay_fake::millis(300));
    assert_eq!(ended_attempts(&harness, id), [1]);
    harness.begin_stream(id);
    harness.feed(relay::Event::StreamEnded(id, 2));
    assert_completed(&harness, id);
}

/// Guards against upstreams that stay at work for a caller who is gone, and against slots that stay in use.
#[test]
fn both_attempts_end_with_their_caller() {
    let mut harness = harness();
    for _ in 0..10 {
        let id = silent_stream(&mut harness);
        harness.feed(relay::Event::CallerDisconnected(id));
        assert_eq!(ended_attempts(&harness, id), [1]);
    }
    assert_eq!(harness.reducer.counts(), (0, 0));
}
