//! Upstreams that leave (P2, P10, P11).

use std::thread;
use std::time;

use crate::world;

/// The bound of P10.
const LEFT_WITHIN: time::Duration = time::Duration::from_secs(3);

/// Tokens for longer than the bound.
const TOKENS: u32 = 500;

/// Guards against new work on a leaving upstream, and against one whose running work is cut (P2, P10).
#[test]
fn leaving_upstream_gets_no_new_work_and_ends_its_own() {
    let world = world::World::start(world::Plan::default());
    let mut stream = world
        .chat(0, "long", TOKENS)
        .open(world.callers(1))
        .expect("a stream");
    assert!(stream.read_tokens(3) >= 3);
    let engine = world.busiest_engine();
    let written = time::Instant::now();
    let (name, resource) = world.upstream(engine, true);
    world.apply("upstream", &name, &resource);
    thread::sleep(LEFT_WITHIN.saturating_sub(written.elapsed()));
    let before = world.records(engine).executions.len();
    for number in 0..world::ENTRIES * 4 {
        let prompt = format!("new {number}");
        let outcome = world
            .chat(0, &prompt, 10)
            .stream(world.callers(number % world::ENTRIES));
        outcome.assert_whole(&world::expected(0, &prompt, 10));
    }
    assert_eq!(world.records(engine).executions.len(), before);
    stream
        .finish()
        .assert_whole(&world::expected(0, "long", TOKENS));
    let records = world.records(engine);
    assert!(records.executions.iter().all(|e| e.ended), "{records:?}");
}
