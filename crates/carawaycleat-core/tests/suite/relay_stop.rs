//! Requests at an entry host that stops.

use carawaycleat_core::relay;

use crate::relay_fake;

/// Guards against a request that still waits for an upstream when the process ends: its connection would close without
/// a response.
#[test]
fn waiting_request_is_refused_before_the_process_ends() {
    let mut harness = relay_fake::Harness::new();
    harness.register(relay_fake::registration("one", "models", &["small"]));
    let running: Vec<_> = (0..4)
        .map(|_| harness.arrive(relay_fake::request("/live/1")))
        .collect();
    for id in &running {
        harness.begin_stream(*id);
    }
    let id = harness.arrive(relay_fake::request("/live/1"));
    assert!(!harness.is_sent(id));
    let end = harness.now + relay_fake::millis(600);
    harness.feed(relay::Event::Stopping(end));
    harness.advance(relay_fake::millis(575));
    let refusal = harness.refusal(id);
    assert_eq!(refusal.status(), 503);
    assert_eq!(refusal.reason, relay::Reason::Stopping);
    assert!(refusal.retry_after.is_some());
}

/// Guards against the claim that a request has not run although an attempt is in progress when the host stops.
#[test]
fn sent_request_without_a_response_is_ended_as_possibly_run() {
    let mut harness = relay_fake::Harness::new();
    harness.register(relay_fake::registration("one", "plain", &[]));
    let id = harness.arrive(relay_fake::request("/book/1"));
    assert!(harness.is_sent(id));
    let end = harness.now + relay_fake::millis(1_500);
    harness.feed(relay::Event::Stopping(end));
    harness.advance(relay_fake::millis(1_000));
    assert!(harness.is_sent(id));
    harness.advance(relay_fake::millis(475));
    assert_eq!(harness.refusal(id).status(), 502);
}

/// Guards against a stream that is cut before the process has to end.
#[test]
fn stream_in_progress_goes_on_until_the_end() {
    let mut harness = relay_fake::Harness::new();
    harness.register(relay_fake::registration("one", "models", &["small"]));
    let id = harness.arrive(relay_fake::request("/live/1"));
    let attempt = harness.begin_stream(id);
    let end = harness.now + relay_fake::millis(1_500);
    harness.feed(relay::Event::Stopping(end));
    for event in 1..=14 {
        harness.advance(relay_fake::millis(100));
        harness.feed(relay::Event::StreamProgress(id, attempt, Some(event)));
    }
    harness.feed(relay::Event::StreamEnded(id, attempt));
    assert!(matches!(
        harness.last_command(id),
        Some(relay::Command::Deliver)
    ));
}
