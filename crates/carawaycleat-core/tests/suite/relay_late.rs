//! Hosts that run late: what has arrived meanwhile is read after the timers have expired.

use carawaycleat_core::relay;

use crate::relay_fake;

fn harness() -> relay_fake::Harness {
    let mut harness = relay_fake::Harness::new();
    for id in ["one", "two"] {
        harness.register(relay_fake::registration(id, "models", &["small"]));
        harness.register(relay_fake::registration(
            &format!("plain-{id}"),
            "plain",
            &[],
        ));
    }
    harness.advance(relay_fake::millis(100));
    harness
}

/// Lets the host run late by `late_ms`, so that it sees a tick before the bytes that have arrived.
fn run_late(harness: &mut relay_fake::Harness, late_ms: u64) {
    harness.now = harness.now + relay_fake::millis(late_ms);
    harness.feed(relay::Event::Tick);
}

/// Guards against requests that are sent again because the host did not read for a while, and upstreams that then get no
/// requests.
#[yare::parameterized(
    by_the_stall_timeout = { 650 },
    by_a_second = { 1_000 },
    twice = { 500 },
)]
fn time_in_which_the_host_did_not_read_is_no_silence(late_ms: u64) {
    let mut harness = harness();
    let stream = harness.arrive(relay_fake::request("/live/1"));
    let attempt = harness.begin_stream(stream);
    harness.feed(relay::Event::StreamProgress(stream, attempt, Some(2)));
    let read = harness.arrive(relay_fake::request("/read/1"));
    run_late(&mut harness, late_ms);
    run_late(&mut harness, late_ms);
    harness.advance(relay_fake::millis(100));
    for id in [stream, read] {
        assert_eq!(harness.commands[&id].iter().filter(is_send).count(), 1);
    }
    assert!(
        harness
            .reducer
            .report(harness.now, true)
            .suspects
            .is_empty()
    );
    harness.feed(relay::Event::StreamProgress(stream, attempt, Some(3)));
    harness.feed(relay::Event::StreamEnded(stream, attempt));
    harness.respond(read, 200, false);
    let outcomes: Vec<_> = harness.summaries.iter().map(|s| s.outcome).collect();
    assert_eq!(outcomes, [relay::Outcome::Completed; 2]);
}

fn is_send(command: &&relay::Command) -> bool {
    matches!(command, relay::Command::Send(_))
}

/// Guards against an upstream that is not given up although the host runs late all the time.
#[test]
fn silence_is_noticed_by_a_host_that_is_always_late() {
    let mut harness = harness();
    let id = harness.arrive(relay_fake::request("/live/1"));
    for _ in 0..8 {
        run_late(&mut harness, 150);
    }
    assert_eq!(harness.dispatch(id).attempt, 2);
}

/// Guards against requests that are held past their deadline because the host ran late. One with an attempt in progress is
/// refused as soon as what has arrived has been handled.
#[yare::parameterized(
    sent = { true },
    waiting = { false },
)]
fn deadlines_hold_at_a_late_host(is_sent: bool) {
    let mut harness = harness();
    let mut ids: Vec<_> = (0..9)
        .map(|_| harness.arrive(relay_fake::request("/read/1")))
        .collect();
    let id = if is_sent { ids[0] } else { ids.remove(8) };
    assert_eq!(harness.is_sent(id), is_sent);
    run_late(&mut harness, 4_000);
    assert_eq!(harness.is_sent(id), is_sent);
    assert!(harness.reducer.has_overdue_requests());
    harness.feed(relay::Event::LimitsDue);
    assert_eq!(harness.refusal(id).reason, relay::Reason::Timeout);
}

/// What has arrived from an upstream when the host notices that the time for a request is over.
#[derive(Clone, Copy, Debug)]
enum Unread {
    Response,
    WholeStream,
    StreamEnd,
    Rejection,
}

/// Guards against a response that is refused although it arrived in time: the host sees the time limit first.
#[yare::parameterized(
    booking = { "/book/1", Unread::Response, 50 },
    read = { "/read/1", Unread::Response, 50 },
    booking_at_a_stopped_host = { "/book/1", Unread::Response, 700 },
    stream = { "/live/1", Unread::WholeStream, 50 },
    stream_at_a_stopped_host = { "/live/1", Unread::WholeStream, 700 },
    end_of_stream = { "/live/1", Unread::StreamEnd, 50 },
    rejection = { "/book/1", Unread::Rejection, 50 },
)]
fn what_arrived_before_the_limit_was_noticed_counts(path: &str, unread: Unread, late_ms: u64) {
    let mut harness = harness();
    let mut request = relay_fake::request(path);
    request.timeout = Some(relay_fake::millis(1_000));
    let id = harness.arrive(request);
    let attempt = harness.dispatch(id).attempt;
    if matches!(unread, Unread::StreamEnd) {
        harness.begin_stream(id);
        harness.feed(relay::Event::StreamProgress(id, attempt, Some(1)));
    }
    // Not long enough for a silent upstream.
    for _ in 0..9 {
        harness.advance(relay_fake::millis(100));
        let path = path.replace('1', "2");
        let other = harness.arrive(relay_fake::request(&path));
        if path.starts_with("/live") {
            let attempt = harness.begin_stream(other);
            harness.feed(relay::Event::StreamProgress(other, attempt, Some(1)));
            harness.feed(relay::Event::StreamEnded(other, attempt));
        } else {
            harness.respond(other, 200, false);
        }
    }
    run_late(&mut harness, 100 + late_ms);
    match unread {
        Unread::Response => harness.respond(id, 200, false),
        Unread::Rejection => harness.respond(id, 503, true),
        Unread::WholeStream | Unread::StreamEnd => {
            if matches!(unread, Unread::WholeStream) {
                harness.begin_stream(id);
            }
            harness.feed(relay::Event::StreamProgress(id, attempt, Some(2)));
            harness.feed(relay::Event::StreamEnded(id, attempt));
        }
    }
    harness.feed(relay::Event::LimitsDue);
    if matches!(unread, Unread::Rejection) {
        assert_eq!(harness.refusal(id).status(), 503);
        assert!(!harness.refusal(id).may_have_run);
    } else {
        assert!(matches!(
            harness.last_command(id),
            Some(relay::Command::Deliver)
        ));
    }
}

/// Guards against a response that arrived in time and is refused because the host stops.
#[test]
fn what_arrived_before_the_end_of_a_stop_counts() {
    let mut harness = harness();
    let id = harness.arrive(relay_fake::request("/book/1"));
    harness.feed(relay::Event::Stopping(
        harness.now + relay_fake::millis(300),
    ));
    run_late(&mut harness, 400);
    harness.respond(id, 200, false);
    assert!(matches!(
        harness.last_command(id),
        Some(relay::Command::Deliver)
    ));
}

/// Guards against a refusal that arrives after its caller has left, and against attempts that are ended early without need.
#[yare::parameterized(
    of_the_caller = { 1_000, 0, 1_000 - 40 },
    long_one_of_the_caller = { 3_990, 0, 3_990 - 40 },
    of_the_route = { 12_000, 0, 4_000 },
    slightly_longer_than_that_of_the_route = { 4_010, 0, 4_000 - 30 },
    very_short = { 200, 0, 200 - 25 },
    of_the_caller_at_a_late_host = { 2_000, 100, 2_000 - 140 },
    of_the_route_at_a_late_host = { 12_000, 100, 4_000 - 100 },
    of_the_caller_at_a_very_late_host = { 3_000, 400, 3_000 - 190 },
)]
fn attempt_ends_before_the_caller_leaves(timeout_ms: u64, delay_ms: u64, end_ms: u64) {
    let mut harness = harness();
    for _ in 0..50 {
        run_late(&mut harness, 25 + delay_ms);
    }
    let start = harness.now;
    harness.confirm();
    let mut request = relay_fake::request("/book/1");
    request.timeout = Some(relay_fake::millis(timeout_ms));
    let id = harness.arrive(request);
    let remaining = u64::try_from(harness.dispatch(id).remaining.as_millis()).expect("short");
    assert!(remaining.abs_diff(end_ms) <= 1, "{remaining} ms");
    while harness.is_sent(id) {
        run_late(&mut harness, 25 + delay_ms);
        harness.feed(relay::Event::LimitsDue);
    }
    let elapsed = harness.now.since(start);
    assert!(elapsed >= relay_fake::millis(end_ms - 1), "{elapsed:?}");
    let latest = relay_fake::millis(end_ms + 25 + delay_ms);
    assert!(elapsed <= latest, "{elapsed:?}");
}

/// Guards against a stream that is cut before its caller's timeout, although a cut tells the caller nothing, and against one
/// without a response that ends without a refusal.
#[yare::parameterized(
    begun = { true, 1_000 },
    not_begun = { false, 960 },
)]
fn begun_stream_may_go_on_until_the_deadline(has_begun: bool, end_ms: u64) {
    let mut harness = harness();
    let start = harness.now;
    let mut request = relay_fake::request("/batch/1");
    request.model = Some(relay_fake::name("small"));
    request.timeout = Some(relay_fake::millis(1_000));
    let id = harness.arrive(request);
    assert_eq!(harness.dispatch(id).remaining, relay_fake::millis(1_000));
    if has_begun {
        harness.begin_stream(id);
    }
    let is_refused = |harness: &relay_fake::Harness| {
        matches!(harness.last_command(id), Some(relay::Command::Refuse(_)))
    };
    while !is_refused(&harness) {
        harness.advance(relay_fake::millis(25));
    }
    assert_eq!(harness.refusal(id).reason, relay::Reason::Timeout);
    let elapsed = harness.now.since(start);
    assert!(elapsed >= relay_fake::millis(end_ms), "{elapsed:?}");
    let latest = relay_fake::millis(end_ms + 25);
    assert!(elapsed <= latest, "{elapsed:?}");
}

/// How an upstream ends an attempt.
#[derive(Clone, Copy, Debug)]
enum End {
    BreakOff,
    BreakOffAfterEvent,
    TimeoutStatus,
}

/// Guards against an upstream that is ejected, or searched for a crash, because it ended attempts when their time was over, and
/// against one that is not because its attempts ended slightly before.
#[yare::parameterized(
    booking = { "/book/1", End::BreakOff, 1_000, true },
    stream = { "/live/1", End::BreakOff, 1_000, true },
    stream_with_an_event = { "/live/1", End::BreakOffAfterEvent, 990, true },
    status = { "/book/1", End::TimeoutStatus, 1_000, true },
    read_with_status = { "/read/1", End::TimeoutStatus, 990, true },
    booking_before_the_limit = { "/book/1", End::BreakOff, 900, false },
    stream_before_the_limit = { "/live/1", End::BreakOff, 900, false },
)]
fn upstream_that_keeps_to_a_time_limit_is_sound(path: &str, end: End, after_ms: u64, sound: bool) {
    let mut harness = relay_fake::Harness::new();
    for (id, service) in [("one", "models"), ("plain-one", "plain")] {
        harness.register(relay_fake::registration(id, service, &["small"]));
    }
    let start = harness.now;
    let requests: Vec<_> = (0..3)
        .map(|_| {
            let mut request = relay_fake::request(path);
            request.timeout = Some(relay_fake::millis(1_000));
            request.prompt = vec![relay_fake::name("part")];
            harness.arrive(request)
        })
        .collect();
    harness.now = start + relay_fake::millis(after_ms);
    for id in &requests {
        let attempt = harness.dispatch(*id).attempt;
        match end {
            End::BreakOff => harness.fail_attempt(*id, attempt, true),
            End::BreakOffAfterEvent => {
                harness.begin_stream(*id);
                harness.feed(relay::Event::StreamProgress(*id, attempt, Some(1)));
                harness.fail_attempt(*id, attempt, true);
            }
            End::TimeoutStatus => harness.respond(*id, 504, false),
        }
    }
    harness.feed(relay::Event::Tick);
    assert_eq!(harness.probes.is_empty(), sound);
    let report = harness.reducer.report(harness.now, true);
    assert_eq!(report.suspects.is_empty(), sound);
    if sound && !matches!(end, End::TimeoutStatus) {
        assert_eq!(harness.refusal(requests[0]).reason, relay::Reason::Timeout);
    }
}

/// Guards against crashes that are never searched for because the requests that cause them have short time limits.
#[yare::parameterized(
    very_short = { 20, 2 },
    short = { 60, 20 },
)]
fn crash_well_before_a_short_limit_is_none_of_the_limit(timeout_ms: u64, after_ms: u64) {
    let mut harness = relay_fake::Harness::new();
    harness.register(relay_fake::registration("one", "models", &["small"]));
    let mut request = relay_fake::request("/live/1");
    request.timeout = Some(relay_fake::millis(timeout_ms));
    request.prompt = vec![relay_fake::name("part")];
    let id = harness.arrive(request);
    let attempt = harness.dispatch(id).attempt;
    harness.now = harness.now + relay_fake::millis(after_ms);
    harness.fail_attempt(id, attempt, true);
    assert_eq!(harness.probes.len(), 1);
}

/// Guards against a take-up that is refused although the records that it waits for had arrived.
#[test]
fn records_that_arrived_meanwhile_are_read_before_a_take_up_is_refused() {
    let mut harness = harness();
    let mut request = relay_fake::request("/live/1");
    let stream = Some("stream".to_owned());
    request.resumption = Some(relay::Resumption { stream });
    let id = harness.arrive(request);
    run_late(&mut harness, 1_000);
    let origin = relay::Origin {
        service: relay_fake::name("models"),
        version: None,
    };
    let record = relay::StreamRecord {
        stream: relay::digest("stream"),
        origin,
    };
    harness.feed(relay::Event::StreamsRead(Some(vec![record])));
    assert!(harness.is_sent(id));
}

/// Guards against a stream that is sent again because its caller does not read, so that nothing is read from its upstream.
#[test]
fn upstream_of_a_caller_that_does_not_read_is_not_silent() {
    let mut harness = harness();
    let id = harness.arrive(relay_fake::request("/live/1"));
    let attempt = harness.begin_stream(id);
    harness.feed(relay::Event::StreamProgress(id, attempt, Some(2)));
    harness.feed(relay::Event::CallerBlocked(id));
    harness.advance(relay_fake::millis(1_500));
    harness.feed(relay::Event::StreamProgress(id, attempt, Some(3)));
    harness.advance(relay_fake::millis(500));
    assert_eq!(harness.commands[&id].iter().filter(is_send).count(), 1);
    harness.advance(relay_fake::millis(200));
    assert_eq!(harness.dispatch(id).attempt, 2, "it is silent now");
}
