//! Bookings with an idempotency key (P8, P9).

use std::thread;

use crate::world;

/// The pairs of bookings, so that both orders of arrival occur.
const ROUNDS: usize = 10;

/// Guards against a booking that two entry hosts both run (P9).
#[test]
fn doubled_booking_runs_once() {
    let world = world::World::start(world::Plan::default());
    for round in 0..ROUNDS {
        let key = format!("job-{round}");
        let send = |entry: usize| {
            world::book(&key)
                .send(world.callers(entry))
                .expect("an answer")
        };
        let (one, other) = thread::scope(|scope| {
            let one = scope.spawn(|| send(0));
            let other = scope.spawn(|| send(1));
            (one.join().expect("sent"), other.join().expect("sent"))
        });
        let (ran, refused) = if one.status == 200 {
            (one, other)
        } else {
            (other, one)
        };
        assert_eq!(ran.status, 200, "{ran:?}");
        assert_eq!(refused.status, 409, "{refused:?}");
        assert_eq!(refused.code(), "duplicate_request");
        let outcome = refused.header("carawaycleat-outcome");
        assert!(matches!(outcome, Some("ran" | "unknown")), "{refused:?}");
        let executions = world.executions();
        let count = executions
            .iter()
            .filter(|e| e.idempotency_key.as_deref() == Some(&key));
        assert_eq!(count.count(), 1, "{key}");
    }
}
