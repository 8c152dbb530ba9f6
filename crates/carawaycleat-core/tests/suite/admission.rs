use std::collections;
use std::time;

use carawaycleat_core::admission;
use carawaycleat_core::clock;
use carawaycleat_core::request;
use proptest::prelude::*;

use super::routing as support;

const NEVER: clock::Instant = clock::Instant::from_millis(1_000_000_000);

fn ticket(id: u128, workspace: &str, class: admission::Class) -> admission::Request {
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

fn push(queue: &mut admission::Queue, millis: u64, ticket: admission::Request) {
    let now = clock::Instant::from_millis(millis);
    queue.push(now, ticket).expect("room");
}

/// The attainment and the 95th percentile of the wait of one workspace.
struct Level {
    attainment: f64,
    wait_p95_ms: u64,
}

/// Runs 600 s in which five workspaces send at equal rates, the first times `factor`, to one server that equal rates
/// load to `percent`.
fn contend(policy: admission::Policy, percent: u64, factor: u64) -> Vec<Level> {
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
                let mut ticket = ticket(id, &workspace.to_string(), admission::Class::Live);
                ticket.tokens = random.u64(50..=2 * MEAN_TOKENS - 50);
                ticket.deadline = clock::Instant::from_millis(millis + 2_000);
                let _refused = queue.push(now, ticket);
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
            && let Some(ticket) = queue.pop(now, |_| true)
        {
            running = Some((
                millis + ticket.tokens.div_ceil(TOKENS_PER_MS),
                ticket.tokens,
            ));
            let workspace: usize = ticket.workspace.parse().expect("a number");
            counts[workspace].0 += 1;
            waits[workspace].push(millis - arrivals[&ticket.id.as_u128()]);
        }
    }
    counts
        .iter()
        .zip(&mut waits)
        .map(|((served, sent), waits)| {
            waits.sort_unstable();
            Level {
                attainment: *served as f64 / *sent as f64,
                wait_p95_ms: waits.get(waits.len() * 95 / 100).copied().unwrap_or(0),
            }
        })
        .collect()
}

/// Guards against a workspace at five times its rate taking service from the others, as it does with one queue.
///
/// At 80% the wait of the others grows even when each gets its share, since a share is a slower server.
#[yare::parameterized(
    at_70_percent = { 70, 2 },
    at_80_percent = { 80, 1 },
)]
fn one_workspace_at_five_times_its_rate_does_not_move_the_others(percent: u64, wait_factor: u64) {
    let measure = |policy| {
        let alone = contend(policy, percent, 1);
        let contended = contend(policy, percent, 5);
        let others = || alone.iter().zip(&contended).skip(1);
        let kept = others().map(|(before, after)| after.attainment / before.attainment);
        let kept = kept.fold(f64::INFINITY, f64::min);
        let waits = |levels: &[Level]| levels[1..].iter().map(|level| level.wait_p95_ms).max();
        let waits = (waits(&alone).unwrap_or(0), waits(&contended).unwrap_or(0));
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
        "the baseline keeps {fifo} and does not show the fault"
    );
    assert!(
        fair_wait * wait_factor < fifo_wait,
        "{fair_wait} against {fifo_wait} ms"
    );
}

/// Guards against a model without capacity delaying the requests for other models, as it does with one queue.
#[yare::parameterized(
    fair = { admission::Policy::Fair, Some(3) },
    fifo = { admission::Policy::Fifo, None },
)]
fn a_blocked_model_does_not_block_others(policy: admission::Policy, expected: Option<u128>) {
    let mut queue = queue(policy);
    for (id, model) in [(1, "full"), (2, "full"), (3, "free")] {
        let mut ticket = ticket(id, "w", admission::Class::Live);
        ticket.model = Some(support::name(model));
        push(&mut queue, 0, ticket);
    }
    let mut asked = 0;
    let popped = queue.pop(clock::Instant::default(), |ticket| {
        asked += 1;
        ticket.model.as_deref() == Some("free")
    });
    assert_eq!(popped.map(|ticket| ticket.id.as_u128()), expected);
    assert!(asked <= 2, "a refused model was asked for again");
}

/// Guards against Batch overtaking urgent work and against it waiting without bound.
#[yare::parameterized(
    young = { 29_999, &[3, 2, 1] },
    aged = { 30_000, &[3, 1, 2] },
)]
fn classes_leave_in_order(age_ms: u64, expected: &[u128]) {
    let mut queue = queue(admission::Policy::Fair);
    let now = clock::Instant::from_millis(age_ms);
    push(&mut queue, 0, ticket(1, "w", admission::Class::Batch));
    push(&mut queue, age_ms, ticket(2, "w", admission::Class::Short));
    push(&mut queue, age_ms, ticket(3, "w", admission::Class::Live));
    let order: Vec<_> = std::iter::from_fn(|| queue.pop(now, |_| true)).collect();
    let order: Vec<_> = order.iter().map(|ticket| ticket.id.as_u128()).collect();
    assert_eq!(order, expected);
}

/// Guards against weights being ignored.
#[test]
fn tokens_are_shared_by_weight() {
    let mut queue = queue(admission::Policy::Fair);
    queue.set_weight(support::name("b"), 3);
    for id in 0..200 {
        push(&mut queue, 0, ticket(id, "a", admission::Class::Live));
        push(&mut queue, 0, ticket(id, "b", admission::Class::Live));
    }
    let pop = || queue.pop(clock::Instant::default(), |_| true);
    let popped = std::iter::from_fn(pop).take(160);
    let heavy = popped.filter(|ticket| &*ticket.workspace == "b").count();
    assert!((115..=125).contains(&heavy), "{heavy} of 160 for 3/4");
}

/// Guards against a workspace that saves credit while its model has no capacity and then holds up the others.
#[test]
fn a_blocked_workspace_saves_no_credit() {
    let mut queue = queue(admission::Policy::Fair);
    for id in 0..200 {
        push(&mut queue, 0, ticket(id, "blocked", admission::Class::Live));
        push(&mut queue, 0, ticket(id, "free", admission::Class::Live));
    }
    let now = clock::Instant::default();
    (0..150).for_each(|_| drop(queue.pop(now, |ticket| &*ticket.workspace == "free")));
    let popped = std::iter::from_fn(|| queue.pop(now, |_| true)).take(40);
    let free = popped.filter(|ticket| &*ticket.workspace == "free").count();
    assert!(free >= 12, "{free} of 40 for a half less one round");
}

/// Guards against requests that wait only to miss their deadline; without a measured rate they are accepted.
#[yare::parameterized(
    measured = { true, false },
    unmeasured = { false, true },
)]
fn an_unreachable_deadline_is_refused_at_once(is_measured: bool, accepted: bool) {
    let mut queue = queue(admission::Policy::Fair);
    let at = |seconds: u64| clock::Instant::from_millis(seconds * 1_000);
    // What is served while nothing waits shows no rate.
    queue.record_served(at(0), None, None, 1_000_000);
    for id in 0..20 {
        push(&mut queue, 0, ticket(id, "w", admission::Class::Live));
    }
    if is_measured {
        (1..=4).for_each(|second| queue.record_served(at(second), None, None, 100));
    }
    // 2,000 tokens at about 100 a second are ahead of it.
    let mut late = ticket(99, "w", admission::Class::Live);
    late.deadline = at(14);
    let pushed = queue.push(at(4), late.clone());
    assert_eq!(pushed.is_ok(), accepted, "{pushed:?}");
    if let Err(refusal) = pushed {
        assert_eq!(refusal.outcome().as_str(), "not_run");
        late.workspace = support::name("idle");
        late.deadline = at(12);
        // A workspace without a backlog waits for its own share only.
        push(&mut queue, 4_000, late);
    }
}

/// Guards against requests for a model that no upstream holds: while they wait, requests for others were refused with
/// `deadline_unreachable` beside idle engines.
#[test]
fn a_model_that_no_upstream_holds_does_not_refuse_others() {
    let mut queue = queue(admission::Policy::Fair);
    let of = |id, model: &str, seconds: u64| admission::Request {
        model: Some(support::name(model)),
        deadline: clock::Instant::from_millis(seconds * 1_000),
        ..ticket(id, "w", admission::Class::Live)
    };
    for id in 0..100 {
        push(&mut queue, 0, of(id, "missing", 1_000));
    }
    let is_held = |ticket: &admission::Request| ticket.model.as_deref() == Some("held");
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
    // What an upstream takes at once is not refused for what waits for the same model, either.
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

    /// Guards against a request that is lost, returned twice, returned late, or kept past the bounds.
    #[test]
    fn each_request_leaves_exactly_once(steps in prop::collection::vec((0..13_u8, 0..3_u8, 0..3_usize, 0..5_000_u64, 0..40_usize, 1..2_000_u64), 1..120)) {
        let limits = admission::Limits { max_requests: 8, max_bytes: 100, ..admission::Limits::default() };
        let mut queue = admission::Queue::new(limits);
        let mut waiting: collections::BTreeMap<u128, admission::Request> = collections::BTreeMap::new();
        let mut millis = 1;
        for (id, (action, workspace, class, tokens, bytes, span)) in steps.into_iter().enumerate() {
            let now = clock::Instant::from_millis(millis);
            let workspace = workspace.to_string();
            let mut left = Vec::new();
            match action {
                0..6 => {
                    let mut ticket = ticket(id as u128, &workspace, admission::Class::ALL[class]);
                    (ticket.tokens, ticket.bytes) = (tokens, bytes);
                    ticket.deadline = now + time::Duration::from_millis(span);
                    let own = waiting.values().filter(|other| *other.workspace == *workspace);
                    let (count, held) = own.fold((0, 0), |(count, held), other| (count + 1, held + other.bytes));
                    let has_room = count < 8 && held + bytes <= 100;
                    prop_assert_eq!(queue.push(now, ticket.clone()).is_ok(), has_room);
                    if has_room {
                        waiting.insert(id as u128, ticket);
                    }
                }
                6..10 => {
                    // In one case of three every workspace can run.
                    let can_run = |ticket: &admission::Request| class == 0 || *ticket.workspace != *workspace;
                    let runnable = waiting.values().any(|ticket| can_run(ticket) && ticket.deadline > now);
                    let popped = queue.pop(now, can_run);
                    prop_assert_eq!(popped.is_some(), runnable);
                    prop_assert!(popped.iter().all(|ticket| can_run(ticket) && ticket.deadline > now));
                    left.extend(popped);
                }
                10 => {
                    millis += span;
                    let now = clock::Instant::from_millis(millis);
                    left = queue.expire(now);
                    let due = waiting.values().filter(|ticket| ticket.deadline <= now).count();
                    prop_assert_eq!(left.len(), due);
                }
                11 => left.extend(queue.remove(now, request::Id::from_u128(bytes as u128))),
                _ => left = queue.remove_where(now, |ticket| *ticket.workspace == *workspace),
            }
            for ticket in left {
                prop_assert_eq!(waiting.remove(&ticket.id.as_u128()), Some(ticket));
            }
            prop_assert_eq!(queue.len(), waiting.len());
            prop_assert_eq!(queue.bytes(), waiting.values().map(|ticket| ticket.bytes).sum::<usize>());
            for workspace in ["0", "1", "2"] {
                let own = || waiting.values().filter(|ticket| &*ticket.workspace == workspace);
                prop_assert!(own().count() <= 8 && own().map(|ticket| ticket.bytes).sum::<usize>() <= 100);
            }
        }
    }
}
