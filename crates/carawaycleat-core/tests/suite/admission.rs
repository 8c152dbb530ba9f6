use std::collections;
use std::time;

use carawaycleat_core::admission;
use carawaycleat_core::clock;
use carawaycleat_core::request;
use proptest::prelude::*;

use super::routing as support;

const NEVER: clock::Instant = clock::Instant::from_millis(1_000_000_000);

fn request(id: u128, workspace: &str, class: admission::Class) -> admission::Request {
    admission::Request {
        id: request::Id::from_u128(id),
        workspace: support::name(workspace),
        model: None,
        adapter: None,
        class,
        tokens: 100,
        bytes: 1_000,
        deadline: NEVER,
    }
}

fn queue(policy: admission::Policy) -> admission::Queue {
    admission::Queue::new(admission::Limits {
        policy,
        ..admission::Limits::default()
    })
}

fn push(queue: &mut admission::Queue, millis: u64, request: admission::Request) {
    let now = clock::Instant::from_millis(millis);
    queue.push(now, request).expect("space in the queue");
}

/// The measured service of one workspace.
struct Service {
    /// The fraction of the requests that started before their deadlines.
    attainment: f64,
    wait_p95_ms: u64,
}

/// Simulates 600 s in which five workspaces send requests to one server.
///
/// At equal rates they use `percent` of its capacity. The first workspace sends at `factor` times that rate.
fn contend(policy: admission::Policy, percent: u64, factor: u64) -> Vec<Service> {
    const WORKSPACES: u64 = 5;
    const TOKENS_PER_MS: u64 = 5;
    const MEAN_TOKENS: u64 = 250;
    let mut random = fastrand::Rng::with_seed(11);
    let mut queue = queue(policy);
    let mut arrivals = collections::BTreeMap::new();
    let mut counts = [(0_u64, 0_u64); WORKSPACES as usize];
    let mut waits: Vec<Vec<u64>> = vec![Vec::new(); WORKSPACES as usize];
    let mut running: Option<(u64, u64)> = None;
    let mut id = 0;
    for millis in 1..600_000 {
        let now = clock::Instant::from_millis(millis);
        for workspace in 0..WORKSPACES {
            let rate = if workspace == 0 { factor } else { 1 };
            let mean_gap = MEAN_TOKENS * WORKSPACES * 100 / (TOKENS_PER_MS * percent);
            if random.u64(0..mean_gap) < rate {
                id += 1;
                counts[workspace as usize].1 += 1;
                arrivals.insert(id, millis);
                let mut request = request(id, &workspace.to_string(), admission::Class::Live);
                request.tokens = random.u64(50..=2 * MEAN_TOKENS - 50);
                request.deadline = clock::Instant::from_millis(millis + 2_000);
                let _refused = queue.push(now, request);
            }
        }
        queue.expire(now);
        if let Some((end, tokens)) = running
            && end <= millis
        {
            queue.record_served(now, None, None, tokens);
            running = None;
        }
        if running.is_none()
            && let Some(request) = queue.pop(now, |_| true)
        {
            running = Some((
                millis + request.tokens.div_ceil(TOKENS_PER_MS),
                request.tokens,
            ));
            let workspace: usize = request.workspace.parse().expect("a number");
            counts[workspace].0 += 1;
            waits[workspace].push(millis - arrivals[&request.id.as_u128()]);
        }
    }
    counts
        .iter()
        .zip(&mut waits)
        .map(|((served, sent), waits)| {
            waits.sort_unstable();
            Service {
                attainment: *served as f64 / *sent as f64,
                wait_p95_ms: waits.get(waits.len() * 95 / 100).copied().unwrap_or(0),
            }
        })
        .collect()
}

/// Guards against a workspace at five times its rate degrading the service of the others, as it does in a FIFO queue.
///
/// At 80% the waits of the others grow even if each gets its share, because a share amounts to a slower server.
#[yare::parameterized(
    at_70_percent = { 70, 2 },
    at_80_percent = { 80, 1 },
)]
fn one_workspace_at_five_times_its_rate_does_not_degrade_the_others(
    percent: u64,
    wait_factor: u64,
) {
    let measure = |policy| {
        let baseline = contend(policy, percent, 1);
        let contended = contend(policy, percent, 5);
        let others = || baseline.iter().zip(&contended).skip(1);
        let kept = others().map(|(before, after)| after.attainment / before.attainment);
        let kept = kept.fold(f64::INFINITY, f64::min);
        let waits = |services: &[Service]| {
            services[1..]
                .iter()
                .map(|service| service.wait_p95_ms)
                .max()
        };
        let waits = (
            waits(&baseline).unwrap_or(0),
            waits(&contended).unwrap_or(0),
        );
        println!(
            "{policy:?} at {percent}%: worst other workspace keeps {kept:.3}, p95 wait {} ms -> {} ms",
            waits.0, waits.1
        );
        (kept, waits.1)
    };
    let (fair, fair_wait) = measure(admission::Policy::Fair);
    let (fifo, fifo_wait) = measure(admission::Policy::Fifo);
    assert!(fair >= 0.9, "fair keeps {fair}");
    assert!(
        fifo < 0.9,
        "FIFO keeps {fifo}, so the scenario does not show the fault"
    );
    assert!(
        fair_wait * wait_factor < fifo_wait,
        "{fair_wait} against {fifo_wait} ms"
    );
}

/// Guards against a model without capacity delaying the requests for other models, as it does in a FIFO queue.
#[yare::parameterized(
    fair = { admission::Policy::Fair, Some(3) },
    fifo = { admission::Policy::Fifo, None },
)]
fn a_blocked_model_does_not_block_others(policy: admission::Policy, expected: Option<u128>) {
    let mut queue = queue(policy);
    for (id, model) in [(1, "full"), (2, "full"), (3, "free")] {
        let mut request = request(id, "w", admission::Class::Live);
        request.model = Some(support::name(model));
        push(&mut queue, 0, request);
    }
    let mut calls = 0;
    let popped = queue.pop(clock::Instant::default(), |request| {
        calls += 1;
        request.model.as_deref() == Some("free")
    });
    assert_eq!(popped.map(|request| request.id.as_u128()), expected);
    assert!(calls <= 2, "`can_run` was called again for a refused model");
}

/// Guards against batch requests overtaking urgent ones, and against batch requests waiting without bound.
#[yare::parameterized(
    young = { 29_999, &[3, 2, 1] },
    aged = { 30_000, &[3, 1, 2] },
)]
fn classes_leave_in_order(age_ms: u64, expected: &[u128]) {
    let mut queue = queue(admission::Policy::Fair);
    let now = clock::Instant::from_millis(age_ms);
    push(&mut queue, 0, request(1, "w", admission::Class::Batch));
    push(&mut queue, age_ms, request(2, "w", admission::Class::Short));
    push(&mut queue, age_ms, request(3, "w", admission::Class::Live));
    let order: Vec<_> = std::iter::from_fn(|| queue.pop(now, |_| true)).collect();
    let order: Vec<_> = order.iter().map(|request| request.id.as_u128()).collect();
    assert_eq!(order, expected);
}

/// Guards against ignoring the weights of workspaces.
#[test]
fn tokens_are_shared_by_weight() {
    let mut queue = queue(admission::Policy::Fair);
    queue.set_weight(support::name("b"), 3);
    for id in 0..200 {
        push(&mut queue, 0, request(id, "a", admission::Class::Live));
        push(&mut queue, 0, request(id, "b", admission::Class::Live));
    }
    let pop = || queue.pop(clock::Instant::default(), |_| true);
    let popped = std::iter::from_fn(pop).take(160);
    let heavy = popped.filter(|request| &*request.workspace == "b").count();
    assert!((115..=125).contains(&heavy), "{heavy} of 160, expected 3/4");
}

/// Guards against a workspace that saves credit while its model has no capacity, and then delays the others.
#[test]
fn a_blocked_workspace_saves_no_credit() {
    let mut queue = queue(admission::Policy::Fair);
    for id in 0..200 {
        push(
            &mut queue,
            0,
            request(id, "blocked", admission::Class::Live),
        );
        push(&mut queue, 0, request(id, "free", admission::Class::Live));
    }
    let now = clock::Instant::default();
    (0..150).for_each(|_| drop(queue.pop(now, |request| &*request.workspace == "free")));
    let popped = std::iter::from_fn(|| queue.pop(now, |_| true)).take(40);
    let free = popped
        .filter(|request| &*request.workspace == "free")
        .count();
    assert!(free >= 12, "{free} of 40, expected a half less one round");
}

/// Guards against queueing requests that are bound to miss their deadlines. Without a measured rate they are accepted.
#[yare::parameterized(
    measured = { true, false },
    unmeasured = { false, true },
)]
fn an_unreachable_deadline_is_refused_at_once(is_measured: bool, accepted: bool) {
    let mut queue = queue(admission::Policy::Fair);
    let at = |seconds: u64| clock::Instant::from_millis(seconds * 1_000);
    // Tokens served while no requests are queued do not count for the rate.
    queue.record_served(at(0), None, None, 1_000_000);
    for id in 0..20 {
        push(&mut queue, 0, request(id, "w", admission::Class::Live));
    }
    if is_measured {
        (1..=4).for_each(|second| queue.record_served(at(second), None, None, 100));
    }
    // 2,000 tokens are queued before it, at about 100 per second.
    let mut late = request(99, "w", admission::Class::Live);
    late.deadline = at(14);
    let pushed = queue.push(at(4), late.clone());
    assert_eq!(pushed.is_ok(), accepted, "{pushed:?}");
    if let Err(refusal) = pushed {
        assert_eq!(refusal.outcome().as_str(), "not_run");
        late.workspace = support::name("idle");
        late.deadline = at(12);
        // The estimated wait of a workspace depends on its own backlog and share; this one has no backlog.
        push(&mut queue, 4_000, late);
    }
}

/// Guards against refusing requests for other models with `deadline_unreachable` although engines are idle, while
/// requests for a model that no upstream holds are queued.
#[test]
fn a_model_that_no_upstream_holds_does_not_block_others() {
    let mut queue = queue(admission::Policy::Fair);
    let of = |id, model: &str, seconds: u64| admission::Request {
        model: Some(support::name(model)),
        deadline: clock::Instant::from_millis(seconds * 1_000),
        ..request(id, "w", admission::Class::Live)
    };
    for id in 0..100 {
        push(&mut queue, 0, of(id, "missing", 1_000));
    }
    let is_held = |request: &admission::Request| request.model.as_deref() == Some("held");
    let held = support::name("held");
    for second in 1..20_u64 {
        push(
            &mut queue,
            second * 1_000,
            of(1_000 + u128::from(second), "held", second + 1),
        );
        let now = clock::Instant::from_millis(second * 1_000);
        assert!(queue.pop(now, is_held).is_some());
        queue.record_served(now, Some(&held), None, 10);
    }
    // A request that an upstream can run at once is accepted whatever is queued for the same model.
    queue.record_served(
        clock::Instant::from_millis(20_000),
        Some(&support::name("missing")),
        None,
        1,
    );
    let now = clock::Instant::from_millis(20_000);
    assert!(queue.push(now, of(2_000, "missing", 25)).is_err());
    assert!(queue.push_ready(now, of(2_001, "missing", 25)).is_ok());
}

proptest! {
    #![proptest_config(support::seeded(256))]

    /// Guards against requests that are lost, returned twice or returned late, and against exceeding the limits.
    #[test]
    fn each_request_is_returned_exactly_once(steps in prop::collection::vec((0..13_u8, 0..3_u8, 0..3_usize, 0..5_000_u64, 0..40_usize, 1..2_000_u64), 1..120)) {
        let limits = admission::Limits { max_requests: 8, max_bytes: 100, ..admission::Limits::default() };
        let mut queue = admission::Queue::new(limits);
        let mut waiting: collections::BTreeMap<u128, admission::Request> = collections::BTreeMap::new();
        let mut millis = 1;
        for (id, (action, workspace, class, tokens, bytes, span)) in steps.into_iter().enumerate() {
            let now = clock::Instant::from_millis(millis);
            let workspace = workspace.to_string();
            let mut returned = Vec::new();
            match action {
                0..6 => {
                    let mut request = request(id as u128, &workspace, admission::Class::ALL[class]);
                    (request.tokens, request.bytes) = (tokens, bytes);
                    request.deadline = now + time::Duration::from_millis(span);
                    let own = waiting.values().filter(|other| *other.workspace == *workspace);
                    let (count, held) = own.fold((0, 0), |(count, held), other| (count + 1, held + other.bytes));
                    let has_space = count < 8 && held + bytes <= 100;
                    prop_assert_eq!(queue.push(now, request.clone()).is_ok(), has_space);
                    if has_space {
                        waiting.insert(id as u128, request);
                    }
                }
                6..10 => {
                    // In one of three cases the requests of all workspaces can run.
                    let can_run = |request: &admission::Request| class == 0 || *request.workspace != *workspace;
                    let runnable = waiting.values().any(|request| can_run(request) && request.deadline > now);
                    let popped = queue.pop(now, can_run);
                    prop_assert_eq!(popped.is_some(), runnable);
                    prop_assert!(popped.iter().all(|request| can_run(request) && request.deadline > now));
                    returned.extend(popped);
                }
                10 => {
                    millis += span;
                    let now = clock::Instant::from_millis(millis);
                    returned = queue.expire(now);
                    let due = waiting.values().filter(|request| request.deadline <= now).count();
                    prop_assert_eq!(returned.len(), due);
                }
                11 => returned.extend(queue.remove(now, request::Id::from_u128(bytes as u128))),
                _ => returned = queue.remove_where(now, |request| *request.workspace == *workspace),
            }
            for request in returned {
                prop_assert_eq!(waiting.remove(&request.id.as_u128()), Some(request));
            }
            prop_assert_eq!(queue.len(), waiting.len());
            prop_assert_eq!(queue.bytes(), waiting.values().map(|request| request.bytes).sum::<usize>());
            for workspace in ["0", "1", "2"] {
                let own = || waiting.values().filter(|request| &*request.workspace == workspace);
                prop_assert!(own().count() <= 8 && own().map(|request| request.bytes).sum::<usize>() <= 100);
            }
        }
    }
}
