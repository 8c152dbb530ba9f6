use std::time;

use carawaycleat_core::entry;
use carawaycleat_core::name;
use carawaycleat_core::outcome;
use carawaycleat_core::routing;

use super::entry_fake as fake;
use super::routing as support;

/// Guards against a silent attempt that is ended before another one has brought a part of the response, and against a
/// response that is cut when that one fails.
#[yare::parameterized(
    full = { 0, Some(fake::FULL) },
    unconnected = { 0, Some(fake::UNCONNECTED) },
    refused = { 0, Some(fake::REFUSED) },
    broken = { 0, Some(fake::BROKEN) },
    silent = { 0, None },
    begun_full = { 3, Some(fake::FULL) },
    begun_unconnected = { 3, Some(fake::UNCONNECTED) },
    begun_refused = { 3, Some(fake::REFUSED) },
    begun_broken = { 3, Some(fake::BROKEN) },
    begun_silent = { 3, None },
)]
fn silent_attempt_goes_on_while_another_one_fails(begun: u64, second: Option<fake::Failure>) {
    let mut host = fake::Host::new(2, 64);
    let id = host.arrive(fake::MODELS, "POST");
    host.deliver(id, 0, true, 0..begun);
    host.run(fake::SILENCE_MS);
    assert_eq!(
        host.requests[&id].dispatched.len(),
        2,
        "no second attempt at a silent request"
    );
    assert_eq!(host.requests[&id].dispatched[1].2, begun);
    host.progress(id, 1, entry::Progress::Started);
    if let Some(failure) = second {
        host.fail(id, 1, failure);
    }
    host.run(fake::SILENCE_MS);
    assert!(
        !host.requests[&id].cancelled.contains(&host.attempt(id, 0)),
        "the first attempt was ended"
    );
    host.deliver(id, 0, true, begun..fake::LENGTH);
    host.end(id, 0);
    host.assert_served(id);
}

/// Guards against two attempts that both bring the response, and against a head, or a request that was sent, that ends the
/// earlier attempt.
#[test]
fn first_part_ends_the_other_attempt() {
    let mut host = fake::Host::new(2, 64);
    let id = host.arrive(fake::MODELS, "POST");
    host.deliver(id, 0, true, 0..3);
    host.run(fake::SILENCE_MS);
    host.progress(id, 1, entry::Progress::Started);
    assert_eq!(host.requests[&id].cancelled, []);
    host.deliver(id, 1, true, 3..4);
    assert_eq!(host.requests[&id].cancelled, [host.attempt(id, 0)]);
    host.deliver(id, 0, true, 3..4);
    host.deliver(id, 1, true, 4..fake::LENGTH);
    host.end(id, 1);
    host.assert_served(id);
}

/// Guards against a refusal as not run after two attempts of which one may have run.
#[test]
fn refusal_counts_the_silent_attempt() {
    let mut host = fake::Host::new(2, 64);
    let id = host.arrive(fake::SERVICE, "GET");
    host.progress(id, 0, entry::Progress::Started);
    host.run(fake::SILENCE_MS);
    host.fail(id, 1, fake::FULL);
    host.run(fake::LIMIT_MS);
    let refused = host.requests[&id].refused.expect("the limit has passed");
    assert_eq!(refused.1, outcome::Outcome::Unknown);
}

/// Guards against an attempt that is given up although no other one may follow.
#[yare::parameterized(
    service_after_its_head = { fake::SERVICE, "GET", 2, 2, 1 },
    non_idempotent = { fake::SERVICE, "PUT", 2, 0, 1 },
    non_idempotent_after_its_head = { fake::SERVICE, "PUT", 2, 2, 1 },
    only_upstream = { fake::MODELS, "POST", 1, 3, 1 },
    only_upstream_before_the_first_token = { fake::MODELS, "POST", 1, 0, 1 },
    without_budget = { fake::MODELS, "POST", 2, 3, 1 },
)]
fn silent_attempt_goes_on_without_another_one(
    route: &str,
    method: &str,
    upstreams: usize,
    begun: u64,
    dispatched: usize,
) {
    let mut host = fake::Host::new(upstreams, 64);
    if route == fake::MODELS && upstreams > 1 {
        host.use_up_budget();
    }
    let id = host.arrive(route, method);
    host.progress(id, 0, entry::Progress::Started);
    host.deliver(id, 0, route == fake::MODELS, 0..begun);
    host.run(fake::SILENCE_MS);
    assert_eq!(host.requests[&id].refused, None, "refused while silent");
    assert_eq!(host.requests[&id].dispatched.len(), dispatched);
    let from = if begun == 0 { 0 } else { begun };
    host.deliver(id, 0, route == fake::MODELS, from..fake::LENGTH);
    host.end(id, 0);
    host.assert_served(id);
}

/// Guards against a later configuration that ends a response under way.
#[yare::parameterized(silent = { true }, steady = { false })]
fn response_outlives_its_configuration(silent: bool) {
    let mut host = fake::Host::new(2, 64);
    let id = host.arrive(fake::MODELS, "POST");
    host.deliver(id, 0, true, 0..3);
    host.remove_configuration();
    if silent {
        host.run(fake::SILENCE_MS);
    }
    host.deliver(id, 0, true, 3..fake::LENGTH);
    host.end(id, 0);
    host.assert_served(id);
}

/// Guards against an upstream that is kept without requests for long because it did not accept connections in time, and
/// against one that refuses them and still gets requests.
#[yare::parameterized(
    unconnected = { fake::UNCONNECTED, 8, 20 },
    refused = { fake::REFUSED, 1, 5 },
)]
fn unconnected_upstream_is_not_a_refusing_one(failure: fake::Failure, least: usize, most: usize) {
    let mut host = fake::Host::new(2, 64);
    let mut failed = 0;
    for _ in 0..20 {
        let id = host.arrive(fake::SERVICE, "GET");
        if host.requests[&id].dispatched[0].1 == 0 {
            host.fail(id, 0, failure);
            failed += 1;
        }
        host.step(entry::Event::CallerDisconnected(id));
        host.run(1_100);
    }
    assert!((least..=most).contains(&failed), "{failed} of 20 requests");
}

/// Guards against an upstream that gets no requests although its silence has ended.
#[test]
fn progress_ends_the_ejection_for_silence() {
    let mut table = routing::Table::new(routing::Policy {
        base_ejection: time::Duration::from_secs(60),
        ..routing::Policy::default()
    });
    table.configure(&support::snapshot(1, 2, |_, _| {}));
    let (model, group, zone) = (support::name("m"), support::name("g"), support::name("a"));
    let excluded: [name::Name; 0] = [];
    let criteria = routing::Criteria {
        model: Some(&model),
        adapter: None,
        group: &group,
        prefixes: &[],
        zone: &zone,
        exclude: &excluded,
    };
    table.record_start(
        support::at(0),
        support::id(1),
        &support::name("u0"),
        &criteria,
    );
    table.record_first_token(support::at(10), support::id(1));
    assert_eq!(table.detect_stalls(support::at(1_500)).len(), 1);
    let reports = |table: &mut routing::Table, at, sequence| {
        for upstream in ["u0", "u1"] {
            table.apply_report(support::at(at), support::report(upstream, sequence));
        }
    };
    reports(&mut table, 1_500, 1);
    let picks_first = |table: &mut routing::Table, at: u64| {
        let mut random = fastrand::Rng::with_seed(1);
        (0..64).any(|_| {
            let picked = table.pick(support::at(at), &criteria, &mut || random.u64(..));
            picked == Ok(support::name("u0"))
        })
    };
    assert!(!picks_first(&mut table, 1_600), "not ejected");
    table.record_token(support::at(1_700), support::id(1));
    table.record_success(support::at(1_700), support::id(1));
    assert!(picks_first(&mut table, 1_800), "still ejected");
    assert_eq!(table.detect_stalls(support::at(1_800)).len(), 0);
}
