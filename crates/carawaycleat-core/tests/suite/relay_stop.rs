//! Requests at an entry host that is told to stop.

use carawaycleat_core::relay;

use crate::relay_fake;

/// Guards against a request that still waits for an upstream when the process ends: its connection would close without
/// an answer.
#[test]
fn waiting_request_is_refused_before_the_process_ends() {
    let mut world = relay_fake::World::new();
    world.see(relay_fake::sighting("one", "models", &["small"]));
    let running: Vec<_> = (0..4)
        .map(|_| world.arrive(relay_fake::arrival("/live/1")))
        .collect();
    for id in &running {
        world.begin(*id);
    }
    let id = world.arrive(relay_fake::arrival("/live/1"));
    assert!(!world.is_sent(id));
    let end = world.now + relay_fake::millis(600);
    world.feed(relay::Event::Stopping(end));
    world.pass(relay_fake::millis(575));
    let refusal = world.refusal(id);
    assert_eq!(refusal.status(), 503);
    assert_eq!(refusal.reason, relay::Reason::Stopping);
    assert!(refusal.retry_after.is_some());
}

/// Guards against a promise that a request has not run, made only because the host stops.
#[test]
fn sent_request_without_an_answer_is_ended_as_possibly_run() {
    let mut world = relay_fake::World::new();
    world.see(relay_fake::sighting("one", "plain", &[]));
    let id = world.arrive(relay_fake::arrival("/book/1"));
    assert!(world.is_sent(id));
    let end = world.now + relay_fake::millis(1_500);
    world.feed(relay::Event::Stopping(end));
    world.pass(relay_fake::millis(1_000));
    assert!(world.is_sent(id));
    world.pass(relay_fake::millis(475));
    assert_eq!(world.refusal(id).status(), 502);
}

/// Guards against a stream that is cut sooner than the process has to end.
#[test]
fn stream_in_progress_goes_on_until_the_end() {
    let mut world = relay_fake::World::new();
    world.see(relay_fake::sighting("one", "models", &["small"]));
    let id = world.arrive(relay_fake::arrival("/live/1"));
    let attempt = world.begin(id);
    let end = world.now + relay_fake::millis(1_500);
    world.feed(relay::Event::Stopping(end));
    for event in 1..=14 {
        world.pass(relay_fake::millis(100));
        world.feed(relay::Event::Progress(id, attempt, Some(event)));
    }
    world.feed(relay::Event::Ended(id, attempt));
    assert!(matches!(world.last(id), Some(relay::Command::Deliver)));
}
