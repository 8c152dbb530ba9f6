//! Callers that go away.

use crate::world;

/// Tokens for 40 s, so that the request cannot have ended by itself.
const TOKENS: u32 = 4_000;

/// Guards against an engine that goes on producing for a caller whose connection is lost.
#[test]
fn lost_connection_frees_the_slot() {
    let world = world::World::start(world::Plan::default());
    for number in 0..world::ENTRIES {
        let request = world.chat(0, &format!("long {number}"), TOKENS);
        let mut stream = request.open(world.callers(number)).expect("a stream");
        assert!(stream.read_tokens(3) >= 3);
        let engine = world.busiest_engine();
        drop(stream);
        world::wait_until("the engine has cancelled the request", || {
            let executions = world.records(engine).executions;
            executions
                .last()
                .is_some_and(|e| e.cancelled && e.produced < TOKENS)
        });
    }
}
