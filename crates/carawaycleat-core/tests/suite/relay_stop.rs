//! Requests at an entry host that stops.

use std::time;

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

/// The time that requests take in these tests, and the time from the beginning of the stop to its end.
const SERVICE_TIME: time::Duration = time::Duration::from_millis(400);
const STOP_TIME: time::Duration = time::Duration::from_millis(3_000);

/// Returns a host that stops, where requests under `path` have taken [`SERVICE_TIME`] so far.
fn stopping_host(path: &str, slots: u32) -> relay_fake::Harness {
    let mut harness = relay_fake::Harness::new();
    harness.register(relay::Registration {
        slots,
        ..relay_fake::registration("one", "plain", &[])
    });
    for _ in 0..3 {
        let id = harness.arrive(relay_fake::request(path));
        harness.advance(SERVICE_TIME);
        harness.respond(id, 200, false);
    }
    harness.feed(relay::Event::Stopping(harness.now + STOP_TIME));
    harness
}

/// Guards against a request that is passed on although the process ends before its response, and against a refusal while
/// there is time for it.
#[yare::parameterized(
    non_idempotent = { "/book/1" },
    idempotent = { "/read/1" },
)]
fn request_is_accepted_only_if_it_can_end_in_time(path: &str) {
    let mut harness = stopping_host(path, 100);
    let mut running = std::collections::VecDeque::new();
    let (mut completed, mut refused) = (0, 0);
    for _ in 0..30 {
        let id = harness.arrive(relay_fake::request(path));
        if harness.is_sent(id) {
            running.push_back((id, harness.now + SERVICE_TIME));
        } else {
            let refusal = harness.refusal(id);
            assert_eq!((refusal.status(), refusal.may_have_run), (503, false));
            assert_eq!(refusal.reason, relay::Reason::Stopping);
            let retry_after = refusal.retry_after.expect("another host takes it");
            assert!(retry_after <= time::Duration::from_millis(500));
            refused += 1;
        }
        harness.advance(relay_fake::millis(100));
        while let Some((id, _)) = running.pop_front_if(|(_, end)| *end <= harness.now) {
            harness.respond(id, 200, false);
            assert!(matches!(
                harness.last_command(id),
                Some(relay::Command::Deliver)
            ));
            completed += 1;
        }
    }
    assert!(running.is_empty(), "{running:?}");
    assert!(completed >= 20, "{completed} of 30 completed");
    assert!(refused >= 4, "{refused} of 30 refused");
}

/// Guards against a request that comes late in a stop, on a connection that was kept, and is cut at the end of the process
/// because it takes longer than those before it.
#[yare::parameterized(
    early = { 1_000, true },
    late = { 3_000, false },
)]
fn late_request_needs_its_time_limit(after_ms: u64, is_sent: bool) {
    let mut harness = stopping_host("/book/1", 100);
    harness.feed(relay::Event::Stopping(harness.now + 2 * STOP_TIME));
    harness.advance(relay_fake::millis(after_ms));
    let id = harness.arrive(relay_fake::request("/book/1"));
    assert_eq!(harness.is_sent(id), is_sent);
    if !is_sent {
        assert_eq!(harness.refusal(id).reason, relay::Reason::Stopping);
    }
    let short = relay::Request {
        timeout: Some(relay_fake::millis(500)),
        ..relay_fake::request("/book/1")
    };
    let id = harness.arrive(short);
    assert!(harness.is_sent(id));
}

/// Guards against a request of an unknown duration that is passed on although its time limit is later than the end.
#[test]
fn request_of_an_unknown_kind_needs_its_time_limit() {
    let mut harness = stopping_host("/book/1", 100);
    let id = harness.arrive(relay_fake::request("/read/1"));
    assert_eq!(harness.refusal(id).status(), 503);
    let short = relay::Request {
        timeout: Some(relay_fake::millis(500)),
        ..relay_fake::request("/read/1")
    };
    let id = harness.arrive(short);
    assert!(harness.is_sent(id));
}

/// Guards against a request that waits for an upstream and is passed on when the process is about to end.
#[test]
fn waiting_request_is_not_sent_too_late() {
    let mut harness = stopping_host("/book/1", 1);
    harness.advance(STOP_TIME - SERVICE_TIME * 2);
    let running = harness.arrive(relay_fake::request("/book/1"));
    let waiting = harness.arrive(relay_fake::request("/book/1"));
    assert!(harness.is_sent(running) && !harness.is_sent(waiting));
    harness.advance(SERVICE_TIME);
    harness.respond(running, 200, false);
    assert_eq!(harness.refusal(waiting).status(), 503);
}

/// Guards against a stream in progress that is refused, not resumed, because it may last beyond the end.
#[test]
fn stream_in_progress_is_resumed_while_stopping() {
    let mut harness = relay_fake::Harness::new();
    for id in ["one", "two"] {
        harness.register(relay_fake::registration(id, "models", &["small"]));
    }
    let id = harness.arrive(relay_fake::request("/live/1"));
    let attempt = harness.begin_stream(id);
    harness.feed(relay::Event::StreamProgress(id, attempt, Some(1)));
    harness.feed(relay::Event::Stopping(harness.now + STOP_TIME));
    harness.advance(relay_fake::millis(100));
    harness.fail_attempt(id, attempt, true);
    assert!(harness.is_sent(id));
    assert_eq!(harness.dispatch(id).attempt, 2);
}
