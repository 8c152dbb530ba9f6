//! Operators' writes (P12).

use std::thread;

use serde_json::json;

use crate::caller;
use crate::world;

/// The pairs of writes, so that both orders of arrival occur.
const ROUNDS: u64 = 5;

fn revision(answer: &caller::Answer) -> u64 {
    answer.json()["revision"].as_u64().unwrap_or_default()
}

/// Sends a write through each of two entry hosts at the same time, and returns the one that won and the other.
fn race(
    world: &world::World,
    write: impl Fn(u64) -> caller::Request + Sync,
) -> (caller::Answer, caller::Answer) {
    let send = |entry: usize, request: caller::Request| {
        request
            .send(world.entries[entry].operators)
            .expect("an answer")
    };
    let (one, other) = thread::scope(|scope| {
        let one = scope.spawn(|| send(0, write(1)));
        let other = scope.spawn(|| send(1, write(2)));
        (one.join().expect("sent"), other.join().expect("sent"))
    });
    if matches!(one.status, 200..=202) {
        (one, other)
    } else {
        (other, one)
    }
}

/// Guards against a write that silently overwrites another's (P12).
#[test]
fn one_of_two_operators_wins() {
    let world = world::World::start(world::Plan::default());
    let workspace = |weight: u64| json!({"weight": weight});
    let (won, lost) = race(&world, |weight| {
        world::put("workspace", "new", &workspace(weight)).header("if-none-match", "*")
    });
    assert_eq!(won.status, 201, "{won:?}");
    assert_eq!(lost.status, 409, "{lost:?}");
    assert_eq!(revision(&lost), revision(&won));
    let mut current = revision(&won);
    for round in 0..ROUNDS {
        let (won, lost) = race(&world, |weight| {
            world::put("workspace", "new", &workspace(10 * (round + 1) + weight))
                .header("if-match", format!("\"{current}\""))
        });
        assert_eq!(won.status, 200, "{won:?}");
        assert_eq!(lost.status, 412, "{lost:?}");
        assert_eq!(revision(&lost), revision(&won));
        current = revision(&won);
    }
    for entry in &world.entries {
        world::wait_until("each entry host has the last write", || {
            let read = caller::Request::new("GET", "/v1/resources/workspace/new");
            revision(&read.send(entry.operators).expect("an answer")) == current
        });
    }
}

/// Guards against a write that is applied twice, or reported as failed, after its answer was lost (P12).
#[test]
fn lost_answer_of_the_store_applies_a_write_once() {
    let world = world::World::start(world::Plan::default());
    let request = world::put("workspace", "new", &json!({"weight": 3}));
    world::fault(&world.store, &json!({"lose_probability": 1.0}));
    let answer = request.send(world.entries[0].operators).expect("an answer");
    world::fault(&world.store, &json!({}));
    assert!(matches!(answer.status, 201 | 202), "{answer:?}");
    let counts = caller::Request::new("GET", "/standin/counts").send(world.store.address);
    assert!(counts.expect("counts").json()["lost_answers"].as_u64() >= Some(1));
    for entry in &world.entries {
        world::wait_until("each entry host has the write", || {
            let read = caller::Request::new("GET", "/v1/resources/workspace/new");
            let read = read.send(entry.operators).expect("an answer");
            read.status == 200 && revision(&read) == revision(&answer)
        });
    }
    // The store counts the writes of a key in its version.
    let range = json!({"key": base64("/carawaycleat/v1/resource/workspace/new")});
    let stored = caller::Request::new("POST", "/v3/kv/range").json(&range);
    let stored = stored.send(world.store.address).expect("an answer").json();
    assert_eq!(stored["kvs"][0]["version"], "1", "{stored}");
}

fn base64(text: &str) -> String {
    use base64::Engine as _;
    base64::engine::general_purpose::STANDARD.encode(text)
}
