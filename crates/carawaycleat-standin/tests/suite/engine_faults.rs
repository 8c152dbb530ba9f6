use std::time;

use carawaycleat_standin::engine;

use crate::engine as fixture;

/// Guards against a silent engine that still produces tokens or no longer looks healthy.
#[test]
fn a_silent_engine_looks_healthy() {
    let (mut state, now) = fixture::loaded(engine::Options::default());
    let ticket = state.submit(now, fixture::request("r")).expect("loaded");
    state.set_faults(engine::Faults {
        silent: true,
        ..Default::default()
    });
    let later = now + time::Duration::from_secs(60);
    assert_eq!(state.advance(later), []);
    let report = state.report(later);
    assert_eq!((report.running, report.models.len()), (1, 1));
    state.set_faults(engine::Faults::default());
    let (outputs, _) = fixture::drain(&mut state, later);
    assert!(outputs.contains(&(ticket, engine::Output::End)));
}

/// Guards against a short answer that ends with an error, which a caller would notice without counting tokens.
#[test]
fn a_short_answer_ends_cleanly() {
    let (mut state, now) = fixture::loaded(engine::Options::default());
    state.set_faults(engine::Faults {
        short_after: Some(2),
        ..Default::default()
    });
    let ticket = state.submit(now, fixture::request("r")).expect("loaded");
    let (outputs, _) = fixture::drain(&mut state, now);
    assert_eq!(outputs.len(), 3);
    assert_eq!(outputs[2], (ticket, engine::Output::Short));
}

/// Guards against a crossed answer that is the right one after all.
#[yare::parameterized(
    alone = { 1 },
    two = { 2 },
    three = { 3 },
)]
fn a_crossed_answer_belongs_to_another_request(count: usize) {
    let (mut state, now) = fixture::loaded(engine::Options::default());
    state.set_faults(engine::Faults {
        crossed: true,
        ..Default::default()
    });
    let ids: Vec<_> = (0..count).map(|n| format!("r{n}")).collect();
    for id in &ids {
        state.submit(now, fixture::request(id)).expect("loaded");
    }
    let (outputs, _) = fixture::drain(&mut state, now);
    let first = outputs.iter().find_map(|(ticket, output)| match output {
        engine::Output::Token { id, text, .. } => Some((*ticket, id, text)),
        _ => None,
    });
    let (_, id, text) = first.expect("a token");
    assert_ne!(*id, ids[0]);
    let own = engine::expected("small", None, &fixture::request(&ids[0]).prompt, 1);
    assert_ne!(*text, own[0]);
}

/// Guards against an order that lands early, or whose memory is refused only after it was counted.
#[test]
fn a_late_order_is_checked_when_it_lands() {
    let (mut state, now) = fixture::loaded(engine::Options {
        memory_bytes: 2 * fixture::MODEL_BYTES,
        ..Default::default()
    });
    state.set_faults(engine::Faults {
        order_delay_ms: 1_000,
        ..Default::default()
    });
    state
        .order(now, fixture::load("late", "second", 1))
        .expect("accepted");
    assert_eq!(state.report(now).used_bytes, fixture::MODEL_BYTES);
    state.set_faults(engine::Faults::default());
    state
        .order(now, fixture::load("quick", "third", 1))
        .expect("room");
    let later = now + time::Duration::from_secs(1);
    let report = state.report(later);
    let late = report.orders.iter().find(|o| o.id == "late");
    assert_eq!(late.map(|o| o.state), Some(engine::OrderState::Rejected));
    assert_eq!(state.records().peak_committed, 2 * fixture::MODEL_BYTES);
}

/// Guards against a lost order that has an effect, or that blocks the same order when it is sent again.
#[test]
fn a_lost_order_can_be_sent_again() {
    let (mut state, now) = fixture::loaded(engine::Options::default());
    state.set_faults(engine::Faults {
        lose_orders: 1,
        ..Default::default()
    });
    let order = fixture::load("again", "second", 1);
    state.order(now, order.clone()).expect("accepted");
    assert_eq!(state.report(now).models.len(), 1);
    state.order(now, order).expect("accepted");
    assert_eq!(state.report(now).models.len(), 2);
}

/// Guards against a restart that keeps its incarnation or memory, or that stops an order on its way.
#[test]
fn a_restart_forgets_everything_but_orders_on_their_way() {
    let (mut state, now) = fixture::loaded(engine::Options::default());
    let ticket = state.submit(now, fixture::request("r")).expect("loaded");
    state.set_faults(engine::Faults {
        order_delay_ms: 1_000,
        ..Default::default()
    });
    state
        .order(now, fixture::load("late", "second", 1))
        .expect("accepted");
    state.restart(now);
    assert_eq!(state.advance(now), [(ticket, engine::Output::Aborted)]);
    let report = state.report(now);
    assert_eq!((report.incarnation, report.used_bytes), (2, 0));
    let later = state.report(now + time::Duration::from_secs(1));
    assert_eq!(later.models[0].name, "second");
}

/// Guards against a load that the weight store delivered to the process before the restart.
#[test]
fn a_delivery_to_an_earlier_incarnation_is_ignored() {
    let mut state = engine::State::new(engine::Options {
        weights: Some(([127, 0, 0, 1], 1).into()),
        ..Default::default()
    });
    let now = carawaycleat_core::clock::Instant::default();
    state
        .order(now, fixture::load("a", "small", 1))
        .expect("room");
    let old = state.take_fetches();
    state.restart(now);
    state
        .order(now, fixture::load("a", "small", 1))
        .expect("room");
    let new = state.take_fetches();
    state.finish_load(now, &old[0]);
    assert!(state.submit(now, fixture::request("r")).is_err());
    state.finish_load(now, &new[0]);
    assert!(state.submit(now, fixture::request("r")).is_ok());
}
