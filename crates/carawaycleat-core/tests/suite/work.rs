//! What hosts learn about the work of requests and upstreams.

use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::coordinator;
use carawaycleat_core::relay;
use carawaycleat_core::work;

use crate::coordinator as coordinator_suite;
use crate::relay_fake;

fn at(ms: u64) -> clock::Instant {
    clock::Instant::from_millis(100_000 + ms)
}

/// Guards against an estimate above the named maximum, one that ignores the model or the workspace, and one that keeps what was seen
/// long ago. Two models have 6 and 30 events of 8 tokens; another workspace's requests for the first one have 12.
#[yare::parameterized(
    model = { "small", "one", 400, 0, 6.0 },
    other_model = { "large", "one", 400, 0, 30.0 },
    workspace = { "small", "two", 400, 0, 12.0 },
    unseen_model_takes_the_mean_of_the_route = { "rare", "three", 400, 0, 16.0 },
    maximum = { "large", "one", 80, 0, 10.0 },
    old_samples_count_for_nothing = { "small", "one", 400, 120_000, 30.0 },
)]
fn estimate_follows_the_most_specific_samples(
    model: &str,
    workspace: &str,
    max_tokens: u64,
    later_ms: u64,
    expected: f64,
) {
    let mut estimator = work::Estimator::default();
    let (service, route) = (relay_fake::name("models"), relay_fake::name("live"));
    let mut record = |now, model: &str, workspace: &str, max_tokens, events| {
        let (model, workspace) = (relay_fake::name(model), relay_fake::name(workspace));
        let subject = work::Subject {
            service: &service,
            route: &route,
            model: Some(&model),
            adapter: None,
            workspace: Some(&workspace),
        };
        if events > 0 {
            estimator.record(now, &subject, Some(max_tokens), events);
        }
        estimator.expect(now, &subject, Some(max_tokens)).events
    };
    for ms in 0..40 {
        record(at(ms * 20), "small", "one", 400, 6);
        record(at(ms * 20), "large", "one", 240, 30);
        record(at(ms * 20), "small", "two", 400, 12);
    }
    let events = record(at(800 + later_ms), model, workspace, max_tokens, 0);
    let tolerance = expected * 0.15;
    assert!((events - expected).abs() <= tolerance, "{events}");
}

/// Guards against a model that counts as fast at a slow upstream because it was not seen there, and against an upstream that counts as
/// slow for longer than some seconds after it was slowed for half a second.
#[test]
fn pace_follows_the_upstream_and_forgets() {
    let mut pace = work::Pace::default();
    let names = ["models", "small", "rare", "slow", "usual"].map(relay_fake::name);
    let [service, small, rare, slow, usual] = &names;
    let key = |model, upstream| work::Key {
        service,
        model: Some(model),
        upstream,
    };
    let mut event = |ms, model, upstream, event_ms| {
        let elapsed = time::Duration::from_millis(event_ms);
        pace.record_events(at(ms), &key(model, upstream), 1, elapsed);
        pace.get(at(ms), &key(model, upstream)).1
    };
    for ms in (0..4_000).step_by(50) {
        event(ms, small, slow, 80);
        event(ms, small, usual, 40);
        event(ms, rare, usual, 20);
    }
    let slowed = (4_000..4_500)
        .step_by(50)
        .map(|ms| event(ms, small, usual, 160));
    let slowed: Vec<_> = slowed.collect();
    assert!(slowed[0] < 70.0, "one late event: {}", slowed[0]);
    assert!(slowed[9] > 80.0, "half a second: {}", slowed[9]);
    for ms in (4_500..6_000).step_by(50) {
        event(ms, small, usual, 40);
    }
    let after = event(6_000, small, usual, 40);
    assert!(after < 55.0, "{after}");
    let unseen = pace.get(at(6_000), &key(rare, slow)).1;
    assert!((30.0..60.0).contains(&unseen), "{unseen}");
}

/// Guards against hosts that do not learn of each other's work, and against work that never ends when reports are lost.
#[test]
fn view_has_the_work_of_other_hosts_counted_down() {
    let mut harness = coordinator_suite::Harness::new(&["small"]);
    harness.add_engine("one", &["small"]);
    let demand = relay::Demand {
        service: relay_fake::name("models"),
        model: relay_fake::name("small"),
        adapter: None,
        tokens: 0,
        waiting: 0,
    };
    let mut report = coordinator_suite::report("host-2", 1, demand);
    report.running = vec![(relay_fake::name("one"), 2)];
    report.work = vec![(relay_fake::name("one"), 60, 1_000)];
    harness.feed(coordinator::Event::Reported(Box::new(report)));
    let mut work_after = |millis, host: &str| {
        harness.advance(millis);
        let view = harness
            .reducer
            .respond(harness.now, &relay_fake::name(host));
        let engine: &relay::EngineView = view.engines.first().expect("one engine");
        (engine.other_prompt_ms, engine.other_work_ms)
    };
    assert_eq!(work_after(0, "host-1"), (60, 1_000));
    assert_eq!(work_after(0, "host-2"), (0, 0));
    assert_eq!(work_after(100, "host-1"), (0, 800));
    assert_eq!(work_after(900, "host-1"), (0, 500));
}
