//! Streams: where they continue, and when they end.

use carawaycleat_core::relay;

use crate::relay_fake;

fn world() -> relay_fake::World {
    let mut world = relay_fake::World::new();
    world.see(relay_fake::sighting("one", "models", &["small"]));
    world.see(relay_fake::sighting("two", "models", &["small"]));
    world
}

/// Guards against a resumed stream that repeats or skips events.
#[test]
fn broken_stream_continues_after_the_last_event() {
    let mut world = world();
    let id = world.arrive(relay_fake::arrival("/live/1"));
    let first = world.upstream(id);
    let attempt = world.begin(id);
    world.feed(relay::Event::Progress(id, attempt, Some(12)));
    world.fail(id, attempt, true);
    let next = world.dispatch(id);
    assert_ne!(next.upstream.as_str(), first);
    assert_eq!(next.after, Some(12));
}

/// Guards against a stream that runs twice where the route does not allow it.
#[test]
fn stream_that_cannot_be_resumed_is_cut() {
    let mut world = world();
    let mut arrival = relay_fake::arrival("/batch/1");
    arrival.model = Some(relay_fake::name("small"));
    let id = world.arrive(arrival);
    let attempt = world.begin(id);
    world.feed(relay::Event::Progress(id, attempt, Some(3)));
    world.fail(id, attempt, true);
    assert_eq!(world.refusal(id).status(), 502);
}

/// Guards against a stream whose silence is not noticed between events.
#[test]
fn silent_stream_continues_elsewhere() {
    let mut world = world();
    let id = world.arrive(relay_fake::arrival("/live/1"));
    let attempt = world.begin(id);
    world.feed(relay::Event::Progress(id, attempt, Some(2)));
    world.pass(relay_fake::millis(700));
    assert_eq!(world.dispatch(id).after, Some(2));
    assert_eq!(world.dispatch(id).attempt, 2);
}

/// Guards against a place that stays taken after its stream has ended.
#[test]
fn ended_stream_frees_its_place() {
    let mut world = world();
    for _ in 0..20 {
        let id = world.arrive(relay_fake::arrival("/live/1"));
        let attempt = world.begin(id);
        world.feed(relay::Event::Progress(id, attempt, Some(0)));
        world.feed(relay::Event::Ended(id, attempt));
        assert!(matches!(world.last(id), Some(relay::Command::Deliver)));
    }
    assert_eq!(world.reducer.counts(), (0, 0));
}

/// Guards against a stream that goes on beyond the time that the operator allows.
#[test]
fn stream_is_cut_at_its_time_limit() {
    let mut world = world();
    let id = world.arrive(relay_fake::arrival("/live/1"));
    let attempt = world.begin(id);
    for event in 0..170 {
        world.feed(relay::Event::Progress(id, attempt, Some(event)));
        world.pass(relay_fake::millis(25));
    }
    assert_eq!(world.refusal(id).status(), 504);
}
