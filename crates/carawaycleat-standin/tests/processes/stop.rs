//! Planned stops (P11).

use crate::caller;
use crate::world;
use rustix::process;

/// Tokens for more than the drain delay.
const TOKENS: u32 = 200;

fn open(world: &world::World, entry: usize, count: usize, tokens: u32) -> Vec<caller::Stream> {
    let mut streams: Vec<_> = (0..count)
        .map(|number| {
            let request = world.chat(0, &format!("stop {number}"), tokens);
            request.open(world.callers(entry)).expect("a stream")
        })
        .collect();
    for stream in &mut streams {
        assert!(stream.read_tokens(3) >= 3);
    }
    streams
}

fn assert_whole(streams: Vec<caller::Stream>, tokens: u32) {
    for (number, stream) in streams.into_iter().enumerate() {
        let right = world::expected(0, &format!("stop {number}"), tokens);
        stream.finish().assert_whole(&right);
    }
}

/// Guards against a planned stop of an entry host that cuts a request or stops accepting before the load balancer can
/// know (P11).
#[test]
fn planned_stop_of_an_entry_host_cuts_nothing() {
    let mut world = world::World::start(world::Plan::default());
    let streams = open(&world, 0, 6, TOKENS);
    world.entries[0].process.signal(process::Signal::TERM);
    world.entries[0]
        .process
        .wait_for_line(|line| line.contains("shutting down").then_some(()));
    assert!(!world.entries[0].is_ready());
    let late = world.chat(0, "late", 5).stream(world.callers(0));
    late.assert_whole(&world::expected(0, "late", 5));
    assert_whole(streams, TOKENS);
    assert_eq!(world.entries[0].process.exit_code(), Some(0));
    let other = world.chat(0, "other", 5).stream(world.callers(1));
    other.assert_whole(&world::expected(0, "other", 5));
}

/// Guards against a planned stop of a sidecar that cuts a stream (P11).
#[test]
fn planned_stop_of_a_sidecar_cuts_nothing() {
    let mut world = world::World::start(world::Plan::replicated());
    let streams = open(&world, 0, 6, TOKENS);
    let engine = world.busiest_engine();
    world.sides[engine].process.signal(process::Signal::TERM);
    assert_whole(streams, TOKENS);
    assert_eq!(world.sides[engine].process.exit_code(), Some(0));
    let other = world.chat(0, "other", 5).stream(world.callers(1));
    other.assert_whole(&world::expected(0, "other", 5));
}

/// Guards against a process that can't be ended before its requests have ended, or hides that it cut them (P11).
#[test]
fn second_signal_ends_an_entry_host_at_once() {
    let mut world = world::World::start(world::Plan::default());
    let streams = open(&world, 0, 2, 4_000);
    let process = &mut world.entries[0].process;
    process.signal(process::Signal::TERM);
    process.wait_for_line(|line| line.contains("shutting down").then_some(()));
    process.signal(process::Signal::TERM);
    assert_eq!(process.exit_code(), Some(1));
    let cut = process.wait_for_line(|line| {
        let listed = line.split_once("2 requests were cut: ")?.1;
        Some(listed.to_owned())
    });
    for stream in &streams {
        let id = stream.id().strip_prefix("chatcmpl-").expect("an id");
        assert!(cut.contains(id), "{id} is not in the log: {cut}");
    }
    for (number, stream) in streams.into_iter().enumerate() {
        let outcome = stream.finish();
        assert_ne!(outcome.end, caller::End::Done);
        let right = world::expected(0, &format!("stop {number}"), 4_000);
        assert!(right.starts_with(&outcome.text));
    }
}

/// Guards against a sidecar that can't be ended before its jobs have ended, or hides that it cut them (P11).
#[test]
fn second_signal_ends_a_sidecar_at_once() {
    let mut world = world::World::start(world::Plan::default());
    let streams = open(&world, 0, 2, TOKENS);
    let engine = world.busiest_engine();
    let process = &mut world.sides[engine].process;
    process.signal(process::Signal::TERM);
    process.wait_for_line(|line| line.contains("shutting down").then_some(()));
    process.signal(process::Signal::TERM);
    assert_eq!(process.exit_code(), Some(1));
    process.wait_for_line(|line| line.contains("jobs were cut").then_some(()));
    for (number, stream) in streams.into_iter().enumerate() {
        let right = world::expected(0, &format!("stop {number}"), TOKENS);
        stream.finish().assert_whole_or_error(&right);
    }
}
