//! Choice of the upstream by expected work, against the policies that count requests. Engines are queues with a rate.

mod engine;
mod world;

use carawaycleat_core::relay;

/// The policies under comparison; none balances by work.
const POLICIES: [(&str, Option<relay::Routing>); 4] = [
    ("round robin", Some(relay::Routing::RoundRobin)),
    ("fewest requests", Some(relay::Routing::LeastLoad)),
    ("cost of requests", Some(relay::Routing::Cost)),
    ("work", None),
];

/// Eight plays of each policy leave a standard error of about 0.002 of the share within the objective.
const SEEDS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];

/// The share of first events in time that the preference for the own availability zone may cost. The baselines send more than half of
/// the requests to other zones.
const ZONE_ALLOWANCE: f64 = 0.005;

/// A kind of request: prompt tokens, events, requests per second.
type Kind = (u64, u64, f64);

const USUAL: &[Kind] = &[(700, 35, 62.0), (380, 6, 60.0)];

/// Guards against a choice by work that serves fewer first events within 250 ms than any choice by the number of requests, or
/// that loads one engine more than the others. Each row names its load: hosts, speeds of the engines, whether one of them takes four
/// times as long for half a second in every two, the cost of the model at all engines, how many engines hold the other model as
/// well, and the requests.
#[yare::parameterized(
    uneven_speeds_and_a_slowed_engine = { 6, &[0.6, 1.0, 1.6, 0.6, 1.0, 1.6, 0.6, 1.0, 1.6], true, (1.0, 9), USUAL, 1.5 },
    short_and_long_requests = { 6, &[1.0; 9], false, (1.0, 9), &[(200, 2, 120.0), (3_500, 119, 14.0)], 1.5 },
    many_hosts_with_old_views = { 27, &[1.0; 9], false, (1.0, 9), USUAL, 1.4 },
    models_that_differ_in_cost = { 6, &[1.0; 9], false, (0.13, 9), USUAL, 1.6 },
    place_for_a_model_that_few_engines_hold = { 27, &[1.0; 9], false, (1.0, 4), USUAL, 1.6 },
)]
fn work_serves_most_first_events_in_time(
    hosts: usize,
    speeds: &[f64],
    is_one_slowed: bool,
    models: (f64, usize),
    kinds: &[Kind],
    max_busiest: f64,
) {
    let load = world::Load {
        hosts,
        speeds,
        is_one_slowed,
        small_cost: models.0,
        large_engines: models.1,
        kinds,
    };
    let mut outcomes = Vec::new();
    for (policy, routing) in POLICIES {
        let runs = SEEDS.map(|seed| world::play(&load, routing, seed));
        let mean = |value: fn(&world::Outcome) -> f64| {
            runs.iter().map(value).sum::<f64>() / SEEDS.len() as f64
        };
        let outcome = world::Outcome {
            within: mean(|run| run.within),
            busiest: mean(|run| run.busiest),
            remote: mean(|run| run.remote),
            mean_ms: mean(|run| run.mean_ms),
        };
        println!(
            "{policy:18} within {:.3} busiest/mean {:.2} other zone {:.2} first event {:.0} ms",
            outcome.within, outcome.busiest, outcome.remote, outcome.mean_ms
        );
        outcomes.push(outcome);
    }
    let (work, baselines) = outcomes.split_last().expect("four policies");
    let best = baselines.iter().map(|run| run.within).fold(0.0, f64::max);
    assert!(
        work.within + ZONE_ALLOWANCE >= best,
        "{} < {best}",
        work.within
    );
    assert!(work.remote < 0.4, "{}", work.remote);
    assert!(work.busiest <= max_busiest, "{}", work.busiest);
}
