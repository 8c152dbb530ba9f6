use std::collections;
use std::sync;
use std::thread;

use super::path_cluster as cluster;

type Faults = Vec<(cluster::Fault, u64)>;

const THREADS: usize = 6;

/// Returns one case for each fault and step.
fn singles() -> Vec<Faults> {
    let at = |fault| {
        (cluster::FIRST_FAULT_STEP..=cluster::LAST_FAULT_STEP).map(move |step| vec![(fault, step)])
    };
    cluster::Fault::ALL.into_iter().flat_map(at).collect()
}

/// Returns one case for each ordered pair of faults, with the second up to three steps after the first.
fn pairs() -> Vec<Faults> {
    let mut cases = Vec::new();
    for (index, first) in cluster::Fault::ALL.into_iter().enumerate() {
        for (other, second) in cluster::Fault::ALL.into_iter().enumerate() {
            // The steps differ between pairs, so that together the cases cover the whole scenario.
            let step = cluster::FIRST_FAULT_STEP + (index * 5 + other) as u64 % 8;
            cases.push(vec![(first, step), (second, step + (other as u64 % 4))]);
        }
    }
    cases
}

#[derive(Default)]
struct Total {
    steps: u64,
    dispatched: u64,
    finished: u64,
    /// How often the faults had an effect.
    fault_hits: u64,
    violations: collections::BTreeMap<cluster::Violation, Vec<(Faults, String)>>,
    /// Cases without work, or in which some fault had no effect.
    idle: Vec<Faults>,
}

/// Runs all cases on several threads, and stops early at the violation `until`.
fn run(rule: cluster::Rule, cases: &[Faults], until: Option<cluster::Violation>) -> Total {
    let total = sync::Mutex::new(Total::default());
    let next = sync::atomic::AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(case) = cases.get(next.fetch_add(1, sync::atomic::Ordering::Relaxed))
                {
                    let cluster = cluster::Cluster::new(rule).run(case);
                    let mut total = total.lock().expect("no thread panics");
                    total.steps += cluster.steps;
                    total.dispatched += cluster.dispatched;
                    total.finished += cluster.finished;
                    total.fault_hits += cluster.fault_hits.values().sum::<u64>();
                    let has_hit =
                        |(fault, _): &(cluster::Fault, u64)| cluster.fault_hits.contains_key(fault);
                    if cluster.dispatched == 0 || !case.iter().all(has_hit) {
                        total.idle.push(case.clone());
                    }
                    for (violation, detail) in cluster.violations {
                        let found = total.violations.entry(violation).or_default();
                        found.push((case.clone(), detail));
                    }
                    if until.is_some_and(|violation| total.violations.contains_key(&violation)) {
                        return;
                    }
                }
            });
        }
    });
    total.into_inner().expect("no thread panics")
}

/// Checks that no case violates a guarantee, and that all cases dispatch requests and hit their faults.
fn assert_no_violation(kind: &str, cases: &[Faults]) {
    let total = run(cluster::Rule::Guarded, cases, None);
    let injections: usize = cases.iter().map(Vec::len).sum();
    println!(
        "path, {kind}: {} cases, {} steps, {injections} injections, {} hits, {} dispatches, {} responses",
        cases.len(),
        total.steps,
        total.fault_hits,
        total.dispatched,
        total.finished
    );
    // `LateStart` is checked by `a_late_job_of_a_withdrawn_key_does_not_start`.
    let shown: Vec<_> = total
        .violations
        .iter()
        .filter(|(violation, _)| **violation != cluster::Violation::LateStart)
        .map(|(violation, cases)| (violation, cases.len(), &cases[0]))
        .collect();
    assert!(shown.is_empty(), "violations: {shown:#?}");
    assert!(
        total.idle.is_empty(),
        "cases without work, or with a fault that had no effect: {:?}",
        total.idle
    );
}

/// Guards against any [`Violation`](cluster::Violation) under one fault at each step.
#[test]
fn no_guarantee_breaks_under_one_fault() {
    assert_no_violation("single faults", &singles());
}

/// Guards against any [`Violation`](cluster::Violation) under two faults.
#[test]
fn no_guarantee_breaks_under_two_faults() {
    assert_no_violation("pairs", &pairs());
}

/// Guards against a sidecar that starts a job which was delayed in transit until its key was no longer valid.
#[test]
fn a_late_job_of_a_withdrawn_key_does_not_start() {
    let delays = [
        cluster::Fault::JobDelayed,
        cluster::Fault::JobDuplicated,
        cluster::Fault::SidePaused,
    ];
    let cases: Vec<_> = (cluster::FIRST_FAULT_STEP..=cluster::LAST_FAULT_STEP)
        .flat_map(|step| {
            delays.map(|fault| vec![(fault, step), (cluster::Fault::KeyWithdrawn, step)])
        })
        .collect();
    let total = run(cluster::Rule::Guarded, &cases, None);
    let found = total.violations.get(&cluster::Violation::LateStart);
    let count = found.map_or(0, Vec::len);
    println!(
        "path, late jobs: {count} of {} cases with a violation",
        cases.len()
    );
    assert!(found.is_none(), "{:?}", found.map(|cases| &cases[0]));
}

/// Guards against a scenario that proves nothing because its requests are refused even without a fault.
#[test]
fn the_scenario_completes_requests_without_a_fault() {
    let cluster = cluster::Cluster::new(cluster::Rule::Guarded).run(&[]);
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
    assert!(cluster.finished > 100, "{} responses", cluster.finished);
}

/// Checks that the test matrix detects each missing guard: under a naive rule, the same cases violate the guarantee
/// that the guard protects.
#[yare::parameterized(
    p3_key_of_connection = { cluster::Rule::ConnectionKey, cluster::Violation::WrongWorkspace },
    p4_headers_forwarded = { cluster::Rule::ForwardHeaders, cluster::Violation::KeyExposed },
    p5_checked_on_arrival = { cluster::Rule::CheckOnArrival, cluster::Violation::WithdrawnKey },
    p6_local_rate = { cluster::Rule::LocalRate, cluster::Violation::RateExceeded },
    p7_responses_trusted = { cluster::Rule::TrustResponses, cluster::Violation::Response },
    p7_no_timer = { cluster::Rule::NoTimer, cluster::Violation::NeverEnded },
    p8_all_not_run = { cluster::Rule::AllNotRun, cluster::Violation::FalseNotRun },
    p9_all_retried = { cluster::Rule::RetryAll, cluster::Violation::RanTwice },
    p9_claim_assumed = { cluster::Rule::AssumeClaim, cluster::Violation::RanTwice },
    p10_host_list_only = { cluster::Rule::HostListOnly, cluster::Violation::WorkWhileLeaving },
    p11_stop_immediately = { cluster::Rule::StopImmediately, cluster::Violation::Interrupted },
    p12_last_arrival = { cluster::Rule::LastReceived, cluster::Violation::Reverted },
    p12_no_repair = { cluster::Rule::NoRefetch, cluster::Violation::NotApplied },
)]
fn a_naive_rule_breaks_its_guarantee(rule: cluster::Rule, expected: cluster::Violation) {
    let cases: Vec<_> = singles().into_iter().chain(pairs()).collect();
    let total = run(rule, &cases, Some(expected));
    let found = total.violations.get(&expected).map(|cases| &cases[0]);
    println!("path, {rule:?}: {found:?}");
    assert!(found.is_some(), "{rule:?} does not break {expected:?}");
}
