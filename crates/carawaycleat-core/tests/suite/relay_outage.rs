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
    let id = harness.arrive(relay_fake::request("/live/1"));
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
