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
