//! Outages of the store (P8, P9).

use std::time;

use serde_json::json;

use crate::world;

/// Longer than the 4 s after which a host without a majority is isolated.
const OUTAGE: time::Duration = time::Duration::from_secs(6);

fn executions(world: &world::World, key: &str) -> usize {
    let executions = world.executions();
    let own = executions
        .iter()
        .filter(|e| e.idempotency_key.as_deref() == Some(key));
    own.count()
}

fn serve_without_store(fault: &serde_json::Value) {
    let world = world::World::start(world::Plan::default());
    let long = world.chat(0, "across the outage", 400);
    let mut stream = long.open(world.callers(2)).expect("a stream");
    assert!(stream.read_tokens(3) >= 3);
    world::fault(&world.store, fault);
    let began = time::Instant::now();

    let refused = world::book("job")
        .send(world.callers(0))
        .expect("an answer");
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(refused.code(), "claim_unavailable");
    assert_eq!(refused.header("carawaycleat-outcome"), Some("not_run"));

    let mut number = 0;
    while began.elapsed() < OUTAGE {
        let prompt = format!("outage {number}");
        let outcome = world
            .chat(0, &prompt, 10)
            .stream(world.callers(number % world::ENTRIES));
        outcome.assert_whole(&world::expected(0, &prompt, 10));
        number += 1;
    }
    stream
        .finish()
        .assert_whole(&world::expected(0, "across the outage", 400));
    assert_eq!(executions(&world, "job"), 0, "a refused booking ran");

    world::fault(&world.store, &json!({}));
    world::wait_until("the booking runs after the outage", || {
        let answer = world::book("job")
            .send(world.callers(1))
            .expect("an answer");
        // The claim of the refused booking may land when the store is back, and is then deleted.
        assert!(
            matches!(
                answer.code().as_str(),
                "" | "claim_unavailable" | "duplicate_request"
            ),
            "{answer:?}"
        );
        assert_ne!(
            answer.header("carawaycleat-outcome"),
            Some("ran"),
            "{answer:?}"
        );
        answer.status == 200
    });
    let again = world::book("job")
        .send(world.callers(2))
        .expect("an answer");
    assert_eq!(
        (again.status, again.code()),
        (409, "duplicate_request".to_owned())
    );
    assert_eq!(executions(&world, "job"), 1);
}

/// Guards against a stop of the service, and a booking that runs without a claim, while the store hangs (P8, P9).
#[test]
fn serving_goes_on_while_the_store_hangs() {
    serve_without_store(&json!({"hang": true}));
}

/// Guards against a stop of the service, and a booking that runs without a claim, while the store is down (P8, P9).
#[test]
fn serving_goes_on_while_the_store_is_down() {
    serve_without_store(&json!({"down": true}));
}
