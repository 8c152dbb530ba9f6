//! Processes that are paused and wake up (P2, P5, P7).

use std::thread;
use std::time;

use crate::caller;
use crate::world;
use rustix::process;

const STREAMS: usize = 4;
const TOKENS: u32 = 200;

/// The bound of P5, after which a host that was paused in between must refuse the key.
const REVOKED_WITHIN: time::Duration = time::Duration::from_secs(5);

fn prompt(number: usize) -> String {
    format!("pause {number}")
}

/// Pauses what `signal` reaches while streams run, wakes it when they have ended, and checks all answers.
fn assert_no_harm(world: &world::World, signal: impl Fn(process::Signal, usize)) {
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
    let engine = world.busiest_engine();
    signal(process::Signal::STOP, engine);
    let right = |number| world::expected(0, &prompt(number), TOKENS);
    for (number, stream) in streams.into_iter().enumerate() {
        stream.finish().assert_whole_or_error(&right(number));
    }
    signal(process::Signal::CONT, engine);
    for round in 0..world::ENTRIES * 3 {
        let prompt = format!("awake {round}");
        world::wait_until("the model answers again", || {
            let outcome = world
                .chat(0, &prompt, 10)
                .stream(world.callers(round % world::ENTRIES));
            outcome.assert_whole_or_error(&world::expected(0, &prompt, 10));
            outcome.end == caller::End::Done
        });
    }
    for number in 0..world::ENGINES {
        assert_eq!(world.records(number).overcommits, 0);
    }
}

/// Guards against a wrong or silently short answer from an engine that was paused (P1, P2, P7).
#[test]
fn paused_engine_does_no_harm() {
    let world = world::World::start(world::Plan::replicated());
    assert_no_harm(&world, |signal, engine| {
        world.engines[engine].process.signal(signal)
    });
}

/// Guards against a wrong or silently short answer from a sidecar that was paused (P1, P2, P7).
#[test]
fn paused_sidecar_does_no_harm() {
    let world = world::World::start(world::Plan::replicated());
    assert_no_harm(&world, |signal, engine| {
        world.sides[engine].process.signal(signal)
    });
}

/// Guards against an entry host that was paused during a revocation and serves the revoked key when it wakes (P5).
#[test]
fn paused_entry_host_refuses_a_key_that_was_revoked_meanwhile() {
    let world = world::World::start(world::Plan::default());
    let request = world::chat(1, 0, "a long answer", 2_000, true);
    let mut running = request.open(world.callers(2)).expect("a stream");
    assert!(running.read_tokens(3) >= 3);
    world.entries[2].process.signal(process::Signal::STOP);
    let answer = caller::Request::new("DELETE", "/v1/resources/key/key-2")
        .send(world.entries[0].operators)
        .expect("an answer");
    let deleted = time::Instant::now();
    assert_eq!(answer.status, 200, "{answer:?}");
    // The request waits in the listener of the paused host, which reads it as soon as it wakes.
    let waiting = world::chat(1, 0, "while paused", 5, false).send_later(world.callers(2));
    thread::sleep(REVOKED_WITHIN.saturating_sub(deleted.elapsed()));
    world.entries[2].process.signal(process::Signal::CONT);
    let woken = time::Instant::now();
    let answer = waiting.join().expect("sent").expect("an answer");
    assert!(matches!(answer.status, 401 | 503), "{answer:?}");
    assert_eq!(answer.header("carawaycleat-outcome"), Some("not_run"));
    let outcome = running.finish();
    assert!(
        matches!(outcome.end, caller::End::Error(_)),
        "{:?}",
        outcome.end
    );
    assert!(
        woken.elapsed() < time::Duration::from_secs(2),
        "{:?}",
        woken.elapsed()
    );
    world::wait_until("the host serves again", || {
        let outcome = world.chat(0, "awake", 10).stream(world.callers(2));
        outcome.assert_whole_or_error(&world::expected(0, "awake", 10));
        outcome.end == caller::End::Done
    });
}
