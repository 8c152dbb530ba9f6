//! Responses that have begun and whose upstreams are silent, or take no requests, for a while.

mod cell;
mod config;
mod scenario;
mod upstream;
mod world;

use std::time;

use carawaycleat_core::relay;

use crate::relay_crash;
use crate::relay_fake;

const fn millis(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

const fn responding(status: u16, not_run: bool) -> Option<upstream::Behavior> {
    Some(upstream::Behavior::Responding { status, not_run })
}

/// The behaviors of the second upstream.
const SECONDS: [Option<upstream::Behavior>; 12] = [
    None,
    Some(upstream::Behavior::Unaccepting(millis(250))),
    Some(upstream::Behavior::Unaccepting(millis(350))),
    Some(upstream::Behavior::Refusing),
    Some(upstream::Behavior::Slow(millis(1_000))),
    responding(503, true),
    responding(421, true),
    responding(500, false),
    Some(upstream::Behavior::Closing),
    Some(upstream::Behavior::Leaving),
    Some(upstream::Behavior::Unregistered(millis(1_000))),
    Some(upstream::Behavior::Slow(millis(3_000))),
];

/// Guards against streams that are cut, or go on at two upstreams, because their upstream was silent for a time, although it
/// goes on.
#[yare::parameterized(
    no_second = { 0 },
    unaccepting_250 = { 1 },
    unaccepting_350 = { 2 },
    refusing = { 3 },
    slow = { 4 },
    full = { 5 },
    misdirected = { 6 },
    error = { 7 },
    closing = { 8 },
    leaving = { 9 },
    unregistered = { 10 },
    slower = { 11 },
)]
fn stream_goes_on_after_silence(second: usize) {
    let received = [cell::Received::Head, cell::Received::Events];
    cell::play_all(
        received
            .into_iter()
            .flat_map(|r| cell::cells(SECONDS[second], r, true)),
    );
}

/// Guards against requests that run too often, or are said not to have run, because their upstream was silent, and against
/// streams that may not be repeated and are cut although their upstream goes on.
#[yare::parameterized(
    nothing_received = { cell::Received::Nothing, true },
    nothing_received_once = { cell::Received::Nothing, false },
    head_received_once = { cell::Received::Head, false },
    events_received_once = { cell::Received::Events, false },
)]
fn silent_request_keeps_its_promises(received: cell::Received, is_repeatable: bool) {
    cell::play_all(
        SECONDS
            .into_iter()
            .flat_map(|second| cell::cells(second, received, is_repeatable)),
    );
}

/// Guards against streams that are cut because the host itself stood still while their upstream was silent.
#[yare::parameterized(
    half_a_second = { 500, false },
    half_a_second_and_tick = { 500, true },
    a_second = { 1_000, false },
    a_second_and_tick = { 1_000, true },
    longer = { 1_500, false },
    longer_and_tick = { 1_500, true },
)]
fn stream_goes_on_after_late_host(late_ms: u64, tick_first: bool) {
    let requests = [
        (cell::Received::Nothing, true),
        (cell::Received::Events, true),
        (cell::Received::Events, false),
    ];
    let cells = requests.into_iter().flat_map(|(received, is_repeatable)| {
        let seconds = SECONDS.into_iter();
        seconds.flat_map(move |second| cell::cells(second, received, is_repeatable))
    });
    let announced = cells.filter(|cell| cell.announced_ms == Some(3_100));
    let late = |cell: cell::Cell| {
        [100, 650, 950].map(|after_ms| cell::Cell {
            late: Some((after_ms, late_ms, tick_first)),
            ..cell
        })
    };
    cell::play_all(announced.flat_map(late));
}

/// Guards against a take-up that is refused because the upstreams of its model refuse connections for a second, although they
/// come back within its time limit.
#[yare::parameterized(
    no_load_announced = { None },
    load_announced = { Some(3_100) },
)]
fn take_up_waits_for_its_upstreams(announced_ms: Option<u64>) {
    let request = relay_fake::request("/live/1");
    let mut world = scenario::begun(relay::Options::default(), &["one", "two"], request.clone());
    world.announced_ms = announced_ms;
    world.break_off(upstream::Behavior::Refusing, millis(1_000));
    world.step();
    let resumption = relay::Resumption {
        stream: Some(request.request_id.clone()),
    };
    let take_up = relay::Request {
        request_id: "take-up".to_owned(),
        resumption: Some(resumption),
        ..request
    };
    world.arrive_next(take_up, 10);
    world.assert_goes_on();
}

/// Guards against a stream that is cut because one upstream was full several times in a row.
#[yare::parameterized(
    one_upstream = { &["one"] },
    two_upstreams = { &["one", "two"] },
)]
fn stream_goes_on_when_its_upstreams_were_full(ids: &[&'static str]) {
    let request = relay_fake::request("/live/1");
    let mut world = scenario::begun(relay::Options::default(), ids, request);
    let full = upstream::Behavior::Responding {
        status: 503,
        not_run: true,
    };
    world.break_off(full, millis(600));
    world.assert_goes_on();
}

/// Guards against a stream that is cut because the retry budget is empty for three seconds.
#[test]
fn stream_waits_for_the_retry_budget() {
    let options = relay::Options {
        retry_percent: 0,
        retry_slack: 1,
        ..relay::Options::default()
    };
    let request = relay_fake::request("/live/1");
    let mut world = scenario::begun(options, &["one", "two"], request.clone());
    world.break_off(upstream::Behavior::Sound, millis(0));
    world.assert_goes_on();
    let spent = world.harness.now;
    assert_eq!(world.harness.reducer.retries_left(spent), Some(0));
    // The stream breaks off 0.3 s after its request has arrived.
    let is_empty = |world: &world::World| {
        let later = world.harness.now + millis(3_300);
        world.harness.reducer.retries_left(later) == Some(0)
    };
    while is_empty(&world) {
        world.step();
    }
    world.arrive_next(request, 0);
    world.run_to_event(10);
    world.break_off(upstream::Behavior::Sound, millis(0));
    world.assert_goes_on();
}

/// Guards against a stream that is cut after some events because a part of its prompt is quarantined meanwhile.
#[yare::parameterized(
    broken_off = { true },
    silent = { false },
)]
fn stream_goes_on_when_its_prompt_is_quarantined(breaks_off: bool) {
    let request = relay::Request {
        prompt: vec![relay_fake::name("fatal")],
        ..relay_fake::request("/live/1")
    };
    let mut world = scenario::begun(relay::Options::default(), &["one", "two"], request.clone());
    for entry in &mut world.upstreams {
        entry.gap = millis(100);
    }
    // Progress within the last 2 s shows that the prompt is harmless.
    world.run_to_event(32);
    relay_crash::report_crashes_of_other_hosts(&mut world.harness);
    let other = world.harness.arrive(request);
    let refusal = world.harness.refusal(other);
    assert_eq!(refusal.reason, relay::Reason::Quarantined);
    if breaks_off {
        world.break_off(upstream::Behavior::Sound, millis(0));
    } else {
        let now = world.harness.now;
        world.upstreams[0].silence = Some((now, now + millis(1_000)));
        world.upstreams[1].behavior = (upstream::Behavior::Unaccepting(millis(350)), None);
    }
    world.assert_goes_on();
}
