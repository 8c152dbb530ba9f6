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

fn response(status: u16) -> relay::Response {
    relay::Response {
        status,
        not_run: false,
        is_stream: false,
        request_limit: None,
        pause: None,
    }
}

/// Applies a later configuration with the same services and workspaces, and routes that `change` has changed.
fn configure(harness: &mut relay_fake::Harness, change: impl Fn(&mut relay::Route)) {
    let before = relay_fake::config(1, 1_000_000);
    let mut routes: Vec<_> = before.routes().cloned().collect();
    for route in &mut routes {
        change(route);
    }
    let services = before
        .services()
        .map(|(name, service)| (name.clone(), service.clone()));
    let workspaces = vec![relay_fake::workspace(1_000_000)];
    let config = relay::Config::new(2, routes, services.collect(), workspaces, None);
    harness.feed(relay::Event::Configured(Box::new(config)));
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
    harness.feed(relay::Event::Responded(id, attempt, response(200)));
    assert_completed(&harness, id);
}

/// Returns a stream whose upstream has been silent, so that a second attempt is in progress.
fn silent_stream(harness: &mut relay_fake::Harness) -> relay::Id {
    let id = harness.arrive(relay_fake::request("/live/1"));
    let attempt = harness.begin_stream(id);
    harness.feed(relay::Event::StreamProgress(id, attempt, Some(2)));
    harness.advance(relay_fake::millis(SILENCE_MS));
    assert_eq!(harness.dispatch(id).attempt, 2);
    harness.feed(relay::Event::AttemptSent(id, 2));
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

/// Guards against a stream that is cut because the attempt that was to take it over broke off, or was rejected, after its
/// head.
#[yare::parameterized(
    error = { End::Error },
    broken_off = { End::BrokenOff },
)]
fn head_of_the_second_attempt_does_not_end_the_first(end: End) {
    let mut harness = harness();
    let id = silent_stream(&mut harness);
    harness.begin_stream(id);
    harness.advance(relay_fake::millis(100));
    match end {
        End::BrokenOff => harness.fail_attempt(id, 2, true),
        _ => {
            let response = response(500);
            harness.feed(relay::Event::Responded(id, 2, response));
        }
    }
    harness.advance(relay_fake::millis(500));
    harness.feed(relay::Event::StreamProgress(id, 1, Some(3)));
    harness.feed(relay::Event::StreamEnded(id, 1));
    assert_completed(&harness, id);
}

/// Guards against two upstreams that have both begun and work on one stream for more than 400 ms.
#[test]
fn second_attempt_that_has_begun_ends_the_first_within_the_overlap() {
    let mut harness = harness();
    let id = silent_stream(&mut harness);
    harness.begin_stream(id);
    harness.advance(relay_fake::millis(300));
    assert_eq!(ended_attempts(&harness, id), [1]);
}

/// Guards against a first attempt that is given up for a third one, although it was only silent.
#[yare::parameterized(
    first = { 1 },
    second = { 2 },
    third = { 3 },
)]
fn any_of_three_attempts_may_answer(answering: u32) {
    let mut harness = harness();
    harness.register(relay_fake::registration("plain-three", "plain", &[]));
    configure(&mut harness, |route| route.max_attempts = 3);
    let id = harness.arrive(relay_fake::request("/read/1"));
    harness.advance(relay_fake::millis(2 * SILENCE_MS));
    assert_eq!(harness.dispatch(id).attempt, 3);
    harness.feed(relay::Event::Responded(id, answering, response(200)));
    let others: Vec<_> = (1..=3).filter(|attempt| *attempt != answering).collect();
    let mut ended = ended_attempts(&harness, id);
    ended.sort_unstable();
    assert_eq!(ended, others);
    assert_completed(&harness, id);
}
