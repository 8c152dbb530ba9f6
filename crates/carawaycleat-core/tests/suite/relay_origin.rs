//! Streams of services whose upstreams have several software versions.

use std::time;

use carawaycleat_core::relay;
use carawaycleat_core::revision;

use crate::relay_allowance;
use crate::relay_fake;

const OLD: &str = "v1";
const NEW: &str = "v1.1";

fn registration(id: &str, version: &str) -> relay::Registration {
    relay::Registration {
        version: Some(relay_fake::name(version)),
        ..relay_fake::registration(id, "models", &["small"])
    }
}

fn origin(version: &str) -> relay::Origin {
    relay::Origin {
        service: relay_fake::name("models"),
        version: Some(relay_fake::name(version)),
    }
}

/// Returns a host whose upstreams have these versions; each upstream is named after its version.
fn harness(versions: &[&str]) -> relay_fake::Harness {
    let mut harness = relay_fake::Harness::new();
    for version in versions {
        harness.register(registration(version, version));
    }
    harness
}

fn request(id: &str) -> relay::Request {
    relay::Request {
        request_id: id.to_owned(),
        ..relay_fake::request("/live/1")
    }
}

fn take_up(stream: Option<&str>) -> relay::Request {
    let resumption = relay::Resumption {
        stream: stream.map(str::to_owned),
    };
    relay::Request {
        resumption: Some(resumption),
        ..request("take-up")
    }
}

/// Begins the stream of the request `id` and returns the request with the attempt.
fn begin(harness: &mut relay_fake::Harness, id: &str) -> (relay::Id, u32) {
    let request = harness.arrive(request(id));
    let attempt = harness.begin_stream(request);
    harness.feed(relay::Event::StreamProgress(request, attempt, Some(3)));
    (request, attempt)
}

/// Begins a stream at the upstream of `version`, and lets its caller leave.
fn break_off(harness: &mut relay_fake::Harness, id: &str, version: &str) {
    let mut others = Vec::new();
    let request = loop {
        let drawn = harness.arrive(request(id));
        if harness.upstream(drawn) == version {
            break drawn;
        }
        others.push(drawn);
    };
    let attempt = harness.begin_stream(request);
    harness.feed(relay::Event::StreamProgress(request, attempt, Some(3)));
    for ended in others.into_iter().chain([request]) {
        harness.feed(relay::Event::CallerDisconnected(ended));
    }
}

fn remove(harness: &mut relay_fake::Harness, id: &str) {
    harness.feed(relay::Event::UpstreamRemoved(relay_fake::name(id)));
}

fn record(stream: &str, version: &str) -> relay::StreamRecord {
    relay::StreamRecord {
        stream: relay::digest(stream),
        origin: origin(version),
    }
}

fn assert_refused(harness: &relay_fake::Harness, id: relay::Id, reason: &str) {
    let refusal = harness.refusal(id);
    assert_eq!((refusal.status(), refusal.reason.as_str()), (503, reason));
}

/// Guards against a response that joins the events of two software versions after a retry.
#[test]
fn broken_stream_goes_on_at_its_version() {
    let mut harness = harness(&[OLD, NEW]);
    let (id, attempt) = begin(&mut harness, "first");
    let before = harness.upstream_of(id);
    harness.fail_attempt(id, attempt, true);
    harness.advance(relay_fake::millis(100));
    assert_eq!(harness.upstream(id), before);
}

/// Guards against a stalled stream that is replaced by one of another version.
#[test]
fn stalled_stream_stays_when_only_other_versions_are_left() {
    let mut harness = harness(&[OLD, NEW]);
    let (id, _) = begin(&mut harness, "first");
    harness.advance(relay_fake::millis(900));
    assert!(matches!(
        harness.last_command(id),
        Some(relay::Command::Deliver)
    ));
}

/// Guards against a retry that is bound to a version although its caller has received nothing of it.
#[test]
fn stream_without_an_event_is_retried_at_any_version() {
    let mut harness = harness(&[OLD, NEW]);
    let id = harness.arrive(request("first"));
    let before = harness.upstream(id);
    let attempt = harness.begin_stream(id);
    harness.fail_attempt(id, attempt, true);
    assert_ne!(harness.upstream(id), before);
    begin_again(&mut harness, id);
    harness.feed(relay::Event::CallerDisconnected(id));
    let again = harness.arrive(take_up(Some("first")));
    assert_ne!(harness.upstream(again), before);
}

fn begin_again(harness: &mut relay_fake::Harness, id: relay::Id) {
    let attempt = harness.begin_stream(id);
    harness.feed(relay::Event::StreamProgress(id, attempt, Some(0)));
}

/// Guards against a stream that waits, or goes on at another version, when no upstream of its version is left.
#[test]
fn stream_ends_when_its_version_is_gone() {
    let mut harness = harness(&[OLD, NEW]);
    let (id, attempt) = begin(&mut harness, "first");
    let upstream = harness.upstream_of(id);
    remove(&mut harness, &upstream);
    harness.fail_attempt(id, attempt, true);
    assert_eq!(harness.refusal(id).status(), 502);
}

/// Guards against a take-up that waits until its deadline for a version that has left.
#[test]
fn waiting_take_up_is_refused_when_its_version_leaves() {
    let mut harness = harness(&[OLD, NEW]);
    break_off(&mut harness, "first", OLD);
    let running: Vec<_> = (0..8)
        .map(|n| begin(&mut harness, &format!("{n}")))
        .collect();
    assert_eq!(running.len(), 8);
    let id = harness.arrive(take_up(Some("first")));
    harness.advance(relay_fake::millis(100));
    assert!(harness.last_command(id).is_none(), "the slots are in use");
    remove(&mut harness, OLD);
    harness.advance(relay_fake::millis(25));
    assert_refused(&harness, id, "no_upstream");
}

/// Guards against a take-up at the same host that goes on at another version.
#[yare::parameterized(old = { OLD }, new = { NEW })]
fn take_up_goes_on_at_the_version_that_began_the_stream(version: &str) {
    let mut harness = harness(&[OLD, NEW]);
    for n in 0..6 {
        let stream = format!("stream-{n}");
        break_off(&mut harness, &stream, version);
        let id = harness.arrive(take_up(Some(&stream)));
        assert_eq!(harness.upstream(id), version);
        harness.feed(relay::Event::CallerDisconnected(id));
    }
    assert_eq!(harness.stream_reads, 0);
}

/// Guards against a take-up at another host that goes on at another version.
#[yare::parameterized(old = { OLD }, new = { NEW })]
fn take_up_at_another_host_finds_the_record(version: &str) {
    let mut first = harness(&[OLD, NEW]);
    break_off(&mut first, "first", version);
    first.advance(relay_fake::millis(200));
    assert_eq!(first.stored_streams, [record("first", version)]);
    let mut other = harness(&[OLD, NEW]);
    let id = other.arrive(take_up(Some("first")));
    assert!(other.last_command(id).is_none());
    assert_eq!(other.stream_reads, 1);
    other.feed(relay::Event::StreamsRead(Some(first.stored_streams)));
    assert_eq!(other.upstream(id), version);
}

/// Guards against a take-up after a restart of all hosts that goes on at any version, or waits, when nothing is known of
/// its stream.
#[yare::parameterized(
    no_record = { Some("first"), Some(vec![record("other", OLD)]) },
    unreadable_store = { Some("first"), None },
    conflicting_records = { Some("first"), Some(vec![record("first", OLD), record("first", NEW)]) },
    unnamed_stream = { None, Some(vec![record("first", OLD)]) },
)]
fn take_up_of_an_unknown_stream_is_refused(
    stream: Option<&str>,
    records: Option<Vec<relay::StreamRecord>>,
) {
    let mut harness = harness(&[OLD, NEW]);
    let id = harness.arrive(take_up(stream));
    harness.feed(relay::Event::StreamsRead(records));
    assert_refused(&harness, id, "unknown_origin");
}

/// Guards against a take-up that waits for a store that does not respond.
#[test]
fn look_up_is_limited() {
    let mut harness = harness(&[OLD, NEW]);
    let id = harness.arrive(take_up(Some("first")));
    harness.advance(relay_fake::millis(300));
    assert!(harness.last_command(id).is_none());
    harness.advance(relay_fake::millis(150));
    assert_refused(&harness, id, "unknown_origin");
}

/// Guards against a read of the store for each take-up.
#[test]
fn look_ups_share_reads() {
    let mut harness = harness(&[OLD, NEW]);
    let ids: Vec<_> = (0..5)
        .map(|_| harness.arrive(take_up(Some("first"))))
        .collect();
    assert_eq!(harness.stream_reads, 1);
    let records = Some(vec![record("first", NEW)]);
    harness.feed(relay::Event::StreamsRead(records));
    // A read that was sent before a take-up arrived may lack its record, but shows the records that it has.
    for id in ids {
        assert_eq!(harness.upstream(id), NEW);
        harness.feed(relay::Event::CallerDisconnected(id));
    }
    assert_eq!(harness.stream_reads, 1);
}

/// Guards against a take-up that goes on at the new version because the entries of the old one were removed before a
/// restart of the host.
#[yare::parameterized(old = { OLD, false }, new = { NEW, true })]
fn version_that_left_before_a_restart_is_known(version: &str, is_sent: bool) {
    let mut harness = relay_fake::Harness::new();
    harness.feed(relay::Event::VersionsStored(vec![origin(OLD), origin(NEW)]));
    harness.register(registration(NEW, NEW));
    let id = harness.arrive(take_up(Some("first")));
    assert!(harness.last_command(id).is_none());
    let records = Some(vec![record("first", version)]);
    harness.feed(relay::Event::StreamsRead(records));
    if is_sent {
        assert_eq!(harness.upstream(id), NEW);
    } else {
        assert_refused(&harness, id, "no_upstream");
    }
}

/// Guards against a take-up that is refused, and against records that are written, where there is one version.
#[yare::parameterized(named = { Some("first") }, unnamed = { None })]
fn service_with_one_version_needs_no_records(stream: Option<&str>) {
    let mut harness = harness(&[OLD]);
    harness.register(registration("other", OLD));
    harness.feed(relay::Event::VersionsStored(vec![origin(OLD)]));
    begin(&mut harness, "running");
    let id = harness.arrive(take_up(stream));
    feed_read(&mut harness, &[OLD], Vec::new());
    assert!(harness.is_sent(id));
    harness.advance(relay_fake::millis(300));
    assert_eq!((harness.stream_reads, harness.stored_streams.len()), (1, 0));
}

/// Feeds what a host reads from the store for a take-up.
fn feed_read(
    harness: &mut relay_fake::Harness,
    versions: &[&str],
    records: Vec<relay::StreamRecord>,
) {
    let versions = versions.iter().map(|version| origin(version)).collect();
    harness.feed(relay::Event::VersionsStored(versions));
    harness.feed(relay::Event::StreamsRead(Some(records)));
}

/// Guards against a host that was out of step while upstreams of a new version joined, and that goes on with their streams
/// at the only version it knows of.
#[yare::parameterized(
    with_record = { vec![record("first", NEW)], "no_upstream" },
    without_record = { Vec::new(), "unknown_origin" },
)]
fn host_that_is_out_of_step_does_not_conclude_from_what_it_knew(
    records: Vec<relay::StreamRecord>,
    reason: &str,
) {
    let mut harness = harness(&[OLD]);
    harness.feed(relay::Event::VersionsStored(vec![origin(OLD)]));
    let id = harness.arrive(take_up(Some("first")));
    assert!(harness.last_command(id).is_none());
    feed_read(&mut harness, &[OLD, NEW], records);
    harness.advance(relay_fake::millis(25));
    assert_refused(&harness, id, reason);
}

/// Guards against streams that begin at a version of which the store has no record, so that a host that is out of step takes
/// them for streams of another version, and against waiting for such a record for ever.
#[yare::parameterized(recorded = { true }, never_recorded = { false })]
fn streams_begin_at_a_version_once_it_is_recorded(is_recorded: bool) {
    let mut harness = harness(&[OLD]);
    harness.feed(relay::Event::VersionsStored(vec![origin(OLD)]));
    harness.register(registration(NEW, NEW));
    let begins_at = |harness: &mut relay_fake::Harness, version: &str| {
        let ids: Vec<_> = (0..3)
            .map(|n| harness.arrive(request(&format!("{version}-{n}"))))
            .collect();
        let found = ids.iter().any(|id| harness.upstream(*id) == version);
        for id in ids {
            harness.feed(relay::Event::CallerDisconnected(id));
        }
        found
    };
    assert!(!begins_at(&mut harness, NEW));
    if is_recorded {
        harness.feed(relay::Event::VersionsStored(vec![origin(OLD), origin(NEW)]));
    } else {
        harness.advance(time::Duration::from_secs(3));
    }
    assert!(begins_at(&mut harness, NEW));
}

/// Guards against requests that are no streams and wait for a record of a version.
#[test]
fn other_requests_do_not_wait_for_a_record() {
    let mut harness = relay_fake::Harness::new();
    harness.feed(relay::Event::VersionsStored(vec![relay::Origin {
        service: relay_fake::name("plain"),
        version: Some(relay_fake::name(OLD)),
    }]));
    harness.register(relay::Registration {
        version: Some(relay_fake::name(NEW)),
        ..relay_fake::registration("one", "plain", &[])
    });
    let id = harness.arrive(relay_fake::request("/read/1"));
    assert!(harness.is_sent(id));
}

/// Guards against a version that counts as in service long after all of its streams have ended, or too short.
#[test]
fn version_is_forgotten_after_the_lifetime_of_streams() {
    let mut harness = harness(&[OLD, NEW]);
    remove(&mut harness, OLD);
    harness.advance(relay_fake::millis(4_000));
    let early = harness.arrive(take_up(Some("first")));
    assert!(harness.last_command(early).is_none());
    harness.advance(time::Duration::from_secs(30));
    let late = harness.arrive(take_up(Some("first")));
    feed_read(&mut harness, &[NEW], Vec::new());
    assert_eq!(harness.upstream(late), NEW);
}

/// Guards against streams of the first version that other hosts do not know when a second one appears.
#[test]
fn earlier_streams_are_stored_when_a_second_version_appears() {
    let mut harness = harness(&[OLD]);
    begin(&mut harness, "first");
    let (ended, attempt) = begin(&mut harness, "ended");
    harness.feed(relay::Event::StreamEnded(ended, attempt));
    harness.advance(relay_fake::millis(200));
    assert!(harness.stored_streams.is_empty());
    harness.register(registration(NEW, NEW));
    harness.advance(relay_fake::millis(400));
    assert_eq!(harness.stored_streams, [record("first", OLD)]);
}

/// Guards against a host that is killed with records which wait although none was written lately, and against a write for each
/// stream.
#[test]
fn first_record_is_written_at_once_and_further_ones_in_batches() {
    let mut harness = harness(&[OLD, NEW]);
    harness.advance(relay_fake::millis(1_050));
    let mut written = Vec::new();
    for stream in ["first", "second", "third", "fourth"] {
        break_off(&mut harness, stream, NEW);
        harness.advance(relay_fake::millis(25));
        written.push(harness.stored_streams.len());
    }
    harness.advance(relay_fake::millis(25));
    written.push(harness.stored_streams.len());
    assert_eq!(written, [1, 1, 1, 1, 4]);
}

/// Guards against records that are missing after the store was restored from an older copy.
#[test]
fn records_are_written_again_after_a_restoration() {
    let mut harness = harness(&[OLD, NEW]);
    let read = |era| relay::Event::StoreRead {
        era,
        required_version: None,
    };
    harness.feed(read(0));
    break_off(&mut harness, "first", NEW);
    harness.advance(relay_fake::millis(200));
    harness.feed(read(1));
    harness.advance(relay_fake::millis(200));
    let expected = [record("first", NEW), record("first", NEW)];
    assert_eq!(harness.stored_streams, expected);
}

/// Guards against a take-up that goes on at another version because the host has just started and the store has no record
/// of the versions yet.
#[test]
fn host_that_has_just_started_does_not_conclude_without_a_record() {
    let mut harness = harness(&[NEW]);
    let id = harness.arrive(take_up(Some("first")));
    harness.feed(relay::Event::StreamsRead(Some(vec![record("first", OLD)])));
    assert!(!harness.is_sent(id));
    let unnamed = harness.arrive(take_up(None));
    feed_read(&mut harness, &[], Vec::new());
    assert_refused(&harness, unnamed, "unknown_origin");
}

/// Guards against a host that trusts the versions in an older copy of the store, which may lack one.
#[test]
fn versions_of_a_restored_store_are_not_trusted_at_once() {
    let mut harness = harness(&[OLD]);
    harness.feed(relay::Event::VersionsStored(vec![origin(OLD)]));
    harness.feed(relay::Event::StoreRead {
        era: 1,
        required_version: Some(1),
    });
    harness.feed(relay::Event::ConfigStored {
        version: 1,
        revision: revision::Revision { era: 1, number: 9 },
    });
    let early = harness.arrive(take_up(Some("first")));
    harness.feed(relay::Event::StreamsRead(Some(Vec::new())));
    assert_refused(&harness, early, "unknown_origin");
    harness.advance(relay_fake::millis(5_100));
    let late = harness.arrive(take_up(Some("first")));
    feed_read(&mut harness, &[OLD], Vec::new());
    assert!(harness.is_sent(late));
}

/// What a host that starts reads of a restoration, and what follows.
#[derive(Clone, Copy, Debug)]
enum Reading {
    Era(u64),
    /// Other hosts have recorded that the versions are complete again in an era.
    Settled(u64),
    Time(u64),
}

fn feed_readings(harness: &mut relay_fake::Harness, readings: &[Reading]) {
    for reading in readings {
        match reading {
            Reading::Era(era) => {
                harness.feed(relay::Event::StoreRead {
                    era: *era,
                    required_version: Some(1),
                });
                harness.feed(relay::Event::ConfigStored {
                    version: 1,
                    revision: revision::Revision::new(*era, 9),
                });
            }
            Reading::Settled(era) => harness.feed(relay::Event::RestorationSettled(*era)),
            Reading::Time(span) => harness.advance(relay_fake::millis(*span)),
        }
    }
}

/// Guards against take-ups that a host refuses after each of its starts in a store that was restored long ago, and against a
/// host that takes the versions for complete before they are: without a record, with one of an earlier era, which is from the
/// copy, or by a restoration that it has not yet lived through.
#[yare::parameterized(
    never_restored = { &[Reading::Era(0)], true },
    recent = { &[Reading::Era(1)], false },
    settled_before = { &[Reading::Era(1), Reading::Settled(1)], true },
    settled_meanwhile = { &[Reading::Era(1), Reading::Time(1_000), Reading::Settled(1)], true },
    settled_in_the_copy = { &[Reading::Era(2), Reading::Settled(1)], false },
    waited = { &[Reading::Era(1), Reading::Time(5_000)], true },
    restored_again = { &[Reading::Era(1), Reading::Time(4_000), Reading::Era(2), Reading::Time(2_000)], false },
    restored_again_long_ago = { &[Reading::Era(1), Reading::Time(4_000), Reading::Era(2), Reading::Time(5_000)], true },
    restored_while_running = { &[Reading::Era(0), Reading::Era(1)], true },
    settled_and_restored = { &[Reading::Era(1), Reading::Settled(1), Reading::Era(2)], true },
)]
fn started_host_relies_on_versions_once_they_are_complete(readings: &[Reading], relies: bool) {
    let mut harness = harness(&[OLD]);
    feed_readings(&mut harness, readings);
    let id = harness.arrive(take_up(Some("first")));
    feed_read(&mut harness, &[OLD], Vec::new());
    assert_eq!(harness.is_sent(id), relies);
}

/// Guards against a record that the versions are complete again which is written before they are: too early, by a host that
/// was not there, or while the store's record of versions lacks one; and against one that is written again and again.
#[yare::parameterized(
    early = { &[Reading::Era(1), Reading::Time(4_800)], &[OLD], &[] },
    late = { &[Reading::Era(1), Reading::Time(5_100)], &[OLD], &[1] },
    never_restored = { &[Reading::Era(0), Reading::Time(9_000)], &[OLD], &[] },
    lacks_a_version = { &[Reading::Era(1), Reading::Time(9_000)], &[], &[] },
    recorded = { &[Reading::Era(1), Reading::Settled(1), Reading::Time(9_000)], &[OLD], &[] },
    repeated = { &[Reading::Era(1), Reading::Time(5_100), Reading::Time(1_000)], &[OLD], &[1, 1] },
    restored_again = { &[Reading::Era(1), Reading::Time(4_000), Reading::Era(2), Reading::Time(4_000)], &[OLD], &[] },
)]
fn versions_are_recorded_as_complete_when_they_are(
    readings: &[Reading],
    stored: &[&str],
    expected: &[u64],
) {
    let mut harness = harness(&[OLD]);
    let stored = stored.iter().map(|version| origin(version)).collect();
    harness.feed(relay::Event::VersionsStored(stored));
    feed_readings(&mut harness, readings);
    assert_eq!(harness.settlements, expected);
}

/// Guards against a host without the latest entries that takes the only version it knows for that of every stream.
#[test]
fn host_that_is_cut_off_does_not_conclude_from_one_version() {
    let mut harness = harness(&[OLD]);
    harness.now = harness.now + relay_fake::millis(2_500);
    let id = harness.arrive(take_up(Some("first")));
    harness.feed(relay::Event::StreamsRead(None));
    assert_refused(&harness, id, "unknown_origin");
}

fn restart(id: &str, version: &str) -> relay::Registration {
    relay::Registration {
        started: 2,
        ..registration(id, version)
    }
}

/// Guards against a stream whose version is that of the entry as it reads later, and not of the process that began it.
#[test]
fn stream_of_a_replaced_process_has_no_known_version() {
    let mut harness = harness(&[OLD]);
    let (id, attempt) = begin(&mut harness, "first");
    harness.register(restart(OLD, NEW));
    harness.fail_attempt(id, attempt, true);
    assert_eq!(harness.refusal(id).status(), 502);
    let again = harness.arrive(take_up(Some("first")));
    assert_refused(&harness, again, "unknown_origin");
    harness.advance(relay_fake::millis(200));
    let stored = [record("first", OLD), record("first", NEW)];
    assert_eq!(harness.stored_streams, stored);
}

/// Guards against a resumption whose response comes from a later process of another version.
#[test]
fn response_of_a_replaced_process_does_not_follow_a_stream() {
    let mut harness = harness(&[OLD]);
    harness.register(registration("other", OLD));
    let (id, attempt) = begin(&mut harness, "first");
    harness.fail_attempt(id, attempt, true);
    let upstream = harness.upstream(id);
    harness.register(restart(&upstream, NEW));
    harness.begin_stream(id);
    assert!(!matches!(
        harness.last_command(id),
        Some(relay::Command::Deliver)
    ));
}

/// Guards against an entry from an older copy of the store that changes the version of a later process.
#[test]
fn older_entry_does_not_change_the_version() {
    let mut harness = harness(&[OLD]);
    harness.register(restart("other", NEW));
    harness.register(registration("other", OLD));
    break_off(&mut harness, "first", OLD);
    for _ in 0..3 {
        let id = harness.arrive(take_up(Some("first")));
        assert_eq!(harness.upstream(id), OLD);
    }
}

/// Guards against a take-up that draws another service of its route than the one that began the stream.
#[test]
fn take_up_on_a_split_route_goes_to_the_service_of_the_stream() {
    let mut harness = relay_fake::Harness::new();
    harness.feed(relay::Event::Configured(Box::new(split_config(
        2,
        &["models", "other"],
    ))));
    harness.register(registration("one", OLD));
    harness.register(relay::Registration {
        service: relay_fake::name("other"),
        ..registration("two", OLD)
    });
    for seed in 0..2 {
        let stream = format!("stream-{seed}");
        let id = harness.arrive(relay::Request {
            seed,
            ..request(&stream)
        });
        let before = harness.upstream(id);
        begin_again(&mut harness, id);
        harness.feed(relay::Event::CallerDisconnected(id));
        let again = harness.arrive(relay::Request {
            seed: seed + 1,
            ..take_up(Some(&stream))
        });
        assert_eq!(harness.upstream(again), before);
    }
    harness.feed(relay::Event::Configured(Box::new(split_config(
        3,
        &["models"],
    ))));
    let gone = harness.arrive(take_up(Some("stream-1")));
    assert_refused(&harness, gone, "unknown_origin");
}

/// Returns a configuration whose streams are split over services.
fn split_config(version: u64, targets: &[&str]) -> relay::Config {
    let mut route = relay_fake::route("/live/", relay::Kind::Streaming, "models");
    route.targets = targets
        .iter()
        .map(|service| relay::Target {
            service: relay_fake::name(service),
            weight: 1,
        })
        .collect();
    let service = || relay::Service {
        max_connections: 100,
        engine: Some(relay_fake::engine(&["small"])),
        cold_start: None,
        balancing: relay::Balancing::Requests,
    };
    let services = ["models", "other"].map(|text: &str| (relay_fake::name(text), service()));
    relay::Config::new(
        version,
        vec![route],
        services.into_iter().collect(),
        vec![relay_fake::workspace(1_000_000)],
        None,
    )
}

/// Guards against a record of versions that lacks one in service, or keeps one that has left.
#[test]
fn versions_in_service_are_stored() {
    let mut harness = harness(&[OLD]);
    harness.advance(relay_fake::millis(100));
    assert_eq!(harness.stored_versions, [vec![origin(OLD)]]);
    harness.feed(relay::Event::VersionsStored(vec![origin(OLD)]));
    harness.advance(relay_fake::millis(2_500));
    assert_eq!(harness.stored_versions.len(), 1);
    harness.register(registration(NEW, NEW));
    harness.advance(relay_fake::millis(100));
    let both = vec![origin(OLD), origin(NEW)];
    assert_eq!(harness.stored_versions.last(), Some(&both));
    assert_eq!(harness.stored_versions.len(), 2);
    harness.feed(relay::Event::VersionsStored(both));
    remove(&mut harness, OLD);
    harness.advance(time::Duration::from_secs(30));
    assert_eq!(harness.stored_versions.last(), Some(&vec![origin(NEW)]));
}

/// Guards against entries without a version that count as all versions, or as one of the others.
#[test]
fn missing_version_is_a_version_of_its_own() {
    let mut harness = harness(&[NEW]);
    harness.register(relay_fake::registration("none", "models", &["small"]));
    for version in ["none", NEW] {
        break_off(&mut harness, version, version);
        let id = harness.arrive(take_up(Some(version)));
        assert_eq!(harness.upstream(id), version);
    }
}

/// Guards against a take-up that is never sent, or sent too early, when it waits for its tokens and for its record.
#[yare::parameterized(tokens_first = { true }, record_first = { false })]
fn take_up_waits_for_tokens_and_its_record(has_tokens_first: bool) {
    let mut harness = relay_allowance::host_without_tokens();
    for version in [OLD, NEW] {
        harness.register(registration(version, version));
    }
    let id = harness.arrive(take_up(Some("first")));
    let report = harness.reducer.report(harness.now, false);
    let requested = u32::try_from(report.token_requests.len()).expect("a small number");
    let grant = relay_allowance::view(report.number, requested);
    let mut events = [
        relay::Event::ViewReceived(Box::new(grant)),
        relay::Event::StreamsRead(Some(vec![record("first", NEW)])),
    ];
    if !has_tokens_first {
        events.reverse();
    }
    let [first, second] = events;
    harness.feed(first);
    assert!(harness.last_command(id).is_none());
    harness.feed(second);
    assert_eq!(harness.upstream(id), NEW);
}

/// Guards against streams that fill the memory, and against a forgotten one that goes on at any version.
#[test]
fn number_of_remembered_streams_is_bounded() {
    let mut harness = harness(&[OLD, NEW]);
    let config = relay_fake::config(2, 100_000_000);
    harness.feed(relay::Event::Configured(Box::new(config)));
    harness.advance(relay_fake::millis(1_000));
    for n in 0..=65_536 {
        let (id, _) = begin(&mut harness, &format!("stream-{n}"));
        harness.feed(relay::Event::CallerDisconnected(id));
    }
    let latest = harness.arrive(take_up(Some("stream-65536")));
    assert!(harness.is_sent(latest));
    let first = harness.arrive(take_up(Some("stream-0")));
    assert!(harness.last_command(first).is_none());
    assert_eq!(harness.stream_reads, 1);
}
