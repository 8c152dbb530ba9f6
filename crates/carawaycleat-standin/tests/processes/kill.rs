//! Processes that are killed (P2, P7, P9).

use serde_json::json;

use crate::caller;
use crate::world;

const STREAMS: usize = 6;
const TOKENS: u32 = 200;

fn prompt(number: usize) -> String {
    format!("kill {number}")
}

/// Opens streams through all entry hosts and reads the first tokens of each.
fn open(world: &world::World) -> Vec<caller::Stream> {
    let mut streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let request = world.chat(0, &prompt(number), TOKENS);
            let address = world.callers(number % world::ENTRIES);
            request.open(address).expect("a stream")
        })
        .collect();
    for stream in &mut streams {
        assert!(stream.read_tokens(3) >= 3);
    }
    streams
}

/// Checks that no stream is wrong or silently short, and returns how many are whole.
fn count_whole(streams: Vec<caller::Stream>) -> usize {
    let mut whole = 0;
    for (number, stream) in streams.into_iter().enumerate() {
        let outcome = stream.finish();
        outcome.assert_whole_or_error(&world::expected(0, &prompt(number), TOKENS));
        whole += usize::from(outcome.end == caller::End::Done);
    }
    whole
}

/// Checks that the model answers again through each entry host.
fn assert_reachable(world: &world::World, entries: impl Iterator<Item = usize>) {
    for entry in entries {
        world::wait_until("the model answers again", || {
            let outcome = world.chat(0, "after", 10).stream(world.callers(entry));
            outcome.assert_whole_or_error(&world::expected(0, "after", 10));
            outcome.end == caller::End::Done
        });
    }
}

/// Guards against a wrong or silently short answer, and an unreachable model, when an engine dies (P2, P7).
#[test]
fn killed_engine_gives_no_wrong_answer() {
    let mut world = world::World::start(world::Plan::replicated());
    let streams = open(&world);
    let engine = world.busiest_engine();
    world.engines[engine].process.kill();
    assert!(count_whole(streams) > 0);
    let resumed = world.records(world::ENGINES - 1 - engine).executions;
    assert!(resumed.iter().any(|e| e.resume_at >= 3), "{resumed:?}");
    assert_reachable(&world, 0..world::ENTRIES);
}

/// Guards against a wrong or silently short answer, and an unreachable model, when a sidecar dies (P2, P7).
#[test]
fn killed_sidecar_gives_no_wrong_answer() {
    let mut world = world::World::start(world::Plan::replicated());
    let streams = open(&world);
    let engine = world.busiest_engine();
    world.sides[engine].process.kill();
    assert!(count_whole(streams) > 0);
    let resumed = world.records(world::ENGINES - 1 - engine).executions;
    assert!(resumed.iter().any(|e| e.resume_at >= 3), "{resumed:?}");
    assert_reachable(&world, 0..world::ENTRIES);
}

/// Guards against an effect of a killed entry host on the callers of the others (P7).
#[test]
fn killed_entry_host_affects_its_own_callers_only() {
    let mut world = world::World::start(world::Plan::default());
    let streams = open(&world);
    world.entries[0].process.kill();
    for (number, stream) in streams.into_iter().enumerate() {
        let outcome = stream.finish();
        let right = world::expected(0, &prompt(number), TOKENS);
        if number % world::ENTRIES == 0 {
            assert!(matches!(outcome.end, caller::End::Cut(_)), "{outcome:?}");
            assert!(right.starts_with(&outcome.text));
        } else {
            outcome.assert_whole(&right);
        }
    }
    assert_reachable(&world, 1..world::ENTRIES);
}

/// Guards against a second execution of a booking whose sidecar died after it had run (P8, P9).
#[test]
fn booking_on_a_killed_sidecar_is_not_repeated() {
    let mut world = world::World::start(world::Plan::default());
    // The answer must not come before the sidecar is killed.
    world::fault(&world.service, &json!({"slow_ms": 5_000}));
    let booking = world::book("job").send_later(world.callers(0));
    world::wait_until("the booking has run", || !world.executions().is_empty());
    world.sides[world::ENGINES].process.kill();
    let answer = booking.join().expect("sent").expect("an answer");
    assert!(matches!(answer.status, 502 | 504), "{answer:?}");
    assert_eq!(answer.header("carawaycleat-outcome"), Some("unknown"));
    let again = world::book("job")
        .send(world.callers(1))
        .expect("an answer");
    assert_eq!(
        (again.status, again.code()),
        (409, "duplicate_request".to_owned())
    );
    assert_eq!(world.executions().len(), 1);
}
