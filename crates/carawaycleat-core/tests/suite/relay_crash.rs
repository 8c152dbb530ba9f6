//! Load patterns: requests, and parts of their prompts, that crash every upstream which begins a response.

use carawaycleat_core::quarantine;
use carawaycleat_core::relay;

use crate::relay_fake;

const FATAL_PROMPT: [&str; 2] = ["common", "fatal"];

fn request(prompt: &[&str]) -> relay::Request {
    let mut request = relay_fake::request("/live/1");
    request.prompt = prompt.iter().map(|part| relay_fake::name(part)).collect();
    request
}

/// Returns a host with upstreams that hold the model.
fn harness(upstreams: usize) -> relay_fake::Harness {
    let mut harness = relay_fake::Harness::new();
    for index in 0..upstreams {
        let id = format!("engine-{index}");
        harness.register(relay_fake::registration(&id, "models", &["small"]));
    }
    harness
}

/// Lets the response to a request begin and break off.
fn break_off(harness: &mut relay_fake::Harness, id: relay::Id) {
    let attempt = harness.begin_stream(id);
    harness.fail_attempt(id, attempt, true);
}

/// Responds to the last probe, and lets the host act on the result.
fn answer_probe(harness: &mut relay_fake::Harness, alive: bool) {
    let upstream = harness.probes.pop().expect("a probe");
    let probe = match alive {
        true => relay::Probe::Alive,
        false => relay::Probe::Gone,
    };
    harness.feed(relay::Event::UpstreamProbed { upstream, probe });
    harness.advance(relay_fake::millis(25));
}

/// Lets other hosts report three crashes that the part explains.
pub(crate) fn report_crashes_of_other_hosts(harness: &mut relay_fake::Harness) {
    for upstream in ["engine-20", "engine-21", "engine-22"] {
        let crash = quarantine::Crash {
            upstream: relay_fake::name(upstream),
            started: 1,
            suspects: vec![quarantine::Suspect {
                parts: vec![relay_fake::name("fatal")],
                fingerprint: relay_fake::name(upstream),
                has_begun: true,
            }],
        };
        harness.feed(relay::Event::CrashReported(Box::new(crash)));
    }
}

/// Sends requests with the part until an arriving one is refused, and lets each crash its upstream. Returns the number
/// of upstreams that crashed.
fn crash_until_refused(harness: &mut relay_fake::Harness) -> usize {
    for crashes in 0..20 {
        let id = harness.arrive(request(&FATAL_PROMPT));
        if !harness.is_sent(id) {
            assert_eq!(harness.refusal(id).reason, relay::Reason::Quarantined);
            return crashes;
        }
        let upstream = relay_fake::name(&harness.upstream(id));
        break_off(harness, id);
        answer_probe(harness, false);
        harness.feed(relay::Event::UpstreamRemoved(upstream));
        harness.feed(relay::Event::CallerDisconnected(id));
    }
    panic!("requests with the part are never refused");
}

/// Pattern: new requests with the part go on arriving. Guards against upstreams that crash one after another, and
/// against refusals of sound requests that share the other parts of the prompt.
#[test]
fn requests_with_the_part_are_refused_after_three_crashes() {
    let mut harness = harness(8);
    let sound = harness.arrive(request(&["common", "sound"]));
    let attempt = harness.begin_stream(sound);
    harness.feed(relay::Event::StreamProgress(sound, attempt, Some(1)));
    assert_eq!(crash_until_refused(&mut harness), 3);
    let refused = harness.arrive(request(&["other", "fatal", "more"]));
    let refusal = harness.refusal(refused);
    assert_eq!(refusal.status(), 503);
    assert!(refusal.retry_after > Some(relay_fake::millis(590_000)));
    let sound = harness.arrive(request(&["common", "sound"]));
    assert!(harness.is_sent(sound));
    assert_eq!(harness.crashes.len(), 3);
    let published = &harness.crashes[0].suspects;
    assert_eq!(published.len(), 1);
    assert_eq!(published[0].parts, [relay_fake::name("fatal")]);
    assert!(published[0].has_begun);
}

/// Pattern: a request whose response breaks off is retried. Guards against one request that crashes as many upstreams
/// as its route allows attempts.
#[test]
fn request_that_breaks_off_like_an_earlier_crash_is_not_retried() {
    let mut harness = harness(8);
    let first = harness.arrive(request(&FATAL_PROMPT));
    break_off(&mut harness, first);
    assert!(harness.is_sent(first), "one crash may be chance");
    answer_probe(&mut harness, false);
    break_off(&mut harness, first);
    let refusal = harness.refusal(first);
    assert_eq!(refusal.status(), 502);
    assert_eq!(refusal.reason, relay::Reason::CrashSuspected);
}

/// Pattern: connections are reset while upstreams run on. Guards against a quarantine of prompts whose responses broke
/// off for another reason than a crash.
#[test]
fn responses_of_running_upstreams_that_break_off_do_not_count() {
    let mut harness = harness(8);
    for _ in 0..6 {
        let id = harness.arrive(request(&FATAL_PROMPT));
        break_off(&mut harness, id);
        answer_probe(&mut harness, true);
        harness.feed(relay::Event::CallerDisconnected(id));
    }
    let id = harness.arrive(request(&FATAL_PROMPT));
    assert!(harness.is_sent(id));
    assert!(harness.crashes.is_empty());
}

/// Pattern: upstreams crash in the middle of many streams. Guards against probes and reports for streams that had made
/// progress, which show that their prompts did not cause the crash.
#[test]
fn streams_in_progress_are_not_suspected() {
    let mut harness = harness(8);
    let id = harness.arrive(request(&FATAL_PROMPT));
    let attempt = harness.begin_stream(id);
    harness.feed(relay::Event::StreamProgress(id, attempt, Some(1)));
    harness.fail_attempt(id, attempt, true);
    assert!(harness.is_sent(id));
    assert!(harness.probes.is_empty());
}

/// Pattern: each host sees a part of the crashes. Guards against hosts that learn of the part only from their own.
#[test]
fn crashes_that_other_hosts_observed_count() {
    let mut harness = harness(8);
    let running = harness.arrive(request(&FATAL_PROMPT));
    report_crashes_of_other_hosts(&mut harness);
    let refusal = harness.refusal(running);
    assert_eq!(refusal.reason, relay::Reason::Quarantined);
    assert_eq!(refusal.status(), 502, "it may have begun to run");
    let id = harness.arrive(request(&FATAL_PROMPT));
    assert_eq!(harness.refusal(id).status(), 503);
}

/// Pattern: requests with the part wait for a slot when it is recognized. Guards against waiting requests that crash
/// the upstream on which a slot becomes free.
#[test]
fn waiting_requests_with_the_part_are_refused() {
    let mut harness = harness(1);
    for _ in 0..4 {
        harness.arrive(request(&["common", "sound"]));
    }
    let waiting = harness.arrive(request(&FATAL_PROMPT));
    assert!(harness.last_command(waiting).is_none());
    report_crashes_of_other_hosts(&mut harness);
    let refusal = harness.refusal(waiting);
    assert_eq!(refusal.status(), 503);
    assert!(refusal.retry_after.is_some());
}

/// Pattern: an upstream crashes and starts again under the same identifier. Guards against counting its crashes as one,
/// and against a probe without a result that keeps later crashes of the upstream from being noticed.
#[test]
fn crashes_of_a_restarted_upstream_count_separately() {
    let mut harness = harness(1);
    for started in 2..5 {
        let id = harness.arrive(request(&FATAL_PROMPT));
        break_off(&mut harness, id);
        harness.feed(relay::Event::CallerDisconnected(id));
        let mut registration = relay_fake::registration("engine-0", "models", &["small"]);
        registration.started = started;
        harness.register(registration);
        harness.advance(relay_fake::millis(25));
    }
    let started: Vec<_> = harness.crashes.iter().map(|crash| crash.started).collect();
    assert_eq!(started, [1, 2, 3]);
    let id = harness.arrive(request(&FATAL_PROMPT));
    assert_eq!(harness.refusal(id).reason, relay::Reason::Quarantined);
}

/// Pattern: a probe is lost. Guards against an upstream that is never probed again.
#[test]
fn upstream_is_probed_again_after_a_lost_probe() {
    let mut harness = harness(1);
    let first = harness.arrive(request(&FATAL_PROMPT));
    break_off(&mut harness, first);
    harness.feed(relay::Event::CallerDisconnected(first));
    harness.probes.clear();
    harness.advance(relay_fake::millis(2_500));
    let second = harness.arrive(request(&FATAL_PROMPT));
    break_off(&mut harness, second);
    assert_eq!(harness.probes.len(), 1);
}

/// Pattern: upstreams crash in the middle of the first event. Guards against taking a part of an event for progress, after
/// which the part of the prompt would count as harmless.
#[test]
fn part_of_an_event_is_no_progress() {
    let mut harness = harness(8);
    for _ in 0..3 {
        let id = harness.arrive(request(&FATAL_PROMPT));
        let attempt = harness.begin_stream(id);
        harness.feed(relay::Event::StreamProgress(id, attempt, None));
        harness.fail_attempt(id, attempt, true);
        answer_probe(&mut harness, false);
        harness.feed(relay::Event::CallerDisconnected(id));
    }
    let id = harness.arrive(request(&FATAL_PROMPT));
    assert_eq!(harness.refusal(id).reason, relay::Reason::Quarantined);
}

/// Returns a request that comes again and again, with parts of the prompt that sound requests share.
fn copy(path: &str) -> relay::Request {
    let mut request = relay_fake::request(path);
    request.prompt = vec![relay_fake::name("common")];
    request.fingerprint = relay_fake::name("copied");
    request
}

/// Lets a sound request with the same part of the prompt make progress.
fn serve_sound_request(harness: &mut relay_fake::Harness) {
    let id = harness.arrive(request(&["common"]));
    let attempt = harness.begin_stream(id);
    harness.feed(relay::Event::StreamProgress(id, attempt, Some(1)));
    harness.feed(relay::Event::StreamEnded(id, attempt));
}

/// Lets the attempt in progress break off because its upstream crashes.
fn crash_upstream(harness: &mut relay_fake::Harness, id: relay::Id, has_begun: bool) {
    let upstream = relay_fake::name(&harness.upstream(id));
    let attempt = if has_begun {
        harness.begin_stream(id)
    } else {
        harness.dispatch(id).attempt
    };
    harness.fail_attempt(id, attempt, true);
    answer_probe(harness, false);
    harness.feed(relay::Event::UpstreamRemoved(upstream));
}

/// Pattern: copies of one request arrive between sound ones that share its prompt. Guards against copies that crash one
/// upstream after another, against a retry after the second crash, and against refusals of the sound requests.
#[test]
fn copies_of_a_request_are_refused_after_two_crashes() {
    let mut harness = harness(8);
    let first = harness.arrive(copy("/live/1"));
    crash_upstream(&mut harness, first, true);
    serve_sound_request(&mut harness);
    assert!(harness.is_sent(first), "one crash may be chance");
    crash_upstream(&mut harness, first, true);
    assert_eq!(harness.refusal(first).status(), 502);
    for _ in 0..5 {
        let copy = harness.arrive(copy("/live/1"));
        let refusal = harness.refusal(copy);
        assert_eq!(refusal.reason, relay::Reason::Quarantined);
        assert_eq!(refusal.status(), 503);
        serve_sound_request(&mut harness);
    }
}

/// Pattern: copies of a request to a service without models. Guards against copies that crash its upstreams, which have no
/// prompt and whose responses do not begin before they are complete.
#[test]
fn copies_of_a_plain_request_are_refused_after_three_crashes() {
    let mut harness = relay_fake::Harness::new();
    for index in 0..8 {
        let id = format!("service-{index}");
        harness.register(relay_fake::registration(&id, "plain", &[]));
    }
    let mut crashes = 0;
    for _ in 0..5 {
        let id = harness.arrive(copy("/read/1"));
        while harness.is_sent(id) {
            crash_upstream(&mut harness, id, false);
            crashes += 1;
        }
    }
    assert_eq!(crashes, 3);
    let other = harness.arrive(relay_fake::request("/read/1"));
    assert!(harness.is_sent(other));
}

/// Pattern: the same look-up is sent all the time while upstreams crash for other reasons. Guards against a quarantine of
/// requests that are served.
#[test]
fn request_that_is_served_elsewhere_is_not_quarantined() {
    let mut harness = relay_fake::Harness::new();
    for index in 0..8 {
        let id = format!("service-{index}");
        harness.register(relay_fake::registration(&id, "plain", &[]));
    }
    for _ in 0..4 {
        let cut = harness.arrive(copy("/read/1"));
        let served = harness.arrive(copy("/read/1"));
        let attempt = harness.dispatch(cut).attempt;
        harness.fail_attempt(cut, attempt, true);
        harness.respond(served, 200, false);
        if let Some(upstream) = harness.probes.pop() {
            harness.feed(relay::Event::UpstreamProbed {
                upstream,
                probe: relay::Probe::Gone,
            });
        }
        harness.advance(relay_fake::millis(25));
        harness.feed(relay::Event::CallerDisconnected(cut));
    }
    let id = harness.arrive(copy("/read/1"));
    assert!(harness.is_sent(id));
}

/// Responds to no probe of an upstream for `span`.
fn ignore_probes(harness: &mut relay_fake::Harness, span: std::time::Duration) -> usize {
    let end = harness.now + span;
    let mut ignored = 0;
    while harness.now < end {
        for upstream in std::mem::take(&mut harness.probes) {
            ignored += 1;
            let probe = relay::Probe::Silent;
            harness.feed(relay::Event::UpstreamProbed { upstream, probe });
        }
        harness.advance(relay_fake::millis(25));
    }
    ignored
}

/// How it becomes known that an upstream that had gone dark has crashed.
#[derive(Clone, Copy, Debug)]
enum Proof {
    Start,
    Removal,
    Refusal,
}

/// Pattern: an upstream crashes and does not respond at all, until its process starts again or its entry expires. Guards
/// against a crash that is forgotten because no probe shows it.
#[yare::parameterized(
    start = { Proof::Start },
    removal = { Proof::Removal },
    refusal = { Proof::Refusal },
)]
fn crash_of_a_dark_upstream_is_confirmed_later(proof: Proof) {
    let mut harness = harness(1);
    let id = harness.arrive(request(&FATAL_PROMPT));
    break_off(&mut harness, id);
    harness.feed(relay::Event::CallerDisconnected(id));
    let probes = ignore_probes(&mut harness, relay_fake::millis(4_000));
    assert!((5..=20).contains(&probes), "{probes}");
    assert!(harness.crashes.is_empty());
    match proof {
        Proof::Start => {
            let mut registration = relay_fake::registration("engine-0", "models", &["small"]);
            registration.started = 2;
            harness.register(registration);
        }
        Proof::Removal => {
            harness.feed(relay::Event::UpstreamRemoved(relay_fake::name("engine-0")));
        }
        Proof::Refusal => {
            let id = harness.arrive(request(&["other"]));
            let attempt = harness.dispatch(id).attempt;
            harness.fail_attempt(id, attempt, false);
        }
    }
    harness.advance(relay_fake::millis(25));
    assert_eq!(harness.crashes.len(), 1);
    assert_eq!(harness.crashes[0].started, 1);
    assert_eq!(
        harness.crashes[0].suspects[0].parts,
        FATAL_PROMPT.map(relay_fake::name)
    );
}

/// Pattern: requests with the part crash upstreams, which then do not respond at all. Guards against more crashes than the
/// budget allows before the first of them is proved.
#[test]
fn dark_crashes_count_before_they_are_confirmed() {
    let mut harness = harness(8);
    let mut crashes = 0;
    for _ in 0..6 {
        let id = harness.arrive(request(&FATAL_PROMPT));
        if !harness.is_sent(id) {
            assert_eq!(harness.refusal(id).reason, relay::Reason::Quarantined);
            continue;
        }
        crashes += 1;
        break_off(&mut harness, id);
        harness.feed(relay::Event::CallerDisconnected(id));
        ignore_probes(&mut harness, relay_fake::millis(50));
    }
    assert_eq!(crashes, 3);
}

/// Pattern: connections are reset by upstreams that are then silent for a second and go on. Guards against a quarantine that
/// outlasts the silence, and against crashes that are reported to other hosts.
#[test]
fn silent_upstreams_that_go_on_have_not_crashed() {
    let mut harness = harness(8);
    for _ in 0..3 {
        let id = harness.arrive(request(&FATAL_PROMPT));
        break_off(&mut harness, id);
        harness.feed(relay::Event::CallerDisconnected(id));
    }
    ignore_probes(&mut harness, relay_fake::millis(1_000));
    harness.advance(relay_fake::millis(300));
    for upstream in std::mem::take(&mut harness.probes) {
        let probe = relay::Probe::Alive;
        harness.feed(relay::Event::UpstreamProbed { upstream, probe });
    }
    harness.advance(relay_fake::millis(25));
    assert!(harness.crashes.is_empty());
    let id = harness.arrive(request(&FATAL_PROMPT));
    assert!(harness.is_sent(id));
}

/// Pattern: an upstream is silent for good, and nothing shows whether it crashed. Guards against a suspicion without end.
#[test]
fn crash_that_cannot_be_found_out_is_forgotten() {
    let mut harness = harness(1);
    let id = harness.arrive(request(&FATAL_PROMPT));
    break_off(&mut harness, id);
    harness.feed(relay::Event::CallerDisconnected(id));
    ignore_probes(&mut harness, relay_fake::millis(10_500));
    harness.feed(relay::Event::UpstreamRemoved(relay_fake::name("engine-0")));
    harness.advance(relay_fake::millis(25));
    assert!(harness.crashes.is_empty());
    assert!(harness.records.contains(&"crash_not_confirmed"));
}

/// Pattern: a request that broke off is served elsewhere while the upstream stays dark. Guards against a sound request that
/// is convicted because its progress lies back too far when the crash is proved.
#[test]
fn request_served_before_the_crash_is_proved_is_not_its_cause() {
    let mut harness = harness(2);
    let id = harness.arrive(request(&["common"]));
    let crashed = relay_fake::name(&harness.upstream(id));
    break_off(&mut harness, id);
    let attempt = harness.begin_stream(id);
    harness.feed(relay::Event::StreamProgress(id, attempt, Some(1)));
    harness.feed(relay::Event::StreamEnded(id, attempt));
    ignore_probes(&mut harness, relay_fake::millis(4_000));
    harness.feed(relay::Event::UpstreamRemoved(crashed));
    harness.advance(relay_fake::millis(25));
    assert!(harness.crashes.is_empty());
}
