//! Engines that look healthy and are not (P2, P7).

use serde_json::json;

use crate::caller;
use crate::world;

const TOKENS: u32 = 100;

/// Switches a fault on while streams run, and checks the running and the next answers.
fn assert_no_wrong_answer(fault: &serde_json::Value) {
    let world = world::World::start(world::Plan::replicated());
    let mut streams: Vec<_> = (0..4)
        .map(|number| {
            let request = world.chat(0, &format!("before {number}"), TOKENS);
            let address = world.callers(number % world::ENTRIES);
            request.open(address).expect("a stream")
        })
        .collect();
    for stream in &mut streams {
        assert!(stream.read_tokens(3) >= 3);
    }
    let engine = world.busiest_engine();
    world::fault(&world.engines[engine], fault);
    for (number, stream) in streams.into_iter().enumerate() {
        let right = world::expected(0, &format!("before {number}"), TOKENS);
        stream.finish().assert_whole_or_error(&right);
    }
    for number in 0..world::ENTRIES {
        let prompt = format!("during {number}");
        let right = world::expected(0, &prompt, TOKENS);
        let address = world.callers(number);
        world
            .chat(0, &prompt, TOKENS)
            .stream(address)
            .assert_whole_or_error(&right);
        let plain = world::chat(0, 0, &prompt, TOKENS, false)
            .send(address)
            .expect("an answer");
        if plain.status == 200 {
            assert_eq!(
                plain.json()["choices"][0]["message"]["content"],
                right.as_str()
            );
        } else {
            assert!(!plain.code().is_empty(), "{plain:?}");
        }
    }
    world::fault(&world.engines[engine], &json!({}));
    for number in 0..world::ENTRIES {
        world::wait_until("the model answers after the fault", || {
            let outcome = world.chat(0, "after", 10).stream(world.callers(number));
            outcome.assert_whole_or_error(&world::expected(0, "after", 10));
            outcome.end == caller::End::Done
        });
    }
}

/// Guards against callers that wait on an engine which accepts requests and produces nothing (P2, P7).
#[test]
fn silent_engine_gives_no_wrong_answer() {
    assert_no_wrong_answer(&json!({"silent": true}));
}

/// Guards against a short answer that is passed on as a whole one (P7).
#[test]
fn short_answers_are_not_passed_on() {
    assert_no_wrong_answer(&json!({"short_after": 5}));
}

/// Guards against an answer to another's request (P7).
#[test]
fn crossed_answers_are_not_passed_on() {
    assert_no_wrong_answer(&json!({"crossed": true}));
}
