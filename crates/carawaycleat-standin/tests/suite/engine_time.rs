use std::time;

use carawaycleat_standin::engine;

use crate::engine as fixture;

fn options() -> engine::Options {
    engine::Options {
        step_base: time::Duration::from_millis(10),
        step_per_request: time::Duration::from_millis(1),
        prefill_per_token: time::Duration::from_millis(2),
        ..Default::default()
    }
}

/// Returns the time until the engine has nothing to do.
fn busy(state: &mut engine::State, now: carawaycleat_core::clock::Instant) -> time::Duration {
    fixture::drain(state, now).1.since(now)
}

/// Guards against prefill that costs nothing, and against cached prompt tokens that cost time again.
#[test]
fn prefill_takes_time_for_uncached_tokens() {
    let (mut state, now) = fixture::loaded(options());
    let mut request = fixture::request("r");
    request.max_tokens = 1;
    request.prompt = "w ".repeat(engine::BLOCK_TOKENS + 4);
    state.submit(now, request.clone()).expect("loaded");
    let first = busy(&mut state, now);
    assert_eq!(first, time::Duration::from_millis(10 + 1 + 2 * 20));
    let now = now + first;
    state.submit(now, request).expect("loaded");
    let second = busy(&mut state, now);
    assert_eq!(second, time::Duration::from_millis(10 + 1 + 2 * 4));
}

/// Guards against a decode step whose time does not grow with the batch, which makes placement look free.
#[yare::parameterized(
    alone = { 1, 1.0, 11 },
    four = { 4, 1.0, 14 },
    slow = { 4, 3.0, 42 },
)]
fn a_step_grows_with_the_batch(count: usize, slowdown: f64, step_ms: u64) {
    let (mut state, now) = fixture::loaded(engine::Options {
        prefill_per_token: time::Duration::ZERO,
        ..options()
    });
    state.set_faults(engine::Faults {
        slowdown,
        ..Default::default()
    });
    // The first submission starts a step of its own, which the others join at its end.
    for n in 0..count {
        state
            .submit(now, fixture::request(&format!("r{n}")))
            .expect("loaded");
    }
    let joined = state.next().expect("a running step");
    state.advance(joined);
    let next = state.next().expect("a running step");
    assert_eq!(next.since(joined), time::Duration::from_millis(step_ms));
}

/// Guards against an adapter that serves before it is loaded, without its model, or with the text of the bare model.
#[test]
fn an_adapter_loads_in_its_time_and_changes_the_text() {
    let (mut state, now) = fixture::loaded(options());
    let mut order = fixture::load("a", "polite", 1);
    order.kind = engine::OrderKind::LoadAdapter;
    order.model = "absent".to_owned();
    order.bytes = 500_000_000;
    let absent = Err(engine::Error::NotLoaded("absent".to_owned()));
    assert_eq!(state.order(now, order.clone()), absent);
    order.model = "small".to_owned();
    state.order(now, order).expect("room");
    let mut request = fixture::request("r");
    request.adapter = Some("polite".to_owned());
    assert!(state.submit(now, request.clone()).is_err());
    let loading = busy(&mut state, now);
    assert_eq!(loading, time::Duration::from_micros(7_500));
    let now = now + loading;
    let ticket = state.submit(now, request.clone()).expect("loaded");
    let (outputs, _) = fixture::drain(&mut state, now);
    let text = fixture::text(&outputs, ticket);
    let expected = |adapter| engine::expected("small", adapter, &request.prompt, 6).concat();
    assert_eq!(text, expected(Some("polite")));
    assert_ne!(text, expected(None));
}
