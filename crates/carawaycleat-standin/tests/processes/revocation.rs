//! Revoked keys (P5, P12).

use std::time;

use crate::caller;
use crate::world;

/// The bound of P5.
const REVOKED_WITHIN: time::Duration = time::Duration::from_secs(5);

/// Tokens for twice the bound.
const TOKENS: u32 = 1_000;

/// Guards against a revoked key that goes on working on a running stream or on one of the entry hosts (P5).
#[test]
fn revoked_key_stops_its_stream_and_is_refused_everywhere() {
    let world = world::World::start(world::Plan::default());
    let mut streams: Vec<_> = (0..world::ENTRIES)
        .map(|number| {
            let request = world::chat(1, 0, "a long answer", TOKENS, true);
            request.open(world.callers(number)).expect("a stream")
        })
        .collect();
    for stream in &mut streams {
        assert!(stream.read_tokens(5) >= 5);
    }
    let answer = caller::Request::new("DELETE", "/v1/resources/key/key-2")
        .send(world.entries[0].operators)
        .expect("an answer");
    assert_eq!(answer.status, 200, "{answer:?}");
    let deleted = time::Instant::now();
    for stream in streams {
        let outcome = stream.finish();
        assert!(
            deleted.elapsed() < REVOKED_WITHIN,
            "{:?}",
            deleted.elapsed()
        );
        assert!(
            matches!(outcome.end, caller::End::Error(_)),
            "{:?}",
            outcome.end
        );
        outcome.assert_whole_or_error(&world::expected(0, "a long answer", TOKENS));
    }
    for number in 0..world::ENTRIES {
        world::wait_until("the key is refused", || {
            let request = world::chat(1, 0, "again", 1, false);
            let answer = request.send(world.callers(number)).expect("an answer");
            assert!(matches!(answer.status, 200 | 401), "{answer:?}");
            answer.status == 401
        });
    }
    assert!(
        deleted.elapsed() < REVOKED_WITHIN,
        "{:?}",
        deleted.elapsed()
    );
    let other = world.chat(0, "another key", 5).stream(world.callers(0));
    other.assert_whole(&world::expected(0, "another key", 5));
}
