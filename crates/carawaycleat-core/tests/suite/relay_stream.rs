//! Resumption and ends of streams.

use carawaycleat_core::relay;

use crate::relay_fake;

fn harness() -> relay_fake::Harness {
    let mut harness = relay_fake::Harness::new();
    harness.register(relay_fake::registration("one", "models", &["small"]));
    harness.register(relay_fake::registration("two", "models", &["small"]));
    harness
}

/// Guards against a resumed stream that repeats or skips events.
#[test]
fn broken_stream_continues_after_the_last_event() {
    let mut harness = harness();
    let id = harness.arrive(relay_fake::request("/live/1"));
    let first = harness.upstream(id);
    let attempt = harness.begin_stream(id);
    harness.feed(relay::Event::StreamProgress(id, attempt, Some(12)));
    harness.fail_attempt(id, attempt, true);
    let next = harness.dispatch(id);
    assert_ne!(next.upstream.as_str(), first);
    assert_eq!(next.last_event, Some(12));
}

/// Guards against a stream that runs twice where the route does not allow it.
#[test]
fn stream_that_cannot_be_resumed_is_cut() {
    let mut harness = harness();
    let mut request = relay_fake::request("/batch/1");
    request.model = Some(relay_fake::name("small"));
    let id = harness.arrive(request);
    let attempt = harness.begin_stream(id);
    harness.feed(relay::Event::StreamProgress(id, attempt, Some(3)));
    harness.fail_attempt(id, attempt, true);
    assert_eq!(harness.refusal(id).status(), 502);
}

/// Guards against a stream that stalls between events without being resumed.
#[test]
fn stalled_stream_continues_elsewhere() {
    let mut harness = harness();
    let id = harness.arrive(relay_fake::request("/live/1"));
    let attempt = harness.begin_stream(id);
    harness.feed(relay::Event::StreamProgress(id, attempt, Some(2)));
    harness.advance(relay_fake::millis(700));
    assert_eq!(harness.dispatch(id).last_event, Some(2));
    assert_eq!(harness.dispatch(id).attempt, 2);
}

/// Guards against a slot that stays in use after its stream has ended.
#[test]
fn ended_stream_frees_its_slot() {
    let mut harness = harness();
    for _ in 0..20 {
        let id = harness.arrive(relay_fake::request("/live/1"));
        let attempt = harness.begin_stream(id);
        harness.feed(relay::Event::StreamProgress(id, attempt, Some(0)));
        harness.feed(relay::Event::StreamEnded(id, attempt));
        assert!(matches!(
            harness.last_command(id),
            Some(relay::Command::Deliver)
        ));
    }
    assert_eq!(harness.reducer.counts(), (0, 0));
}

/// Guards against a stream that continues past the time limit of its route.
#[test]
fn stream_is_cut_at_its_time_limit() {
    let mut harness = harness();
    let id = harness.arrive(relay_fake::request("/live/1"));
    let attempt = harness.begin_stream(id);
    for event in 0..170 {
        harness.feed(relay::Event::StreamProgress(id, attempt, Some(event)));
        harness.advance(relay_fake::millis(25));
    }
    assert_eq!(harness.refusal(id).status(), 504);
}

/// Guards against a stream that never ends because its upstream sends a byte now and then but completes no event.
#[test]
fn bytes_without_an_event_do_not_keep_an_attempt_alive() {
    let mut harness = relay_fake::Harness::new();
    for id in ["one", "two"] {
        harness.register(relay_fake::registration(id, "models", &["small"]));
    }
    let id = harness.arrive(relay_fake::request("/live/1"));
    let first = harness.upstream(id);
    let attempt = harness.begin_stream(id);
    harness.feed(relay::Event::StreamProgress(id, attempt, Some(1)));
    for _ in 0..25 {
        harness.advance(relay_fake::millis(100));
        harness.feed(relay::Event::StreamProgress(id, attempt, None));
    }
    assert_ne!(harness.upstream(id), first);
}
