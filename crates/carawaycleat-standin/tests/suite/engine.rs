use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::resource;
use carawaycleat_standin::engine;

pub(crate) const MODEL_BYTES: u64 = 16_000_000_000;

pub(crate) fn load(id: &str, name: &str, fencing: u64) -> engine::Order {
    engine::Order {
        id: id.to_owned(),
        fencing,
        kind: engine::OrderKind::Load,
        name: name.to_owned(),
        version: "1".to_owned(),
        model: String::new(),
        bytes: MODEL_BYTES,
        role: None,
    }
}

pub(crate) fn request(id: &str) -> engine::Request {
    engine::Request {
        id: id.to_owned(),
        model: "small".to_owned(),
        prompt: format!("prompt of {id}"),
        max_tokens: 6,
        ..Default::default()
    }
}

/// Runs until nothing is left to do, and returns the outputs with the time of the end.
pub(crate) fn drain(
    state: &mut engine::State,
    start: clock::Instant,
) -> (Vec<(engine::Ticket, engine::Output)>, clock::Instant) {
    let (mut outputs, mut now) = (state.advance(start), start);
    while let Some(next) = state.next() {
        now = next;
        outputs.extend(state.advance(now));
    }
    (outputs, now)
}

/// Returns an engine that has loaded the model `small`, and the time.
pub(crate) fn loaded(options: engine::Options) -> (engine::State, clock::Instant) {
    let mut state = engine::State::new(options);
    let start = clock::Instant::from_millis(1_000);
    state.order(start, load("first", "small", 1)).expect("room");
    let (_, now) = drain(&mut state, start);
    (state, now)
}

pub(crate) fn text(outputs: &[(engine::Ticket, engine::Output)], of: engine::Ticket) -> String {
    let own = outputs.iter().filter(|(ticket, _)| *ticket == of);
    own.filter_map(|(_, output)| match output {
        engine::Output::Token { text, .. } => Some(text.as_str()),
        _ => None,
    })
    .collect()
}

/// Guards against answers that are mixed up or cut when requests share a bounded batch.
#[test]
fn answers_are_whole_in_a_bounded_batch() {
    let (mut state, now) = loaded(engine::Options {
        max_batch: 3,
        ..Default::default()
    });
    let requests: Vec<_> = (0..8).map(|n| request(&format!("r{n}"))).collect();
    let tickets: Vec<_> = requests
        .iter()
        .map(|r| state.submit(now, r.clone()).expect("loaded"))
        .collect();
    let (outputs, _) = drain(&mut state, now);
    for (request, ticket) in requests.iter().zip(&tickets) {
        let whole = engine::expected("small", None, &request.prompt, 6).concat();
        assert_eq!(text(&outputs, *ticket), whole);
        assert!(outputs.contains(&(*ticket, engine::Output::End)));
    }
    assert_eq!(state.records().peak_batch, 3);
    assert!(state.records().executions.iter().all(|e| e.produced == 6));
}

/// Guards against batch jobs that are run before live requests.
#[test]
fn live_requests_overtake_waiting_batch_jobs() {
    let (mut state, now) = loaded(engine::Options {
        max_batch: 1,
        ..Default::default()
    });
    let mut tickets = Vec::new();
    for (id, priority) in [("running", 2), ("batch", 2), ("live", 0)] {
        let mut request = request(id);
        request.priority = priority;
        tickets.push(state.submit(now, request).expect("loaded"));
    }
    let (outputs, _) = drain(&mut state, now);
    let ends = outputs.iter().filter(|(_, o)| *o == engine::Output::End);
    let order: Vec<_> = ends.map(|(ticket, _)| *ticket).collect();
    assert_eq!(order, [tickets[0], tickets[2], tickets[1]]);
}

/// Guards against a resumed answer that repeats or skips a token, or that continues another request's text.
#[yare::parameterized(
    in_its_field = { true },
    in_the_prompt = { false },
)]
fn a_resumed_answer_continues_exactly(own_field: bool) {
    let (mut state, now) = loaded(engine::Options::default());
    let whole = engine::expected("small", None, &request("r").prompt, 6);
    let mut resumed = request("r");
    resumed.resume_at = 4;
    if own_field {
        resumed.resume_text = Some(whole[..4].concat());
    } else {
        resumed.prompt.push_str(&whole[..4].concat());
    }
    let ticket = state.submit(now, resumed.clone()).expect("loaded");
    let (outputs, now) = drain(&mut state, now);
    assert_eq!(text(&outputs, ticket), whole[4..].concat());
    resumed.resume_text = Some("another text".to_owned());
    let refused = state.submit(now, resumed);
    assert_eq!(refused, Err(engine::Error::ResumeMismatch));
}

/// Guards against a load beyond the memory that is accepted, or whose refusal is not told.
#[test]
fn a_full_memory_refuses_loads() {
    let options = engine::Options {
        memory_bytes: 2 * MODEL_BYTES,
        ..Default::default()
    };
    let (mut state, now) = loaded(options.clone());
    state.order(now, load("b", "second", 1)).expect("room");
    let refused = state.order(now, load("c", "third", 1));
    assert_eq!(refused, Err(engine::Error::OutOfMemory(MODEL_BYTES, 0)));
    assert_eq!(state.records().overcommits, 0);

    let (mut careless, now) = loaded(engine::Options {
        checks_memory: false,
        memory_bytes: MODEL_BYTES,
        ..options
    });
    careless
        .order(now, load("b", "second", 1))
        .expect("no check");
    let records = careless.records();
    assert_eq!(records.overcommits, 1);
    assert_eq!(records.peak_committed, 2 * MODEL_BYTES);
}

/// Guards against memory that counts as free while an unload or a request that uses the model runs.
#[test]
fn an_unload_waits_for_its_requests() {
    let (mut state, now) = loaded(engine::Options::default());
    let ticket = state.submit(now, request("r")).expect("loaded");
    let mut unload = load("u", "small", 1);
    unload.kind = engine::OrderKind::Unload;
    state.order(now, unload).expect("accepted");
    assert_eq!(state.report(now).used_bytes, MODEL_BYTES);
    assert!(state.submit(now, request("late")).is_err());
    let (outputs, now) = drain(&mut state, now);
    assert!(outputs.contains(&(ticket, engine::Output::End)));
    assert_eq!(state.report(now).used_bytes, 0);
}

/// Guards against an order sent again after a lost answer that loads twice.
#[test]
fn an_order_is_applied_once() {
    let (mut state, now) = loaded(engine::Options::default());
    state.order(now, load("first", "small", 1)).expect("known");
    state.order(now, load("first", "other", 1)).expect("known");
    let report = state.report(now);
    assert_eq!(report.models.len(), 1);
    assert_eq!(report.orders.len(), 1);
    assert_eq!(report.orders[0].state, engine::OrderState::Done);
}

/// Guards against an old placement that changes an engine which checks fencing numbers.
#[yare::parameterized(
    checked = { resource::Fencing::Checked, false },
    ignored = { resource::Fencing::Ignored, true },
)]
fn old_fencing_numbers(fencing: resource::Fencing, accepted: bool) {
    let (mut state, now) = loaded(engine::Options {
        fencing,
        ..Default::default()
    });
    state.order(now, load("new", "second", 7)).expect("room");
    let old = state.order(now, load("old", "third", 6));
    assert_eq!(old.is_ok(), accepted);
    assert_eq!(state.report(now).models.len(), if accepted { 3 } else { 2 });
}

/// Guards against a report that shows the present although the engine's reports lag.
#[test]
fn the_report_lags() {
    let lag = time::Duration::from_millis(500);
    let (mut state, now) = loaded(engine::Options {
        state_lag: lag,
        ..Default::default()
    });
    let before = state.report(now + (lag - time::Duration::from_millis(1)));
    assert_eq!(before.models[0].state, engine::ResidentState::Loading);
    let after = state.report(now + lag);
    assert_eq!(after.models[0].state, engine::ResidentState::Loaded);
    assert_eq!(after.taken_at_ms, now.as_micros() / 1_000);
}

/// Guards against a prefix cache that grows without bound, and against events without the published gaps and delay.
#[test]
fn the_prefix_cache_is_bounded_and_reports_late() {
    let delay = time::Duration::from_millis(300);
    let (mut state, now) = loaded(engine::Options {
        cache_blocks: 4,
        cache_event_delay: delay,
        cache_event_gap: 3,
        ..Default::default()
    });
    let mut long = request("r");
    long.prompt = "w ".repeat(engine::BLOCK_TOKENS * 2);
    state.submit(now, long.clone()).expect("loaded");
    state.submit(now, long.clone()).expect("loaded");
    assert_eq!(state.records().executions[1].cached_tokens, 32);
    long.prompt = "v ".repeat(engine::BLOCK_TOKENS * 3);
    state.submit(now, long).expect("loaded");
    assert_eq!(state.records().cache_blocks, 4);
    assert_eq!(state.cache_events(now, 0), []);
    let events = state.cache_events(now + delay, 0);
    let numbers: Vec<_> = events.iter().map(|e| e.seq).collect();
    assert_eq!(numbers, [1, 2, 4, 5]);

    let bytes = state.export(&events[1].prefix).expect("in the cache");
    let (mut other, now) = loaded(engine::Options::default());
    other.import(now, &bytes).expect("an export");
    assert!(other.records().cache_blocks > 0);
}
