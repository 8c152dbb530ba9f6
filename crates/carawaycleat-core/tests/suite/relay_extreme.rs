//! An entry host with numbers at their limits in requests and in the coordinator's view.

use carawaycleat_core::relay;

use crate::relay_fake;

/// Guards against a panic, which ends the process, at a sum of numbers that callers or the coordinator sent.
#[test]
fn extreme_numbers_do_not_end_the_process() {
    let mut harness = relay_fake::Harness::new();
    harness.register(relay_fake::registration("one", "models", &["small"]));
    let view = relay::View {
        epoch: 1,
        report_number: u64::MAX,
        grants: vec![(relay_fake::name("designers"), u32::MAX)],
        shares: Vec::new(),
        full: true,
        engines: vec![relay::EngineView {
            upstream: relay_fake::name("one"),
            models: vec![relay_fake::name("small")],
            loading: Vec::new(),
            unloading: Vec::new(),
            adapters: Vec::new(),
            other_requests: u32::MAX,
            usable_slots: u32::MAX,
            other_prompt_ms: u32::MAX,
            other_work_ms: u32::MAX,
        }],
        suspects: Vec::new(),
        ready_in_ms: vec![(relay_fake::name("small"), u64::MAX)],
        permits: vec![relay::Permit {
            upstream: relay_fake::name("one"),
            rate: f64::MAX,
            age_ms: u64::MAX,
            requests: u32::MAX,
        }],
        leaving: Vec::new(),
        loads: Vec::new(),
        cold: relay::ColdPermits::default(),
        connections: Vec::new(),
        overuse: None,
        backlogs: None,
    };
    let large = || relay::Request {
        tokens: Some((u64::MAX, u64::MAX)),
        ..relay_fake::request("/live/1")
    };
    let id = harness.arrive(relay_fake::request("/live/1"));
    assert!(harness.is_sent(id));
    for _ in 0..2 {
        harness.feed(relay::Event::ViewReceived(Box::new(view.clone())));
        harness.arrive(large());
        harness.advance(relay_fake::millis(50));
    }
    harness.respond(id, 200, false);
    harness.advance(relay_fake::millis(50));
}
