use std::collections;

use carawaycleat_core::clock;
use carawaycleat_core::name;
use carawaycleat_core::outcome;
use carawaycleat_core::request;
use carawaycleat_core::retry;
use carawaycleat_core::routing;
use carawaycleat_core::stream;

use super::routing as support;

/// Numbers of upstreams: with two, a pair of faults can affect all of them; with three, one is unaffected.
const UPSTREAMS: [usize; 2] = [2, 3];
const TICK_MS: u64 = 250;
/// Ticks in which requests are sent. The remaining ticks are longer than three attempts at the longest limit of 16 s.
const SENDING_TICKS: u64 = 20;
const TICKS: u64 = 240;
const TOKENS: u64 = 4;

type Faults = Vec<(Fault, usize, u64)>;

/// A fault of one fake upstream, or of the network between it and the entry host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    ReportsLost,
    ReportDelayed,
    ReportDuplicated,
    ReportsReordered,
    UpstreamHung,
    ResponseTruncated,
    ResponsesSwapped,
    UpstreamLeaving,
    UpstreamRestarted,
    DisconnectedBeforeSend,
    DisconnectedAfterSend,
}

impl Fault {
    const ALL: [Self; 11] = {
        use Fault::*;
        [
            ReportsLost,
            ReportDelayed,
            ReportDuplicated,
            ReportsReordered,
            UpstreamHung,
            ResponseTruncated,
            ResponsesSwapped,
            UpstreamLeaving,
            UpstreamRestarted,
            DisconnectedBeforeSend,
            DisconnectedAfterSend,
        ]
    };
}

/// A violated invariant.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Violation {
    /// A request was sent to an upstream that had reported that it is leaving.
    LeavingUpstream,
    /// A request was sent to an upstream without a report for 1,250 ms.
    SilentUpstream,
    /// A response was reported as complete that is not the caller's own or not whole.
    WrongResponse,
    /// A non-idempotent request ran twice.
    RanTwice,
    /// A request that ran was reported as not run.
    FalseNotRun,
    /// A request was refused although a live upstream was known at which it had not failed.
    NeedlessRefusal,
    /// A request had not ended at the end of the run.
    NeverEnded,
}

/// The rules of the entry host. Each naive rule replaces one of them.
#[derive(Clone, Copy)]
struct Rules {
    policy: routing::Policy,
    checks_order: bool,
    checks_response: bool,
    checks_progress: bool,
    decide: fn(clock::Instant, &retry::Attempt, &mut retry::Budget) -> retry::Action,
}

fn guarded() -> Rules {
    Rules {
        policy: routing::Policy::default(),
        checks_order: true,
        checks_response: true,
        checks_progress: true,
        decide: retry::decide,
    }
}

/// An attempt that runs at a fake upstream.
#[derive(Clone, Debug)]
struct Run {
    id: request::Id,
    caller_index: u128,
    next: u64,
}

/// A fake upstream with its sidecar, and the faults that affect it.
#[derive(Clone, Debug, Default)]
struct FakeUpstream {
    incarnation: u64,
    sequence: u64,
    is_leaving: bool,
    is_hung: bool,
    lost_until: u64,
    delays: Vec<u64>,
    /// Faults of the next response or connection.
    pending: Vec<Fault>,
    runs: Vec<Run>,
    /// Tick in which the entry host received the latest report.
    last_report_tick: u64,
    /// Incarnation and sequence number of the latest report.
    latest_report: (u64, u64),
    /// Whether the latest report stated that the upstream is leaving.
    reported_leaving: bool,
}

impl FakeUpstream {
    fn take_fault(&mut self, fault: Fault) -> bool {
        let found = self.pending.iter().position(|other| *other == fault);
        found.map(|index| self.pending.remove(index)).is_some()
    }
}

/// A caller's request, and what the test has recorded about it.
struct Caller {
    is_idempotent: bool,
    executions: u32,
    received: Vec<(u128, u64)>,
    cursor: stream::Cursor,
    attempts: u32,
    upstream: name::Name,
    failed_at: Vec<name::Name>,
    earlier_outcome: outcome::Outcome,
    has_ended: bool,
}

struct Scenario {
    rules: Rules,
    now: clock::Instant,
    tick: u64,
    names: support::Names,
    table: routing::Table,
    budget: retry::Budget,
    random: fastrand::Rng,
    fakes: Vec<FakeUpstream>,
    reports: Vec<(u64, routing::Report)>,
    delivered: u64,
    steps: u64,
    callers: Vec<Caller>,
    violations: collections::BTreeMap<Violation, usize>,
}

impl Scenario {
    fn new(rules: Rules, upstreams: usize) -> Self {
        let mut table = routing::Table::new(rules.policy);
        table.configure(&support::snapshot(1, upstreams as u16, |_, _| {}));
        Self {
            rules,
            now: clock::Instant::default(),
            tick: 0,
            names: support::Names::new(),
            table,
            budget: retry::Budget::new(100, 100),
            random: fastrand::Rng::with_seed(21),
            fakes: vec![FakeUpstream::default(); upstreams],
            reports: Vec::new(),
            delivered: 0,
            steps: 0,
            callers: Vec::new(),
            violations: collections::BTreeMap::new(),
        }
    }

    fn run(mut self, faults: &Faults) -> (collections::BTreeMap<Violation, usize>, u64) {
        for tick in 0..TICKS {
            self.tick = tick;
            self.now = support::at(tick * TICK_MS);
            for (fault, upstream, _) in faults.iter().filter(|(_, _, at)| *at == tick) {
                self.inject(*fault, *upstream);
            }
            self.exchange_reports();
            (0..self.fakes.len()).for_each(|upstream| self.advance_upstream(upstream));
            if self.rules.checks_progress {
                for (id, _) in self.table.detect_stalls(self.now) {
                    self.fail(id, routing::Failure::Timeout, true);
                }
            }
            // The first reports arrive in the first tick.
            if (1..SENDING_TICKS).contains(&tick) {
                self.start_request(tick % 2 == 0);
                self.start_request(tick % 2 == 1);
            }
            self.steps += 1;
            if tick >= SENDING_TICKS && self.callers.iter().all(|caller| caller.has_ended) {
                break;
            }
        }
        for index in 0..self.callers.len() {
            let caller = &self.callers[index];
            let ran_twice = !caller.is_idempotent && caller.executions > 1;
            let has_ended = caller.has_ended;
            self.check(!ran_twice, Violation::RanTwice);
            self.check(has_ended, Violation::NeverEnded);
        }
        (self.violations, self.steps)
    }

    fn check(&mut self, holds: bool, violation: Violation) {
        if !holds {
            *self.violations.entry(violation).or_default() += 1;
        }
    }

    fn inject(&mut self, fault: Fault, upstream: usize) {
        let fake = &mut self.fakes[upstream];
        match fault {
            Fault::ReportsLost => fake.lost_until = self.tick + 10,
            Fault::ReportDelayed => fake.delays = vec![5],
            Fault::ReportDuplicated => fake.delays = vec![0, 5],
            Fault::ReportsReordered => fake.delays = vec![3],
            Fault::UpstreamHung => fake.is_hung = true,
            Fault::UpstreamLeaving => fake.is_leaving = true,
            Fault::ResponseTruncated
            | Fault::ResponsesSwapped
            | Fault::DisconnectedBeforeSend
            | Fault::DisconnectedAfterSend => fake.pending.push(fault),
            Fault::UpstreamRestarted => {
                let lost = std::mem::take(&mut fake.runs);
                fake.incarnation += 1;
                (fake.sequence, fake.is_leaving, fake.is_hung) = (0, false, false);
                for run in lost {
                    self.fail(run.id, routing::Failure::Error, true);
                }
            }
        }
    }

    fn exchange_reports(&mut self) {
        for (index, fake) in self.fakes.iter_mut().enumerate() {
            if !self.tick.is_multiple_of(2) {
                continue;
            }
            fake.sequence += 1;
            if self.tick < fake.lost_until {
                continue;
            }
            let mut report = support::report(&format!("u{index}"), fake.sequence);
            (report.incarnation, report.leaving) = (fake.incarnation, fake.is_leaving);
            report.in_flight = fake.runs.len() as u32;
            let delays = std::mem::take(&mut fake.delays);
            let delays = if delays.is_empty() { vec![0] } else { delays };
            let due = delays
                .into_iter()
                .map(|delay| (self.tick + delay, report.clone()));
            self.reports.extend(due);
        }
        let (due, later) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|(at, _)| *at <= self.tick);
        self.reports = later;
        let due: Vec<(u64, routing::Report)> = due;
        for (_, mut report) in due {
            let fake = &mut self.fakes[index(&report.upstream)];
            if (report.incarnation, report.sequence) > fake.latest_report {
                fake.latest_report = (report.incarnation, report.sequence);
                fake.last_report_tick = self.tick;
                fake.reported_leaving = report.leaving;
            }
            self.delivered += 1;
            if !self.rules.checks_order {
                (report.incarnation, report.sequence) = (0, self.delivered);
            }
            self.table.apply_report(self.now, report);
        }
    }

    fn start_request(&mut self, is_idempotent: bool) {
        self.budget.record_request(self.now);
        self.callers.push(Caller {
            is_idempotent,
            executions: 0,
            received: Vec::new(),
            cursor: stream::Cursor::new(request::Id::from_u128(0)),
            attempts: 0,
            upstream: support::name("none"),
            failed_at: Vec::new(),
            earlier_outcome: outcome::Outcome::NotRun,
            has_ended: false,
        });
        self.send(self.callers.len() - 1, 0);
    }

    fn send(&mut self, caller_index: usize, position: u64) {
        let caller = &mut self.callers[caller_index];
        let criteria = routing::Criteria {
            exclude: &caller.failed_at,
            ..self.names.criteria()
        };
        let Ok(upstream) = self
            .table
            .pick(self.now, &criteria, &mut || self.random.u64(..))
        else {
            let tick = self.tick;
            let is_needless = self.fakes.iter().enumerate().any(|(index, fake)| {
                let has_failed = caller
                    .failed_at
                    .iter()
                    .any(|name| self::index(name) == index);
                !fake.reported_leaving && tick - fake.last_report_tick < 5 && !has_failed
            });
            self.check(!is_needless, Violation::NeedlessRefusal);
            return self.end(caller_index, self.callers[caller_index].earlier_outcome);
        };
        caller.attempts += 1;
        let id = support::id(caller_index as u128 * 16 + u128::from(caller.attempts));
        caller.cursor.resume(id);
        caller.upstream = upstream.clone();
        self.table
            .record_start(self.now, id, &upstream, &self.names.criteria());
        let index = index(&upstream);
        let fake = &self.fakes[index];
        let (is_leaving, last_report_tick) = (fake.reported_leaving, fake.last_report_tick);
        self.check(!is_leaving, Violation::LeavingUpstream);
        self.check(self.tick - last_report_tick < 5, Violation::SilentUpstream);
        let fake = &mut self.fakes[index];
        if fake.take_fault(Fault::DisconnectedBeforeSend) {
            return self.fail(id, routing::Failure::Error, false);
        }
        if fake.is_leaving {
            fake.reported_leaving = true;
            return self.fail(id, routing::Failure::Leaving, true);
        }
        self.callers[caller_index].executions += 1;
        if fake.take_fault(Fault::DisconnectedAfterSend) {
            return self.fail(id, routing::Failure::Error, true);
        }
        fake.runs.push(Run {
            id,
            caller_index: caller_index as u128,
            next: position,
        });
    }

    /// Sends the next token, or the end, of each response of a fake upstream.
    fn advance_upstream(&mut self, upstream: usize) {
        if self.fakes[upstream].is_hung {
            return;
        }
        for run in self.fakes[upstream].runs.clone() {
            let fake = &mut self.fakes[upstream];
            let is_short = run.next == TOKENS - 1 && fake.take_fault(Fault::ResponseTruncated);
            if run.next == TOKENS || is_short {
                fake.runs.retain(|other| other.id != run.id);
                self.finish(&run);
                continue;
            }
            let other = fake.runs.iter().find(|other| other.id != run.id).cloned();
            let swapped = other.filter(|_| fake.take_fault(Fault::ResponsesSwapped));
            let sent = swapped.unwrap_or_else(|| run.clone());
            for own in fake.runs.iter_mut().filter(|own| own.id == run.id) {
                own.next += 1;
            }
            self.token(&run, &sent);
        }
    }

    fn token(&mut self, run: &Run, sent: &Run) {
        let caller = &mut self.callers[run.caller_index as usize];
        let accepted = caller.cursor.accept(sent.id, sent.next);
        if accepted.is_err() && self.rules.checks_response {
            return self.fail(run.id, routing::Failure::Mismatched, true);
        }
        caller.received.push((sent.caller_index, sent.next));
        if run.next == 0 {
            self.table.record_first_token(self.now, run.id);
        } else {
            self.table.record_token(self.now, run.id);
        }
    }

    fn finish(&mut self, run: &Run) {
        let caller = &mut self.callers[run.caller_index as usize];
        let is_whole = caller.cursor.finish(run.id, TOKENS).is_ok();
        if !is_whole && self.rules.checks_response {
            return self.fail(run.id, routing::Failure::Incomplete, true);
        }
        self.table.record_success(self.now, run.id);
        caller.has_ended = true;
        let is_own = caller
            .received
            .iter()
            .copied()
            .eq((0..TOKENS).map(|position| (run.caller_index, position)));
        self.check(is_own, Violation::WrongResponse);
    }

    fn fail(&mut self, id: request::Id, failure: routing::Failure, sent: bool) {
        self.table.record_failure(self.now, id, failure);
        let caller_index = (id.as_u128() / 16) as usize;
        let caller = &mut self.callers[caller_index];
        // The cancellation ends the attempt at the upstream.
        self.fakes[index(&caller.upstream)]
            .runs
            .retain(|run| run.id != id);
        caller.failed_at.push(caller.upstream.clone());
        let (reason, outcome) = match failure {
            routing::Failure::Leaving => {
                (outcome::Reason::UpstreamLeaving, outcome::Outcome::NotRun)
            }
            _ => (outcome::Reason::UpstreamFailed, outcome::Outcome::Unknown),
        };
        let attempt = retry::Attempt {
            outcome,
            reason,
            sent,
            idempotent: caller.is_idempotent,
            attempts: caller.attempts,
            earlier_outcome: caller.earlier_outcome,
            delivered: caller.cursor.position(),
            resumable: caller.is_idempotent,
            deadline: support::at(TICKS * TICK_MS),
        };
        caller.earlier_outcome = attempt.total_outcome();
        match (self.rules.decide)(self.now, &attempt, &mut self.budget) {
            retry::Action::Retry => self.send(caller_index, 0),
            retry::Action::Resume { position } => self.send(caller_index, position),
            // The budget of the scenario is never used up.
            retry::Action::Wait => self.check(false, Violation::NeverEnded),
            retry::Action::Fail { outcome, .. } => self.end(caller_index, outcome),
        }
    }

    fn end(&mut self, caller_index: usize, outcome: outcome::Outcome) {
        let caller = &mut self.callers[caller_index];
        caller.has_ended = true;
        let is_false = outcome == outcome::Outcome::NotRun && caller.executions > 0;
        self.check(!is_false, Violation::FalseNotRun);
    }
}

fn index(upstream: &name::Name) -> usize {
    upstream[1..].parse().expect("a number")
}

/// Returns each fault in each step, and each pair of faults at the same and at different upstreams and steps.
fn cases() -> Vec<(Faults, usize)> {
    let mut cases = vec![Vec::new()];
    for first in Fault::ALL {
        for step in 1..SENDING_TICKS {
            cases.push(vec![(first, 0, step)]);
        }
        for second in Fault::ALL {
            for step in 1..SENDING_TICKS {
                for (upstream, later) in [(0, 0), (0, 1), (0, 3), (1, 0), (1, 2)] {
                    cases.push(vec![(first, 0, step), (second, upstream, step + later)]);
                }
            }
        }
    }
    let with_upstreams = |case: Vec<_>| UPSTREAMS.map(|upstreams| (case.clone(), upstreams));
    cases.into_iter().flat_map(with_upstreams).collect()
}

fn run_all(rules: Rules) -> collections::BTreeMap<Violation, usize> {
    let mut total = collections::BTreeMap::new();
    for (case, upstreams) in cases() {
        for violation in Scenario::new(rules, upstreams).run(&case).0.into_keys() {
            *total.entry(violation).or_default() += 1;
        }
    }
    total
}

/// Guards against any [`Violation`] under one fault or two.
#[test]
fn no_invariant_breaks_under_faults() {
    let cases = cases();
    let injections: usize = cases.iter().map(|(faults, _)| faults.len()).sum();
    let count = cases.len();
    let mut all_steps = 0;
    for (case, upstreams) in cases {
        let (violations, steps) = Scenario::new(guarded(), upstreams).run(&case);
        assert!(
            violations.is_empty(),
            "{case:?} with {upstreams} upstreams: {violations:?}"
        );
        all_steps += steps;
    }
    println!("fault: {count} cases, {all_steps} steps, {injections} injections");
}

fn with_policy(change: impl Fn(&mut routing::Policy)) -> Rules {
    let mut rules = guarded();
    change(&mut rules.policy);
    rules
}

fn retry_always(
    _: clock::Instant,
    attempt: &retry::Attempt,
    _: &mut retry::Budget,
) -> retry::Action {
    match attempt.attempts {
        0..3 => retry::Action::Retry,
        _ => retry::Action::Fail {
            outcome: attempt.outcome,
            reason: attempt.reason,
        },
    }
}

fn report_not_run(
    _: clock::Instant,
    attempt: &retry::Attempt,
    _: &mut retry::Budget,
) -> retry::Action {
    retry::Action::Fail {
        outcome: outcome::Outcome::NotRun,
        reason: attempt.reason,
    }
}

/// Checks that the test matrix detects each missing guard: under a naive rule, the same cases violate the invariant
/// that the guard protects.
#[yare::parameterized(
    report_age_is_ignored = {
        with_policy(|policy| policy.max_report_age = std::time::Duration::MAX),
        Violation::SilentUpstream
    },
    report_order_is_ignored = { Rules { checks_order: false, ..guarded() }, Violation::LeavingUpstream },
    identity_is_ignored = { Rules { checks_response: false, ..guarded() }, Violation::WrongResponse },
    progress_is_ignored = { Rules { checks_progress: false, ..guarded() }, Violation::NeverEnded },
    ejection_has_no_bound = { with_policy(|policy| policy.max_ejected_percent = 100), Violation::NeedlessRefusal },
    all_is_retried = { Rules { decide: retry_always, ..guarded() }, Violation::RanTwice },
    all_is_reported_not_run = { Rules { decide: report_not_run, ..guarded() }, Violation::FalseNotRun },
)]
fn a_naive_rule_breaks(rules: Rules, expected: Violation) {
    let violations = run_all(rules);
    println!(
        "fault: cases with a violation under a naive rule: {violations:?}, expected {expected:?}"
    );
    assert!(violations.contains_key(&expected));
}
