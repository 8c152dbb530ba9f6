//! Streams that callers take up at hosts whose upstreams are full, as after all hosts have been killed.

use carawaycleat_core::relay;

use crate::relay_fake;

/// The slots of the upstream.
const SLOTS: usize = 8;

fn request(id: &str) -> relay::Request {
    relay::Request {
        request_id: id.to_owned(),
        ..relay_fake::request("/live/1")
    }
}

/// Lets the caller of a stream that this host has begun come back.
fn take_up(harness: &mut relay_fake::Harness, stream: &str) -> relay::Id {
    harness.arrive(relay_fake::take_up(stream))
}

/// Returns a host with one upstream, the streams that fill it, and the name of one that its caller takes up later.
fn full_host() -> (relay_fake::Harness, Vec<relay::Id>) {
    let mut harness = relay_fake::Harness::new();
    let registration = relay::Registration {
        slots: SLOTS as u32,
        ..relay_fake::registration("one", "models", &["small"])
    };
    harness.register(registration);
    let broken = harness.arrive(request("broken"));
    let attempt = harness.begin_stream(broken);
    harness.feed(relay::Event::StreamProgress(broken, attempt, Some(3)));
    harness.feed(relay::Event::CallerDisconnected(broken));
    let mut running = Vec::new();
    loop {
        let id = harness.arrive(request(&format!("running-{}", running.len())));
        if !harness.is_sent(id) {
            harness.feed(relay::Event::CallerDisconnected(id));
            return (harness, running);
        }
        running.push(id);
    }
}

/// Lets time pass while a stream makes progress, so that its upstream is not taken for silent.
fn pass_time(harness: &mut relay_fake::Harness, running: relay::Id, millis: u64) {
    let attempt = harness.begin_stream(running);
    for event in 1..=millis / 50 {
        harness.advance(relay_fake::millis(50));
        harness.feed(relay::Event::StreamProgress(running, attempt, Some(event)));
    }
}

/// Guards against a stream that waits behind new requests of its kind, so that the events which its caller has are lost.
#[yare::parameterized(
    of_the_same_age = { 50 },
    that_arrived_long_before = { 1_200 },
)]
fn take_up_goes_before_new_requests(later_ms: u64) {
    let (mut harness, running) = full_host();
    let new = harness.arrive(request("new"));
    pass_time(&mut harness, running[0], later_ms);
    let resumed = take_up(&mut harness, "broken");
    assert!(!harness.is_sent(new) && !harness.is_sent(resumed));
    harness.feed(relay::Event::CallerDisconnected(running[0]));
    harness.advance(relay_fake::millis(50));
    assert!(harness.is_sent(resumed));
    assert!(!harness.is_sent(new));
}

/// Guards against streams that are refused at once because a host that has just started has sent nothing yet, and takes the
/// queue for one that never moves.
#[test]
fn take_ups_wait_while_the_rate_of_the_queue_is_unknown() {
    let (mut harness, running) = full_host();
    let new: Vec<_> = (0..6)
        .map(|index| harness.arrive(request(&format!("new-{index}"))))
        .collect();
    let resumed: Vec<_> = (0..6).map(|_| take_up(&mut harness, "broken")).collect();
    for id in &running[..6] {
        harness.advance(relay_fake::millis(100));
        harness.feed(relay::Event::CallerDisconnected(*id));
    }
    harness.advance(relay_fake::millis(50));
    for id in &resumed {
        assert!(harness.is_sent(*id));
    }
    assert!(new.iter().all(|id| !harness.is_sent(*id)));
}

/// Guards against take-ups that wait until their callers leave although the queue is known to be too long.
#[test]
fn take_up_is_refused_when_the_queue_is_known_to_be_too_long() {
    let (mut harness, _) = full_host();
    harness.advance(relay_fake::millis(8_000));
    let resumed: Vec<_> = (0..40).map(|_| take_up(&mut harness, "broken")).collect();
    let last = *resumed.last().expect("take-ups");
    assert_eq!(harness.refusal(last).reason.as_str(), "no_upstream");
}
