//! Allowances of workspaces over all hosts.

use carawaycleat_core::clock;
use carawaycleat_core::relay;

use crate::relay_fake;

const START: clock::Instant = clock::Instant::from_millis(10_000);

/// Guards against hosts that together use more than the rate and burst: each sends as much as it can for eight seconds
/// with an equal share.
#[test]
fn shares_of_all_hosts_stay_within_the_allowance() {
    let (rate, burst) = (10_000, 10_000);
    let mut spent = 0;
    for _ in 0..5 {
        let mut allowance = relay::Allowance::new(START, rate, burst, 0.2);
        for step in 0..8_000 {
            let now = START + relay_fake::millis(step);
            if allowance.take(now, 100).is_ok() {
                spent += 100;
            }
        }
    }
    assert!(spent <= 8 * rate + burst, "{spent} tokens");
    assert!(spent >= 8 * rate, "{spent} tokens");
}

/// Guards against a request that can never pass because it is larger than a host's share of the burst.
#[test]
fn large_request_passes_and_delays_later_ones() {
    let mut allowance = relay::Allowance::new(START, 1_000, 1_000, 0.2);
    let now = START + relay_fake::millis(2_000);
    assert!(allowance.take(now, 2_000).is_ok());
    let retry_after = allowance.take(now, 100).expect_err("used up");
    assert!(retry_after >= relay_fake::millis(9_000), "{retry_after:?}");
}

/// Guards against refused callers that all get the same `Retry-After`.
#[test]
fn refused_callers_get_increasing_retry_after() {
    let mut allowance = relay::Allowance::new(START, 1_000, 1_000, 1.0);
    while allowance.take(START, 100).is_ok() {}
    let first = allowance.take(START, 500).expect_err("used up");
    let second = allowance.take(START, 500).expect_err("used up");
    assert!(second >= first + relay_fake::millis(400));
}

/// Guards against a lowered allowance that takes effect only after the old burst is used.
#[test]
fn lowered_allowance_cuts_the_level() {
    let mut allowance = relay::Allowance::new(START, 100_000, 100_000, 1.0);
    let now = START + relay_fake::millis(1_000);
    allowance.update(now, 1_000, 1_000, 1.0);
    assert!(allowance.take(now, 1_000).is_ok());
    assert!(allowance.take(now, 1_000).is_err());
}

/// Guards against refusals in the first second because an allowance begins to refill only with its first request.
#[test]
fn allowance_fills_before_the_first_request() {
    let mut harness = relay_fake::Harness::new();
    harness.feed(relay::Event::Configured(Box::new(relay_fake::config(
        2, 1_000,
    ))));
    harness.register(relay_fake::registration("one", "plain", &[]));
    harness.advance(relay_fake::millis(2_000));
    for _ in 0..9 {
        let id = harness.arrive(relay_fake::request("/read/1"));
        assert!(harness.is_sent(id));
        harness.respond(id, 200, false);
    }
}

/// Guards against tokens that stay charged for requests which did not run.
#[test]
fn tokens_of_an_unrun_request_are_refunded() {
    let mut harness = relay_fake::Harness::new();
    harness.feed(relay::Event::Configured(Box::new(relay_fake::config(
        2, 1_000,
    ))));
    harness.advance(relay_fake::millis(1_000));
    for _ in 0..30 {
        // Without an upstream, each request waits until it is refused.
        let id = harness.arrive(relay_fake::request("/read/1"));
        harness.advance(relay_fake::millis(1_300));
        assert_eq!(harness.refusal(id).reason, relay::Reason::NoUpstream);
    }
}

/// Guards against refusals at a host that gets most of a workspace's requests: the share in the coordinator's view is
/// larger.
#[test]
fn share_of_the_coordinator_is_used_while_it_is_fresh() {
    let mut harness = relay_fake::Harness::new();
    harness.feed(relay::Event::HostsChanged(10));
    harness.feed(relay::Event::Configured(Box::new(relay_fake::config(
        2, 1_000,
    ))));
    harness.register(relay_fake::registration("one", "plain", &[]));
    let view = relay::View {
        epoch: 1,
        report_number: 0,
        grants: Vec::new(),
        shares: vec![share(0.9, 0.9)],
        full: true,
        engines: Vec::new(),
        suspects: Vec::new(),
        ready_in_ms: Vec::new(),
        permits: Vec::new(),
        leaving: Vec::new(),
        loads: Vec::new(),
        cold: relay::ColdPermits::default(),
        connections: Vec::new(),
        overuse: None,
        backlogs: None,
    };
    harness.feed(relay::Event::ViewReceived(Box::new(view)));
    let mut served = 0;
    let mut pending = Vec::new();
    for _ in 0..20 {
        harness.advance(relay_fake::millis(100));
        pending.push(harness.arrive(relay_fake::request("/read/1")));
        let sent: Vec<_> = pending.extract_if(.., |id| harness.is_sent(*id)).collect();
        for id in sent {
            served += 1;
            harness.respond(id, 200, false);
        }
    }
    assert!(served >= 16, "{served} of 20");
}

fn share(with_coordinator: f64, without_coordinator: f64) -> relay::Share {
    relay::Share {
        workspace: relay_fake::name("designers"),
        with_coordinator,
        without_coordinator,
    }
}

/// Returns a host with a coordinator whose share of the allowance is smaller than one request, and is used up.
pub(crate) fn host_without_tokens() -> relay_fake::Harness {
    let mut harness = relay_fake::Harness::new();
    harness.feed(relay::Event::HostsChanged(100));
    harness.feed(relay::Event::Configured(Box::new(relay_fake::config(
        2, 1_000,
    ))));
    harness.register(relay_fake::registration("one", "plain", &[]));
    harness.feed(relay::Event::ViewReceived(Box::new(view(0, 0))));
    let id = harness.arrive(relay_fake::request("/read/1"));
    if harness.is_sent(id) {
        harness.respond(id, 200, false);
    }
    harness
}

pub(crate) fn view(report_number: u64, granted: u32) -> relay::View {
    relay::View {
        epoch: 1,
        report_number,
        grants: vec![(relay_fake::name("designers"), granted)],
        shares: vec![share(0.001, 0.001)],
        full: true,
        engines: Vec::new(),
        suspects: Vec::new(),
        ready_in_ms: Vec::new(),
        permits: Vec::new(),
        leaving: Vec::new(),
        loads: Vec::new(),
        cold: relay::ColdPermits::default(),
        connections: Vec::new(),
        overuse: None,
        backlogs: None,
    }
}

/// Guards against refusals within the allowance because each host's share is smaller than one request.
#[test]
fn tokens_are_requested_from_the_coordinator() {
    let mut harness = host_without_tokens();
    let first = harness.arrive(relay_fake::request("/read/1"));
    let second = harness.arrive(relay_fake::request("/read/1"));
    assert!(harness.last_command(first).is_none() && harness.last_command(second).is_none());
    let report = harness.reducer.report(harness.now, false);
    let requested: Vec<_> = report
        .token_requests
        .iter()
        .map(|(_, tokens)| *tokens)
        .collect();
    assert!(requested.ends_with(&[100, 100]), "{requested:?}");
    let before = u32::try_from(requested.len()).expect("a small number") - 2;
    harness.feed(relay::Event::ViewReceived(Box::new(view(
        report.number,
        before + 1,
    ))));
    assert!(harness.is_sent(first));
    assert_eq!(harness.refusal(second).status(), 429);
}

/// Guards against grants for one report that are applied to requests of a later one.
#[test]
fn response_to_an_earlier_report_refuses_nothing() {
    let mut harness = host_without_tokens();
    let earlier = harness.reducer.report(harness.now, false).number;
    let id = harness.arrive(relay_fake::request("/read/1"));
    harness.feed(relay::Event::ViewReceived(Box::new(view(earlier, 0))));
    assert!(harness.last_command(id).is_none());
}

/// Guards against a caller that waits for a coordinator which does not respond.
#[test]
fn wait_for_tokens_is_bounded() {
    let mut harness = host_without_tokens();
    let id = harness.arrive(relay_fake::request("/read/1"));
    harness.advance(relay_fake::millis(300));
    assert_eq!(harness.refusal(id).status(), 429);
}

/// Guards against a host without a coordinator whose requests wait for tokens: it uses its equal share and refuses the
/// rest.
#[test]
fn host_without_a_coordinator_refuses_at_once() {
    let mut harness = host_without_tokens();
    harness.advance(relay_fake::millis(3_000));
    let ids: Vec<_> = (0..3)
        .map(|_| harness.arrive(relay_fake::request("/read/1")))
        .collect();
    assert_eq!(harness.refusal(ids[2]).status(), 429);
}

/// Most requests of a workspace come to one of many hosts, and the coordinator's machine is lost. Guards against
/// refusals far within the allowance until there is another coordinator.
#[test]
fn host_without_a_coordinator_uses_a_share_that_follows_its_demand() {
    let mut harness = relay_fake::Harness::new();
    harness.feed(relay::Event::HostsChanged(100));
    harness.feed(relay::Event::Configured(Box::new(relay_fake::config(
        2, 1_000,
    ))));
    harness.register(relay_fake::registration("one", "plain", &[]));
    let mut last = view(0, 0);
    last.shares = vec![share(0.001, 0.8)];
    harness.feed(relay::Event::ViewReceived(Box::new(last)));
    let mut served = 0;
    for _ in 0..20 {
        harness.advance(relay_fake::millis(150));
        let id = harness.arrive(relay_fake::request("/read/1"));
        harness.advance(relay_fake::millis(350));
        if harness.is_sent(id) {
            served += 1;
            harness.respond(id, 200, false);
        }
    }
    // Each request costs 100 tokens, and 200 tokens per second are requested.
    assert!(served >= 18, "{served} of 20");
}
