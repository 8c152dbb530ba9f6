use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::name;
use carawaycleat_core::rate;
use carawaycleat_core::resource;

use crate::rate_cluster;

const WORKERS: usize = 4;
const STEPS: u64 = 8;
/// The number of steps after the last injection; together they exceed the validity.
const RECOVERY_STEPS: u64 = 8;

/// Runs one case and returns the number of steps and of admitted requests, and whether the total usage stayed within
/// rate and burst.
fn run(
    options: rate::Options,
    demand: rate_cluster::Demand,
    injections: &[(u64, rate_cluster::Fault)],
) -> (u64, u64, Result<(), String>) {
    let mut cluster = rate_cluster::Cluster::new(options, demand, 7);
    for step in 0..STEPS + RECOVERY_STEPS {
        for (_, fault) in injections.iter().filter(|(at, _)| *at == step) {
            cluster.inject(*fault);
        }
        if let Err(error) = cluster.step() {
            return (
                cluster.steps,
                cluster.admitted,
                Err(format!("{injections:?}: {error}")),
            );
        }
    }
    (cluster.steps, cluster.admitted, Ok(()))
}

fn fault_pairs(delay: u64) -> Vec<Vec<(u64, rate_cluster::Fault)>> {
    let mut cases = Vec::new();
    for first in rate_cluster::Fault::ALL {
        for second in rate_cluster::Fault::ALL {
            for step in 0..STEPS {
                cases.push(vec![(step, first), (step + delay, second)]);
            }
        }
    }
    cases
}

fn single_faults() -> Vec<Vec<(u64, rate_cluster::Fault)>> {
    let steps = |fault| (0..STEPS).map(move |step| vec![(step, fault)]);
    rate_cluster::Fault::ALL
        .into_iter()
        .flat_map(steps)
        .collect()
}

fn run_all(demand: rate_cluster::Demand, cases: &[Vec<(u64, rate_cluster::Fault)>]) {
    let results: Vec<_> = std::thread::scope(|scope| {
        let run_share = |worker: usize| -> Vec<_> {
            let share = cases.iter().skip(worker).step_by(WORKERS);
            share
                .map(|case| run(rate::Options::GUARDED, demand, case))
                .collect()
        };
        let handles: Vec<_> = (0..WORKERS)
            .map(|worker| scope.spawn(move || run_share(worker)))
            .collect();
        handles
            .into_iter()
            .flat_map(|h| h.join().expect("a worker"))
            .collect()
    });
    let steps: u64 = results.iter().map(|r| r.0).sum();
    let admitted: u64 = results.iter().map(|r| r.1).sum();
    let injections: usize = cases.iter().map(Vec::len).sum();
    let failures: Vec<_> = results.iter().filter_map(|r| r.2.as_ref().err()).collect();
    println!(
        "{demand:?} demand: {} cases, {steps} steps, {injections} injections, {admitted} admitted, {} failed",
        cases.len(),
        failures.len()
    );
    assert!(
        failures.is_empty(),
        "seed 7: {:?}",
        &failures[..failures.len().min(5)]
    );
    let fewest = results.iter().map(|r| r.1).min();
    assert!(
        fewest > Some(200),
        "a case admitted only {fewest:?} requests"
    );
}

/// Guards against hosts that together exceed rate or burst under one fault or two.
#[yare::parameterized(
    single_steady = { rate_cluster::Demand::Steady, single_faults },
    single_shifting = { rate_cluster::Demand::Shifting, single_faults },
    pair_steady = { rate_cluster::Demand::Steady, || fault_pairs(2) },
    pair_shifting = { rate_cluster::Demand::Shifting, || fault_pairs(0) },
)]
fn total_usage_stays_within_the_rate_under_faults(
    demand: rate_cluster::Demand,
    cases: fn() -> Vec<Vec<(u64, rate_cluster::Fault)>>,
) {
    run_all(demand, &cases());
}

/// Guards against a safeguard that the scenarios do not exercise: without it, the same cases must fail.
#[yare::parameterized(
    local_buckets = { rate::Options::LOCAL, &[] },
    after_the_fact = { rate::Options::AFTER_THE_FACT, &[] },
    loans_not_debited = { rate::Options { debits_loans: false, ..rate::Options::GUARDED }, &[] },
    loans_without_expiry = { rate::Options { expires_loans: false, ..rate::Options::GUARDED }, &[(0, rate_cluster::Fault::TransfersLate)] },
    credited_twice = { rate::Options { credits_once: false, ..rate::Options::GUARDED }, &[(0, rate_cluster::Fault::TransfersDuplicated)] },
    spends_until_released = { rate::Options { stops_before_release: false, ..rate::Options::GUARDED }, &[(0, rate_cluster::Fault::ResponsesLost), (0, rate_cluster::Fault::ReadsFail), (0, rate_cluster::Fault::PlannedStop)] },
    spends_past_validity = { rate::Options { ends_with_validity: false, ..rate::Options::GUARDED }, &[(0, rate_cluster::Fault::RegionPartitioned)] },
    claims_at_once = { rate::Options { waits_for_validity: false, ..rate::Options::GUARDED }, &[(0, rate_cluster::Fault::RegionPartitioned)] },
    claims_unconfirmed = { rate::Options { confirms_claims: false, ..rate::Options::GUARDED }, &[(0, rate_cluster::Fault::CrashSameAddress), (0, rate_cluster::Fault::CrashSameAddress), (0, rate_cluster::Fault::CrashSameAddress), (0, rate_cluster::Fault::WritesFail), (1, rate_cluster::Fault::ReadsFail)] },
    counts_from_effect = { rate::Options { counts_from_sending: false, ..rate::Options::GUARDED }, &[(0, rate_cluster::Fault::ResponsesLost), (0, rate_cluster::Fault::ReadsFail), (4, rate_cluster::Fault::RegionPartitioned)] },
)]
fn usage_exceeds_the_rate_without_a_safeguard(
    options: rate::Options,
    faults: &[(u64, rate_cluster::Fault)],
) {
    let case = |step: u64| -> Vec<(u64, rate_cluster::Fault)> {
        faults
            .iter()
            .map(|(delay, fault)| (step + delay, *fault))
            .collect()
    };
    let count = |options| {
        let runs = [rate_cluster::Demand::Steady, rate_cluster::Demand::Shifting].map(|demand| {
            (0..STEPS)
                .filter(|step| run(options, demand, &case(*step)).2.is_err())
                .count()
        });
        runs[0] + runs[1]
    };
    let (failed, guarded) = (count(options), count(rate::Options::GUARDED));
    println!(
        "{faults:?}: without the safeguard {failed} of {} cases fail, with it {guarded}",
        2 * STEPS
    );
    assert!(
        failed > 0 && guarded == 0,
        "without the safeguard {failed}, with it {guarded}"
    );
}

fn ledger(options: rate::Options, team: &name::Name) -> rate::Ledger {
    let rate = resource::Rate {
        workspace: team.clone(),
        tokens_per_second: 100,
        burst_tokens: 600,
    };
    let mut ledger = rate::Ledger::new().options(options);
    ledger.set_rates(clock::Instant::default(), [&rate]);
    ledger
}

/// Moves all shards between two hosts repeatedly and returns the largest number of tokens that they spend beyond one
/// burst.
fn excess_after_handovers(options: rate::Options) -> u64 {
    let team = name::Name::parse("team").expect("a valid name");
    let mut hosts = [ledger(options, &team), ledger(options, &team)];
    let spend = |now, hosts: &mut [rate::Ledger; 2]| -> u64 {
        let mut used = 0;
        for host in hosts {
            while host.reserve(now, &team, 1).is_ok() {
                used += 1;
            }
        }
        used
    };
    let mut excess = 0;
    hosts[0].set_held(clock::Instant::default(), 64, 64);
    for round in 1..=6 {
        let now = clock::Instant::from_millis(round * 10_000);
        // Nothing is spent in every other round, so that the tokens of both hosts would add up.
        let is_spending = round % 2 == 0;
        let before = if is_spending {
            spend(now, &mut hosts)
        } else {
            0
        };
        let to = usize::from(round % 2 == 1);
        hosts[1 - to].set_held(now, 0, 64);
        hosts[to].set_held(now, 64, 64);
        let after = if is_spending {
            spend(now, &mut hosts)
        } else {
            0
        };
        excess = excess.max((before + after).saturating_sub(600));
    }
    excess
}

/// Guards against a handover of shards that creates tokens.
#[yare::parameterized(
    full = { rate::Options { starts_empty: false, ..rate::Options::GUARDED } },
    kept = { rate::Options { drops_released: false, ..rate::Options::GUARDED } },
)]
fn a_handover_creates_no_tokens(unguarded: rate::Options) {
    assert_eq!(excess_after_handovers(rate::Options::GUARDED), 0);
    let excess = excess_after_handovers(unguarded);
    println!("{excess} excess tokens without the safeguard");
    assert!(excess > 0);
}

/// Guards against a request that can never be admitted being told to wait, and against a deleted rate that removes the
/// limit.
#[test]
fn a_refusal_says_whether_waiting_helps() {
    let team = name::Name::parse("team").expect("a valid name");
    let other = name::Name::parse("other").expect("a valid name");
    let mut ledger = ledger(rate::Options::GUARDED, &team);
    let at = clock::Instant::from_millis;
    ledger.set_held(at(0), 32, 64);
    let wait = |ms| Err(rate::Refusal::Limited(time::Duration::from_millis(ms)));
    assert_eq!(ledger.reserve(at(0), &team, 100), wait(2_000));
    assert_eq!(ledger.reserve(at(0), &team, 400), wait(4_000));
    assert_eq!(
        ledger.reserve(at(0), &team, 601),
        Err(rate::Refusal::ExceedsBurst(600))
    );
    assert_eq!(ledger.reserve(at(0), &other, 1), Err(rate::Refusal::NoRate));
    assert!(ledger.reserve(at(1_999), &team, 100).is_err());
    assert!(ledger.reserve(at(2_000), &team, 100).is_ok());
}

/// Guards against unbounded memory for transfers, and against crediting a late transfer.
#[test]
fn transfers_are_credited_once_and_in_time() {
    let team = name::Name::parse("team").expect("a valid name");
    let mut ledger = ledger(rate::Options::GUARDED, &team);
    let at = clock::Instant::from_millis;
    assert!(ledger.credit(at(0), at(0), 1, &team, 5));
    assert!(!ledger.credit(at(0), at(0), 1, &team, 5));
    assert!(!ledger.credit(at(1_000), at(0), 2, &team, 5));
    let credited = (0..10_000).filter(|id| ledger.credit(at(1_000), at(1_000), *id, &team, 1));
    assert_eq!(credited.count(), rate::MAX_TRANSFERS);
    assert_eq!(ledger.shortfall(at(1_000), &team, 5_000), 5_000 - 4_096);
    assert_eq!(ledger.shortfall(at(2_000), &team, 5_000), 5_000);
}

fn owner(host: &str, port: u16, incarnation: u64) -> rate::Owner {
    rate::Owner {
        host: name::Name::parse(host).expect("a valid name"),
        address: ([127, 0, 0, 1], port).into(),
        incarnation,
    }
}

/// Returns a holder of all shards, claimed at 0 s with revision 1, and the records of these shards.
fn sole_holder(owner: rate::Owner) -> (rate::Holder, Vec<rate::Observation>) {
    let now = clock::Instant::default();
    let mut holder = rate::Holder::new(owner.clone(), rate::DEFAULT_SHARDS);
    holder.set_roster(&[owner.host]);
    holder.record_listing(now, &[]);
    let effects = holder.tick(now);
    let [rate::Effect::Write(write)] = effects.as_slice() else {
        panic!("a claim was expected: {effects:?}");
    };
    holder.record_outcome(now, &write.id, rate::Outcome::Written(1));
    let observed = |put: &rate::Put| rate::Observation {
        number: put.number,
        shard: Some(put.shard.clone()),
        revision: 1,
    };
    (holder, write.puts.iter().map(observed).collect())
}

/// Guards against a holder that stops spending during a store outage of an hour, and against one that never stops.
#[test]
fn a_holder_spends_through_an_outage_of_an_hour() {
    let (mut holder, _) = sole_holder(owner("a", 1, 1));
    let mut last_spendable = 0;
    for second in 1..8_000 {
        let now = clock::Instant::from_millis(second * 1_000);
        for effect in holder.tick(now) {
            if let rate::Effect::Write(write) = effect {
                holder.record_outcome(now, &write.id, rate::Outcome::Unknown);
            }
        }
        if holder.spendable(now) == rate::DEFAULT_SHARDS {
            last_spendable = second;
        }
    }
    assert_eq!(last_spendable, 2 * 3_600 * 9 / 10 - 1);
}

/// Guards against shards that stay unused longer than necessary, and against a takeover from a live holder.
#[yare::parameterized(
    same_address = { "a", 1, Some(0) },
    same_host_on_another_address = { "a", 2, Some(7_200) },
    another_host = { "b", 2, Some(7_200) },
)]
fn shards_are_taken_over_on_the_same_address_or_after_expiry(
    host: &str,
    port: u16,
    expected: Option<u64>,
) {
    let (_, records) = sole_holder(owner("a", 1, 1));
    let successor = owner(host, port, 2);
    let mut holder = rate::Holder::new(successor.clone(), rate::DEFAULT_SHARDS);
    holder.set_roster(&[successor.host]);
    let claimed = (0..8_000).find(|second| {
        let now = clock::Instant::from_millis(second * 1_000);
        holder.record_listing(now, &records);
        !holder.tick(now).is_empty()
    });
    assert_eq!(claimed, expected);
}

/// Guards against shards that stay unused after a planned stop, a restart, a host that joins, or writes whose responses
/// are lost or that take effect late.
#[yare::parameterized(
    planned_stop = { rate_cluster::Fault::PlannedStop },
    restart = { rate_cluster::Fault::CrashSameAddress },
    join = { rate_cluster::Fault::HostJoins },
    lost_responses = { rate_cluster::Fault::ResponsesLost },
    late_writes = { rate_cluster::Fault::WritesLate },
)]
fn all_shards_are_held_again_soon(fault: rate_cluster::Fault) {
    let mut cluster =
        rate_cluster::Cluster::new(rate::Options::GUARDED, rate_cluster::Demand::Steady, 7);
    for step in 0..6 {
        if step == 2 {
            cluster.inject(fault);
        }
        assert_eq!(cluster.step(), Ok(()));
        assert!(
            step == 2 || step == 3 || cluster.spendable() == rate_cluster::SHARDS,
            "step {step}"
        );
    }
}
