//! Upstreams that turn requests away and ask a host for a pause.

use std::collections;
use std::time;

use carawaycleat_core::relay;

use crate::relay_fake;

/// Returns a host with upstreams that hold the model.
fn harness(host: &str, upstreams: &[&str]) -> relay_fake::Harness {
    let mut harness = relay_fake::Harness::of_host(host, relay::Options::default());
    for id in upstreams {
        harness.register(relay_fake::registration(id, "models", &["small"]));
    }
    harness
}

/// Lets the attempt in progress be turned away with a pause.
fn turn_away(harness: &mut relay_fake::Harness, id: relay::Id, pause: time::Duration) {
    let attempt = harness.dispatch(id).attempt;
    let response = relay::Response {
        status: 503,
        not_run: true,
        is_stream: false,
        request_limit: None,
        pause: Some(pause),
    };
    harness.feed(relay::Event::Responded(id, attempt, response));
}

/// Lets requests arrive until one is sent to `upstream`, and returns the time that this took.
fn time_until_sent_to(harness: &mut relay_fake::Harness, upstream: &str) -> time::Duration {
    let start = harness.now;
    for _ in 0..4_000 {
        let id = harness.arrive(relay_fake::request("/live/1"));
        let is_sent = harness.is_sent(id) && harness.upstream(id) == upstream;
        harness.feed(relay::Event::CallerDisconnected(id));
        if is_sent {
            return harness.now.since(start);
        }
        harness.advance(relay_fake::millis(25));
    }
    panic!("nothing is sent to {upstream}");
}

/// Guards against requests to an upstream within the pause that it asked for, and against a request that is not sent to
/// another one at once.
#[test]
fn paused_upstream_gets_no_requests_until_the_end() {
    let mut harness = harness("host-1", &["one", "two"]);
    let id = harness.arrive(relay_fake::request("/live/1"));
    let paused = harness.upstream(id);
    turn_away(&mut harness, id, relay_fake::millis(2_000));
    assert!(harness.is_sent(id));
    assert_ne!(harness.upstream(id), paused);
    let waited = time_until_sent_to(&mut harness, &paused);
    assert!(waited >= relay_fake::millis(2_000), "{waited:?}");
    assert!(waited <= relay_fake::millis(2_600), "{waited:?}");
}

/// Guards against a shorter pause that ends a longer one.
#[test]
fn latest_end_of_pauses_holds() {
    let mut harness = harness("host-1", &["one"]);
    let ids = [(); 2].map(|()| harness.arrive(relay_fake::request("/live/1")));
    turn_away(&mut harness, ids[0], relay_fake::millis(3_000));
    turn_away(&mut harness, ids[1], relay_fake::millis(500));
    let waited = time_until_sent_to(&mut harness, "one");
    assert!(waited >= relay_fake::millis(3_000), "{waited:?}");
}

/// Guards against an upstream that is lost for good because it asked for a pause without end.
#[test]
fn length_of_a_pause_is_bounded() {
    let mut harness = harness("host-1", &["one"]);
    let id = harness.arrive(relay_fake::request("/live/1"));
    turn_away(&mut harness, id, time::Duration::MAX);
    let waited = time_until_sent_to(&mut harness, "one");
    assert!(waited >= relay_fake::millis(60_000), "{waited:?}");
    assert!(waited <= relay_fake::millis(61_000), "{waited:?}");
}

/// Pattern: 30 hosts are turned away at the same moment. Guards against hosts that all come back at one moment, and against
/// hosts that send all their requests at once then.
#[test]
fn hosts_come_back_spread_and_with_one_request() {
    let mut ends = collections::BTreeSet::<time::Duration>::new();
    for index in 0..30 {
        let mut harness = harness(&format!("host-{index}"), &["one"]);
        let id = harness.arrive(relay_fake::request("/live/1"));
        turn_away(&mut harness, id, relay_fake::millis(2_000));
        let waited = time_until_sent_to(&mut harness, "one");
        assert!(waited >= relay_fake::millis(2_000));
        ends.insert(waited);
        let ids = [(); 3].map(|()| harness.arrive(relay_fake::request("/live/1")));
        let sent = ids.iter().filter(|id| harness.is_sent(**id)).count();
        assert_eq!(sent, 1, "the first request shows whether others may follow");
        let first = ids.iter().find(|id| harness.is_sent(**id));
        let first = *first.expect("a request");
        let attempt = harness.begin_stream(first);
        harness.feed(relay::Event::StreamProgress(first, attempt, Some(1)));
        harness.advance(relay_fake::millis(25));
        assert!(ids.iter().all(|id| harness.last_command(*id).is_some()));
    }
    assert!(ends.len() >= 10, "{ends:?}");
}

/// Guards against requests that wait until their callers are gone because all upstreams that hold their model have asked
/// for a pause, and against refusals of those that can wait.
#[test]
fn request_is_refused_at_once_when_all_upstreams_pause_for_longer() {
    let mut harness = harness("host-1", &["one", "two"]);
    let turn_all_away = |harness: &mut relay_fake::Harness, pauses: [u64; 2]| {
        let ids = [(); 8].map(|()| harness.arrive(relay_fake::request("/live/1")));
        for (upstream, millis) in ["one", "two"].into_iter().zip(pauses) {
            let at = ids
                .iter()
                .find(|id| harness.is_sent(**id) && harness.upstream(**id) == upstream);
            turn_away(harness, *at.expect("a request"), relay_fake::millis(millis));
        }
        for id in ids {
            harness.feed(relay::Event::CallerDisconnected(id));
        }
    };
    turn_all_away(&mut harness, [300, 400]);
    let waiting = harness.arrive(relay_fake::request("/live/1"));
    assert!(harness.last_command(waiting).is_none());
    harness.advance(relay_fake::millis(1_000));
    assert!(harness.is_sent(waiting));
    harness.feed(relay::Event::CallerDisconnected(waiting));
    harness.advance(relay_fake::millis(1_000));

    let mut harness = self::harness("host-1", &["one", "two"]);
    turn_all_away(&mut harness, [30_000, 20_000]);
    let refused = harness.arrive(relay_fake::request("/live/1"));
    let refusal = harness.refusal(refused);
    assert_eq!(refusal.status(), 503);
    let retry_after = refusal.retry_after.expect("a time");
    assert!(retry_after >= relay_fake::millis(20_000), "{retry_after:?}");
    assert!(retry_after <= relay_fake::millis(20_500), "{retry_after:?}");
}

/// Guards against a host that forgets a pause when the entry of the upstream lapses and comes back, and against a later
/// process that has to keep to the pause of an earlier one.
#[yare::parameterized(
    same_process = { 1, true },
    later_process = { 2, false },
)]
fn pause_outlives_the_entry_of_its_process(started: u64, is_kept: bool) {
    let entry = |started| relay::Registration {
        started,
        ..relay_fake::registration("one", "models", &["small"])
    };
    let mut harness = harness("host-1", &[]);
    harness.register(entry(1));
    let id = harness.arrive(relay_fake::request("/live/1"));
    turn_away(&mut harness, id, relay_fake::millis(10_000));
    harness.feed(relay::Event::CallerDisconnected(id));
    let removed = relay_fake::registration("one", "models", &[]).id;
    harness.feed(relay::Event::UpstreamRemoved(removed));
    harness.advance(relay_fake::millis(2_000));
    harness.register(entry(started));
    let waited = time_until_sent_to(&mut harness, "one");
    assert_eq!(waited >= relay_fake::millis(8_000), is_kept, "{waited:?}");
}
