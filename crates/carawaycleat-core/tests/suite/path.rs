use std::collections;
use std::sync;
use std::thread;

use super::path_cluster as cluster;

type Faults = Vec<(cluster::Fault, u64)>;

const THREADS: usize = 6;

fn singles() -> Vec<Faults> {
    let at = |fault| (cluster::FIRST..=cluster::LAST).map(move |step| vec![(fault, step)]);
    cluster::Fault::ALL.into_iter().flat_map(at).collect()
}

/// Each ordered pair of faults, one step apart or in the same step.
fn pairs() -> Vec<Faults> {
    let mut cells = Vec::new();
    for (index, first) in cluster::Fault::ALL.into_iter().enumerate() {
        for (other, second) in cluster::Fault::ALL.into_iter().enumerate() {
            // The steps of the pairs differ, so that together they cover the scenario.
            let step = cluster::FIRST + (index * 5 + other) as u64 % 8;
            cells.push(vec![(first, step), (second, step + (other as u64 % 4))]);
        }
    }
    cells
}

#[derive(Default)]
struct Total {
    steps: u64,
    dispatched: u64,
    finished: u64,
    met: u64,
    broken: collections::BTreeMap<cluster::Violation, Vec<(Faults, String)>>,
    idle: Vec<Faults>,
}

/// Runs all cells on a few threads, and stops early when a naive rule has broken what it is expected to break.
fn run(rule: cluster::Rule, cells: &[Faults], until: Option<cluster::Violation>) -> Total {
    let total = sync::Mutex::new(Total::default());
    let next = sync::atomic::AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(cell) = cells.get(next.fetch_add(1, sync::atomic::Ordering::Relaxed))
                {
                    let cluster = cluster::Cluster::new(rule).run(cell);
                    let mut total = total.lock().expect("no thread panics");
                    total.steps += cluster.steps;
                    total.dispatched += cluster.dispatched;
                    total.finished += cluster.finished;
                    total.met += cluster.met.values().sum::<u64>();
                    let is_met =
                        |(fault, _): &(cluster::Fault, u64)| cluster.met.contains_key(fault);
                    if cluster.dispatched == 0 || !cell.iter().all(is_met) {
                        total.idle.push(cell.clone());
                    }
                    for (broken, detail) in cluster.broken {
                        let found = total.broken.entry(broken).or_default();
                        found.push((cell.clone(), detail));
                    }
                    if until.is_some_and(|broken| total.broken.contains_key(&broken)) {
                        return;
                    }
                }
            });
        }
    });
    total.into_inner().expect("no thread panics")
}

fn hold(kind: &str, cells: &[Faults]) {
    let total = run(cluster::Rule::Guarded, cells, None);
    let injections: usize = cells.iter().map(Vec::len).sum();
    println!(
        "path, {kind}: {} cells, {} steps, {injections} injections, {} times met, {} dispatches, {} answers",
        cells.len(),
        total.steps,
        total.met,
        total.dispatched,
        total.finished
    );
    // `a_late_job_of_a_withdrawn_key_does_not_start` checks what is left out here.
    let shown: Vec<_> = total
        .broken
        .iter()
        .filter(|(broken, _)| **broken != cluster::Violation::LateStart)
        .map(|(broken, cells)| (broken, cells.len(), &cells[0]))
        .collect();
    assert!(shown.is_empty(), "broken: {shown:#?}");
    assert!(
        total.idle.is_empty(),
        "cells without work or without their fault: {:?}",
        total.idle
    );
}

/// Guards against any of [`Violation`] under one fault at each step.
#[test]
fn no_guarantee_breaks_under_one_fault() {
    hold("single faults", &singles());
}

/// Guards against any of [`Violation`] under two faults.
#[test]
fn no_guarantee_breaks_under_two_faults() {
    hold("pairs", &pairs());
}

/// Guards against a sidecar that starts a job which was kept on its way for so long that its key is no longer valid.
#[test]
fn a_late_job_of_a_withdrawn_key_does_not_start() {
    let kept = [
        cluster::Fault::JobLate,
        cluster::Fault::JobTwice,
        cluster::Fault::SidePaused,
    ];
    let cells: Vec<_> = (cluster::FIRST..=cluster::LAST)
        .flat_map(|step| {
            kept.map(|fault| vec![(fault, step), (cluster::Fault::KeyWithdrawn, step)])
        })
        .collect();
    let total = run(cluster::Rule::Guarded, &cells, None);
    let found = total.broken.get(&cluster::Violation::LateStart);
    let count = found.map_or(0, Vec::len);
    println!("path, late jobs: {count} of {} cells broken", cells.len());
    assert!(found.is_none(), "{:?}", found.map(|cells| &cells[0]));
}

/// Guards against a scenario that refuses its requests without any fault.
#[test]
fn the_scenario_answers_without_a_fault() {
    let cluster = cluster::Cluster::new(cluster::Rule::Guarded).run(&[]);
    assert!(cluster.broken.is_empty(), "{:?}", cluster.broken);
    assert!(cluster.finished > 100, "{} answers", cluster.finished);
}

/// Shows that the matrix finds each fault: with one naive rule the same cells break the guarantee that it guards.
#[yare::parameterized(
    p3_key_of_connection = { cluster::Rule::ConnectionKey, cluster::Violation::Workspace },
    p4_headers_forwarded = { cluster::Rule::ForwardHeaders, cluster::Violation::KeySeen },
    p5_checked_on_arrival = { cluster::Rule::CheckOnArrival, cluster::Violation::Withdrawn },
    p6_local_rate = { cluster::Rule::LocalRate, cluster::Violation::Rate },
    p7_answers_trusted = { cluster::Rule::TrustAnswers, cluster::Violation::Answer },
    p7_no_timer = { cluster::Rule::NoTimer, cluster::Violation::Unended },
    p8_all_not_run = { cluster::Rule::AllNotRun, cluster::Violation::FalseNotRun },
    p9_all_retried = { cluster::Rule::RetryAll, cluster::Violation::RanTwice },
    p9_claim_assumed = { cluster::Rule::AssumeClaim, cluster::Violation::RanTwice },
    p10_host_list_only = { cluster::Rule::ListOnly, cluster::Violation::LeavingWork },
    p11_stop_at_once = { cluster::Rule::StopAtOnce, cluster::Violation::Stopped },
    p12_last_arrival = { cluster::Rule::LastArrival, cluster::Violation::Reverted },
    p12_no_repair = { cluster::Rule::NoRepair, cluster::Violation::NotInForce },
)]
fn a_naive_rule_breaks_its_guarantee(rule: cluster::Rule, expected: cluster::Violation) {
    let cells: Vec<_> = singles().into_iter().chain(pairs()).collect();
    let total = run(rule, &cells, Some(expected));
    let found = total.broken.get(&expected).map(|cells| &cells[0]);
    println!("path, {rule:?}: {found:?}");
    assert!(found.is_some(), "{rule:?} does not break {expected:?}");
}
