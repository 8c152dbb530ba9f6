use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::freshness;
use carawaycleat_core::name;

const TICK_MS: u64 = 250;
const BOUND_MS: u64 = 5_000;

/// The rules, each of which can be replaced by a faulty one for comparison.
#[derive(Clone, Copy)]
struct Rules {
    is_serving: fn(&freshness::Monitor, clock::Instant) -> bool,
    is_acknowledged: fn(&freshness::Monitor, u64) -> bool,
    /// The time from which the age of a report is counted, given the times of sending and of receipt.
    reported_at: fn(clock::Instant, clock::Instant) -> clock::Instant,
    /// The revision that a report counts with, given the reported revision and the receiver's own.
    reported_revision: fn(u64, u64) -> u64,
}

const GUARDED: Rules = Rules {
    is_serving: |monitor, now| monitor.state(now).is_serving(),
    is_acknowledged: |monitor, revision| monitor.is_acknowledged(revision),
    reported_at: |sent, _| sent,
    reported_revision: |reported, _| reported,
};

/// The group of each host; the store is in group 0, or not available.
#[derive(Clone, Debug)]
struct Partition {
    groups: Vec<u8>,
    is_store_up: bool,
}

#[derive(Clone, Debug)]
struct Case {
    /// The partitions that apply from 5 s on and from 15 s on.
    partitions: [Partition; 2],
    /// The host that restarts at 12 s.
    restarts: Option<usize>,
    /// Whether hosts can exchange reports but not fetch changes.
    is_fetch_failing: bool,
    /// The number of ticks by which responses to host 0 are delayed.
    delay: u64,
}

struct Host {
    monitor: freshness::Monitor,
    incarnation: u64,
    revision: u64,
}

struct Cluster {
    rules: Rules,
    names: Vec<name::Name>,
    hosts: Vec<Host>,
    store: u64,
    /// The write in progress: its host, its revision, and when it was stored, in ms.
    pending: Option<(usize, u64, u64)>,
    /// The acknowledged revisions, each with the time in ms.
    acknowledged: Vec<(u64, u64)>,
    responses: Vec<(u64, usize, freshness::Report)>,
}

impl Cluster {
    fn new(size: usize, rules: Rules) -> Self {
        let name = |n| name::Name::parse(&format!("host-{n}")).expect("a valid name");
        let names: Vec<_> = (0..size).map(name).collect();
        let mut cluster = Self {
            rules,
            names,
            hosts: Vec::new(),
            store: 1,
            pending: None,
            acknowledged: Vec::new(),
            responses: Vec::new(),
        };
        cluster.hosts = (0..size).map(|n| cluster.host(n, 1)).collect();
        cluster
    }

    fn host(&self, number: usize, incarnation: u64) -> Host {
        let mut monitor = freshness::Monitor::new(self.names[number].clone());
        monitor.set_roster(&self.names);
        Host {
            monitor,
            incarnation,
            revision: 0,
        }
    }

    fn apply(&mut self, number: usize, now: clock::Instant, revision: u64) {
        let host = &mut self.hosts[number];
        host.revision = host.revision.max(revision);
        host.monitor.record_applied(now, host.revision);
    }

    fn tick(&mut self, ms: u64, case: &Case, partition: &Partition) {
        let now = clock::Instant::from_millis(ms);
        // Host 0, which may receive responses late, writes last.
        for number in (0..self.hosts.len()).rev() {
            if partition.is_store_up && partition.groups[number] == 0 {
                self.apply(number, now, self.store);
                self.hosts[number].monitor.record_store_contact(now);
                self.write(number, ms, now);
            }
            for peer in 0..self.hosts.len() {
                let is_reached = partition.groups[peer] == partition.groups[number];
                if peer != number && is_reached && ms.is_multiple_of(500) {
                    let delay = if number == 0 { case.delay } else { 0 };
                    let report = self.report(peer, now);
                    self.responses.push((ms + delay * TICK_MS, number, report));
                }
            }
        }
        let responses = std::mem::take(&mut self.responses);
        let (due, later): (Vec<_>, Vec<_>) =
            responses.into_iter().partition(|(at, _, _)| *at <= ms);
        self.responses = later;
        for (_, number, mut report) in due {
            report.sent_at = (self.rules.reported_at)(report.sent_at, now);
            let revision = report.revision;
            report.revision = (self.rules.reported_revision)(revision, self.hosts[number].revision);
            self.hosts[number].monitor.record_report(now, report);
            if !case.is_fetch_failing {
                self.apply(number, now, revision);
            }
        }
        self.acknowledge(ms);
    }

    fn report(&self, number: usize, now: clock::Instant) -> freshness::Report {
        let host = &self.hosts[number];
        freshness::Report {
            host: self.names[number].clone(),
            incarnation: host.incarnation,
            revision: host.monitor.revision(),
            store_age: host.monitor.store_age(now),
            sent_at: now,
        }
    }

    fn write(&mut self, number: usize, ms: u64, now: clock::Instant) {
        if self.pending.is_none()
            && ms.is_multiple_of(1_000)
            && self.hosts[number].monitor.can_acknowledge(now)
        {
            self.store += 1;
            self.pending = Some((number, self.store, ms));
            self.apply(number, now, self.store);
        }
    }

    fn acknowledge(&mut self, ms: u64) {
        if let Some((number, revision, stored)) = self.pending {
            let is_done = (self.rules.is_acknowledged)(&self.hosts[number].monitor, revision);
            if is_done {
                self.acknowledged.push((revision, ms));
            }
            if is_done || ms - stored >= 3_000 {
                self.pending = None;
            }
        }
    }

    fn check(&self, ms: u64) -> Result<(), String> {
        let now = clock::Instant::from_millis(ms);
        let due = self
            .acknowledged
            .iter()
            .filter(|(_, at)| at + BOUND_MS < ms)
            .map(|(r, _)| *r)
            .max();
        for (name, host) in self.names.iter().zip(&self.hosts) {
            if Some(host.revision) < due && (self.rules.is_serving)(&host.monitor, now) {
                return Err(format!(
                    "{name} at {ms} ms serves revision {} of {due:?}",
                    host.revision
                ));
            }
        }
        Ok(())
    }
}

/// Runs one case and returns the number of ticks and of acknowledged writes.
fn run(case: &Case, rules: Rules) -> Result<(u64, usize), String> {
    let size = case.partitions[0].groups.len();
    let whole = Partition {
        groups: vec![0; size],
        is_store_up: true,
    };
    let mut cluster = Cluster::new(size, rules);
    let mut ticks = 0;
    for ms in (0..28_000).step_by(250) {
        ticks += 1;
        let partition = match ms {
            0..5_000 => &whole,
            5_000..15_000 => &case.partitions[0],
            _ => &case.partitions[1],
        };
        if ms == 12_000
            && let Some(number) = case.restarts
        {
            cluster.hosts[number] = cluster.host(number, 2);
            cluster.pending = cluster.pending.filter(|(writer, _, _)| *writer != number);
        }
        cluster.tick(ms, case, partition);
        cluster.check(ms).map_err(|e| format!("{case:?}: {e}"))?;
    }
    Ok((ticks, cluster.acknowledged.len()))
}

fn partitions(size: usize) -> Vec<Partition> {
    let count = 3_u32.pow(u32::try_from(size).expect("fits"));
    let groups = |code: u32| {
        (0..size)
            .map(|n| (code / 3_u32.pow(n as u32) % 3) as u8)
            .collect()
    };
    let partition = |code| {
        [true, false].map(|is_store_up| Partition {
            groups: groups(code),
            is_store_up,
        })
    };
    (0..count).flat_map(partition).collect()
}

/// Returns all pairs of partitions, or with `second`, each partition with that many random others, from a fixed seed.
fn cases(size: usize, second: Option<usize>) -> Vec<Case> {
    let all = partitions(size);
    let mut rng = fastrand::Rng::with_seed(11);
    let mut cases = Vec::new();
    for first in &all {
        let chosen: Vec<_> = match second {
            None => all.clone(),
            Some(count) => rng
                .choose_multiple(&all, count)
                .into_iter()
                .cloned()
                .collect(),
        };
        for second in chosen {
            let restarts = Some(rng.usize(0..size * 2)).filter(|n| *n < size);
            cases.push(Case {
                partitions: [first.clone(), second],
                restarts,
                is_fetch_failing: rng.u8(0..4) == 0,
                delay: [0, 0, 3, 12][rng.usize(0..4)],
            });
        }
    }
    cases
}

/// Guards against a host that serves without an acknowledged revocation for more than 5 s, under any partition.
#[yare::parameterized(
    three_hosts = { 3, None },
    five_hosts = { 5, Some(4) },
)]
fn no_acknowledged_revocation_is_missed(size: usize, second: Option<usize>) {
    let cases = cases(size, second);
    let runs: Vec<_> = cases.iter().map(|case| run(case, GUARDED)).collect();
    let failures: Vec<_> = runs.iter().filter_map(|r| r.as_ref().err()).collect();
    let sums = runs
        .iter()
        .flatten()
        .fold((0, 0), |sum, r| (sum.0 + r.0, sum.1 + r.1));
    println!(
        "{size} hosts: {} cases, {} steps, {} acknowledged, {} failed",
        cases.len(),
        sums.0,
        sums.1,
        failures.len()
    );
    assert!(
        failures.is_empty(),
        "seed 11: {:?}",
        &failures[..failures.len().min(3)]
    );
}

/// Guards against partitions that do not exercise a rule: with a faulty rule, a case must fail.
#[yare::parameterized(
    serves_always = { Rules { is_serving: |_, _| true, ..GUARDED } },
    acknowledges_at_the_store = { Rules { is_acknowledged: |_, _| true, ..GUARDED } },
    ignores_the_revision = { Rules { reported_revision: |reported, own| reported.min(own), ..GUARDED } },
    counts_receipt = { Rules { reported_at: |_, received| received, ..GUARDED } },
)]
fn a_faulty_rule_misses_a_revocation(rules: Rules) {
    let cases = cases(3, None);
    let failed = cases
        .iter()
        .filter(|case| run(case, rules).is_err())
        .count();
    println!("the faulty rule fails in {failed} of {} cases", cases.len());
    assert!(failed > 0);
}

/// Guards against a store outage or a partition that needlessly stops routes that require a key.
#[yare::parameterized(
    outage = { false, vec![0, 0, 0], freshness::State::Outage },
    minority = { false, vec![1, 2, 2], freshness::State::Isolated },
    majority = { false, vec![1, 1, 2], freshness::State::Outage },
    relayed = { true, vec![0, 0, 0], freshness::State::Fresh },
)]
fn the_state_follows_store_and_majority(
    is_store_up: bool,
    groups: Vec<u8>,
    expected: freshness::State,
) {
    let partition = Partition {
        groups,
        is_store_up,
    };
    let case = Case {
        partitions: [partition.clone(), partition.clone()],
        restarts: None,
        is_fetch_failing: false,
        delay: 0,
    };
    let mut cluster = Cluster::new(3, GUARDED);
    let whole = Partition {
        groups: vec![0; 3],
        is_store_up: true,
    };
    for ms in (0..40_000).step_by(250) {
        cluster.tick(ms, &case, if ms < 5_000 { &whole } else { &partition });
        let state = cluster.hosts[0]
            .monitor
            .state(clock::Instant::from_millis(ms));
        assert!(
            state.is_serving() || expected == freshness::State::Isolated,
            "{state:?} at {ms} ms"
        );
        if ms > 5_000 + freshness::MAX_SERVING_AGE.as_millis() as u64 {
            assert_eq!(state, expected, "at {ms} ms");
        }
    }
}

/// Guards against a delayed report from an earlier process, and against an age counted from the time of receipt.
#[test]
fn old_reports_do_not_refresh_the_contact() {
    let at = clock::Instant::from_millis;
    let hosts = ["a", "b", "c"].map(|n| name::Name::parse(n).expect("a valid name"));
    let mut monitor = freshness::Monitor::new(hosts[0].clone());
    monitor.set_roster(&hosts);
    monitor.record_applied(at(0), 5);
    let report = |incarnation, revision, sent| freshness::Report {
        host: hosts[1].clone(),
        incarnation,
        revision,
        store_age: Some(time::Duration::from_millis(100)),
        sent_at: at(sent),
    };
    monitor.record_report(at(2_000), report(2, 5, 1_000));
    assert_eq!(
        monitor.store_age(at(2_000)),
        Some(time::Duration::from_millis(1_100))
    );
    monitor.record_report(at(2_000), report(1, 5, 1_900));
    assert_eq!(
        monitor.store_age(at(2_000)),
        Some(time::Duration::from_millis(1_100))
    );
    monitor.record_report(at(2_000), report(2, 6, 1_900));
    assert_eq!(
        monitor.store_age(at(2_000)),
        Some(time::Duration::from_millis(1_100))
    );
    monitor.record_applied(at(2_100), 6);
    assert_eq!(
        monitor.store_age(at(2_100)),
        Some(time::Duration::from_millis(300))
    );
}
