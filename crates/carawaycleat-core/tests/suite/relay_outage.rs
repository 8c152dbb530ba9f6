//! Streams whose upstreams are all silent, ejected or gone for a while.

use carawaycleat_core::relay;

use crate::relay_fake;

fn harness_of(ids: &[&str], options: relay::Options) -> relay_fake::Harness {
    let mut harness = relay_fake::Harness::with_options(options);
    for id in ids {
        harness.register(relay_fake::registration(id, "models", &["small"]));
    }
    harness
}

/// Returns a stream that has begun, and its attempt.
fn begin_stream(harness: &mut relay_fake::Harness) -> (relay::Id, u32) {
    begin_stream_on(harness, "/live/1")
}

fn begin_stream_on(harness: &mut relay_fake::Harness, path: &str) -> (relay::Id, u32) {
    let mut request = relay_fake::request(path);
    request.model = Some(relay_fake::name("small"));
    let id = harness.arrive(request);
    let attempt = harness.begin_stream(id);
    harness.feed(relay::Event::StreamProgress(id, attempt, Some(1)));
    (id, attempt)
}

/// Guards against attempts at upstreams that are as silent as the one before, which use up the retry budget.
#[test]
fn silence_of_all_upstreams_uses_no_retries() {
    let mut harness = harness_of(&["one", "two", "three"], relay::Options::default());
    let mut streams = Vec::new();
    for _ in 0..6 {
        streams.push(begin_stream(&mut harness));
        harness.advance(relay_fake::millis(25));
    }
    let retries = harness.reducer.retries_left(harness.now);
    harness.advance(relay_fake::millis(1_200));
    for (id, attempt) in streams {
        assert_eq!(
            harness.commands[&id].len(),
            2,
            "{:?}",
            harness.commands[&id]
        );
        harness.feed(relay::Event::StreamProgress(id, attempt, Some(2)));
        harness.feed(relay::Event::StreamEnded(id, attempt));
    }
    assert_eq!(harness.reducer.retries_left(harness.now), retries);
    assert_eq!(harness.summaries.len(), 6);
}

/// Guards against requests that wait although the streams of their upstreams have gone on.
#[test]
fn upstream_gets_requests_again_as_soon_as_its_streams_go_on() {
    let mut harness = harness_of(&["one"], relay::Options::default());
    let (id, attempt) = begin_stream(&mut harness);
    harness.advance(relay_fake::millis(1_100));
    let waiting = harness.arrive(relay_fake::request("/live/1"));
    assert!(harness.last_command(waiting).is_none(), "it is ejected");
    harness.feed(relay::Event::StreamProgress(id, attempt, Some(2)));
    harness.advance(relay_fake::millis(25));
    assert!(harness.is_sent(waiting));
}

/// Guards against an old stream that is cut at once when its upstream breaks off while the other one is silent.
#[test]
fn old_stream_waits_for_a_silent_upstream() {
    let mut harness = harness_of(&["one", "two"], relay::Options::default());
    let (old, first) = begin_stream(&mut harness);
    // It cannot be sent to the other upstream.
    let (silent, attempt) = begin_stream_on(&mut harness, "/batch/1");
    assert_ne!(harness.upstream_of(old), harness.upstream_of(silent));
    for event in 2..16 {
        harness.feed(relay::Event::StreamProgress(old, first, Some(event)));
        if event < 9 {
            harness.feed(relay::Event::StreamProgress(silent, attempt, Some(event)));
        }
        harness.advance(relay_fake::millis(100));
    }
    harness.fail_attempt(old, first, false);
    harness.feed(relay::Event::UpstreamRemoved(relay_fake::name("one")));
    harness.advance(relay_fake::millis(500));
    assert!(
        harness.reducer.counts().1 > 0,
        "{:?}",
        harness.commands[&old]
    );
    harness.feed(relay::Event::StreamProgress(silent, attempt, Some(9)));
    harness.advance(relay_fake::millis(25));
    assert_eq!(harness.dispatch(old).last_event, Some(15));
}

/// Guards against a stream that is cut because the retry budget is empty at the moment in which its upstream breaks off.
#[test]
fn stream_waits_for_the_retry_budget() {
    let options = relay::Options {
        retry_slack: 0,
        ..relay::Options::default()
    };
    let mut harness = harness_of(&["one", "two"], options);
    let (id, attempt) = begin_stream(&mut harness);
    harness.fail_attempt(id, attempt, true);
    harness.advance(relay_fake::millis(500));
    assert_eq!(harness.reducer.counts(), (1, 1));
    for _ in 0..7 {
        let (other, attempt) = begin_stream(&mut harness);
        harness.feed(relay::Event::StreamEnded(other, attempt));
    }
    harness.advance(relay_fake::millis(25));
    assert_eq!(harness.dispatch(id).last_event, Some(1));
    assert_eq!(harness.reducer.retries_left(harness.now), Some(0));
}

/// Guards against a stream that is cut before its time limit because the retry budget stays empty, and against attempts that
/// exceed the budget.
#[test]
fn stream_waits_until_its_time_limit_when_the_retry_budget_stays_empty() {
    let options = relay::Options {
        retry_slack: 0,
        ..relay::Options::default()
    };
    let mut harness = harness_of(&["one", "two"], options);
    let (id, attempt) = begin_stream(&mut harness);
    harness.fail_attempt(id, attempt, true);
    harness.advance(relay_fake::millis(3_900));
    assert_eq!(harness.reducer.counts(), (1, 1));
    assert_eq!(harness.commands[&id].len(), 2, "no further attempt");
    harness.advance(relay_fake::millis(100));
    assert_eq!(harness.refusal(id).status(), 504);
}
