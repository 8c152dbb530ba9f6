use std::collections;
use std::sync;
use std::thread;

use super::path_world as world;

type Faults = Vec<(world::Fault, u64)>;

const THREADS: usize = 6;

fn singles() -> Vec<Faults> {
    let at = |fault| (world::FIRST..=world::LAST).map(move |step| vec![(fault, step)]);
    world::Fault::ALL.into_iter().flat_map(at).collect()
}

/// Each ordered pair of faults, one step apart or in the same step.
fn pairs() -> Vec<Faults> {
    let mut cells = Vec::new();
    for (index, first) in world::Fault::ALL.into_iter().enumerate() {
        for (other, second) in world::Fault::ALL.into_iter().enumerate() {
            // The steps of the pairs differ, so that together they cover the scenario.
            let step = world::FIRST + (index * 5 + other) as u64 % 8;
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
    broken: collections::BTreeMap<world::Broken, Vec<(Faults, String)>>,
    idle: Vec<Faults>,
}

/// Runs all cells on a few threads, and stops early when a naive rule has broken what it is expected to break.
fn run(rule: world::Rule, cells: &[Faults], until: Option<world::Broken>) -> Total {
    let total = sync::Mutex::new(Total::default());
    let next = sync::atomic::AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(cell) = cells.get(next.fetch_add(1, sync::atomic::Ordering::Relaxed))
                {
                    let world = world::World::new(rule).run(cell);
                    let mut total = total.lock().expect("no thread panics");
                    total.steps += world.steps;
                    total.dispatched += world.dispatched;
                    total.finished += world.finished;
                    total.met += world.met.values().sum::<u64>();
                    let is_met = |(fault, _): &(world::Fault, u64)| world.met.contains_key(fault);
                    if world.dispatched == 0 || !cell.iter().all(is_met) {
                        total.idle.push(cell.clone());
                    }
                    for (broken, detail) in world.broken {
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
    let total = run(world::Rule::Guarded, cells, None);
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
        .filter(|(broken, _)| **broken != world::Broken::LateStart)
        .map(|(broken, cells)| (broken, cells.len(), &cells[0]))
        .collect();
    assert!(shown.is_empty(), "broken: {shown:#?}");
    assert!(
        total.idle.is_empty(),
        "cells without work or without their fault: {:?}",
        total.idle
    );
}

/// Guards against any of [`Broken`] under one fault at each step.
#[test]
fn no_guarantee_breaks_under_one_fault() {
    hold("single faults", &singles());
}

/// Guards against any of [`Broken`] under two faults.
#[test]
fn no_guarantee_breaks_under_two_faults() {
    hold("pairs", &pairs());
}

/// Guards against a sidecar that starts a job which was kept on its way for so long that its key is no longer valid.
#[test]
fn a_late_job_of_a_withdrawn_key_does_not_start() {
    let kept = [
        world::Fault::JobLate,
        world::Fault::JobTwice,
        world::Fault::SidePaused,
    ];
    let cells: Vec<_> = (world::FIRST..=world::LAST)
        .flat_map(|step| kept.map(|fault| vec![(fault, step), (world::Fault::KeyWithdrawn, step)]))
        .collect();
    let total = run(world::Rule::Guarded, &cells, None);
    let found = total.broken.get(&world::Broken::LateStart);
    let count = found.map_or(0, Vec::len);
    println!("path, late jobs: {count} of {} cells broken", cells.len());
    assert!(found.is_none(), "{:?}", found.map(|cells| &cells[0]));
}

/// Guards against a scenario that refuses its requests without any fault.
#[test]
fn the_scenario_answers_without_a_fault() {
    let world = world::World::new(world::Rule::Guarded).run(&[]);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    assert!(world.finished > 100, "{} answers", world.finished);
}

/// Shows that the matrix finds each fault: with one naive rule the same cells break the guarantee that it guards.
#[yare::parameterized(
    p3_key_of_connection = { world::Rule::ConnectionKey, world::Broken::Workspace },
    p4_headers_forwarded = { world::Rule::ForwardHeaders, world::Broken::KeySeen },
    p5_checked_on_arrival = { world::Rule::CheckOnArrival, world::Broken::Withdrawn },
    p6_local_rate = { world::Rule::LocalRate, world::Broken::Rate },
    p7_answers_trusted = { world::Rule::TrustAnswers, world::Broken::Answer },
    p7_no_timer = { world::Rule::NoTimer, world::Broken::Unended },
    p8_all_not_run = { world::Rule::AllNotRun, world::Broken::FalseNotRun },
    p9_all_retried = { world::Rule::RetryAll, world::Broken::RanTwice },
    p9_claim_assumed = { world::Rule::AssumeClaim, world::Broken::RanTwice },
    p10_host_list_only = { world::Rule::ListOnly, world::Broken::LeavingWork },
    p11_stop_at_once = { world::Rule::StopAtOnce, world::Broken::Stopped },
    p12_last_arrival = { world::Rule::LastArrival, world::Broken::Reverted },
    p12_no_repair = { world::Rule::NoRepair, world::Broken::NotInForce },
)]
fn a_naive_rule_breaks_its_guarantee(rule: world::Rule, expected: world::Broken) {
    let cells: Vec<_> = singles().into_iter().chain(pairs()).collect();
    let total = run(rule, &cells, Some(expected));
    let found = total.broken.get(&expected).map(|cells| &cells[0]);
    println!("path, {rule:?}: {found:?}");
    assert!(found.is_some(), "{rule:?} does not break {expected:?}");
}
