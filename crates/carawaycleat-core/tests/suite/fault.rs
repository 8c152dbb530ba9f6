use std::collections;

use carawaycleat_core::clock;
use carawaycleat_core::name;
use carawaycleat_core::outcome;
use carawaycleat_core::request;
use carawaycleat_core::retry;
use carawaycleat_core::routing;
use carawaycleat_core::stream;

use super::routing as support;

/// With two upstreams a pair of faults reaches all of them, with three there is one left.
const UPSTREAMS: [usize; 2] = [2, 3];
const TICK_MS: u64 = 250;
/// Requests are sent in the first ticks; the rest is more than three attempts at the longest limit of 16 s take.
const SENDING_TICKS: u64 = 20;
const TICKS: u64 = 240;
const TOKENS: u64 = 4;

type Faults = Vec<(Fault, usize, u64)>;

/// A fault of one fake upstream or of the way to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    ReportsLost,
    ReportLate,
    ReportTwice,
    ReportsReordered,
    Silent,
    Short,
    Crossed,
    Leaving,
    Restarted,
    CutBefore,
    CutAfter,
}

impl Fault {
    const ALL: [Self; 11] = {
        use Fault::*;
        [
            ReportsLost,
            ReportLate,
            ReportTwice,
            ReportsReordered,
            Silent,
            Short,
            Crossed,
            Leaving,
            Restarted,
            CutBefore,
            CutAfter,
        ]
    };
}

/// The invariants that a run can break.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Broken {
    /// Work went to an upstream that had said that it is leaving.
    Leaving,
    /// Work went to an upstream of which nothing was heard for 1,250 ms.
    Unheard,
    /// A caller was told that an answer is complete that is not its own or not whole.
    Answer,
    /// A non-idempotent request ran twice.
    RanTwice,
    /// A request that ran was said not to have run.
    FalseNotRun,
    /// A request was refused although a live upstream was known that it had not failed at.
    Refused,
    /// A request had not ended at the end of the run.
    Unended,
}

/// The rules of the entry host; each naive rule replaces one of them.
#[derive(Clone, Copy)]
struct Rules {
    policy: routing::Policy,
    checks_order: bool,
    checks_answer: bool,
    watches_progress: bool,
    decide: fn(clock::Instant, &retry::Attempt, &mut retry::Budget) -> retry::Action,
}

fn guarded() -> Rules {
    Rules {
        policy: routing::Policy::default(),
        checks_order: true,
        checks_answer: true,
        watches_progress: true,
        decide: retry::decide,
    }
}

/// An attempt that a fake upstream runs.
#[derive(Clone, Debug)]
struct Run {
    id: request::Id,
    logical: u128,
    next: u64,
}

/// A fake upstream with its sidecar. Its properties are the faults.
#[derive(Clone, Debug, Default)]
struct Fake {
    incarnation: u64,
    sequence: u64,
    is_leaving: bool,
    is_silent: bool,
    lost_until: u64,
    delays: Vec<u64>,
    /// Faults of the next answer or connection.
    pending: Vec<Fault>,
    runs: Vec<Run>,
    /// What the entry host has heard: when last, and whether the newest news was that it is leaving.
    heard_tick: u64,
    newest: (u64, u64),
    heard_leaving: bool,
}

impl Fake {
    fn take(&mut self, fault: Fault) -> bool {
        let found = self.pending.iter().position(|other| *other == fault);
        found.map(|index| self.pending.remove(index)).is_some()
    }
}

/// A request of a caller, as the test records it.
struct Caller {
    is_idempotent: bool,
    executions: u32,
    got: Vec<(u128, u64)>,
    cursor: stream::Cursor,
    attempts: u32,
    upstream: name::Name,
    failed_at: Vec<name::Name>,
    earlier: outcome::Outcome,
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
    fakes: Vec<Fake>,
    reports: Vec<(u64, routing::Report)>,
    delivered: u64,
    steps: u64,
    callers: Vec<Caller>,
    broken: collections::BTreeMap<Broken, usize>,
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
            fakes: vec![Fake::default(); upstreams],
            reports: Vec::new(),
            delivered: 0,
            steps: 0,
            callers: Vec::new(),
            broken: collections::BTreeMap::new(),
        }
    }

    fn run(mut self, faults: &Faults) -> (collections::BTreeMap<Broken, usize>, u64) {
        for tick in 0..TICKS {
            self.tick = tick;
            self.now = support::at(tick * TICK_MS);
            for (fault, upstream, _) in faults.iter().filter(|(_, _, at)| *at == tick) {
                self.inject(*fault, *upstream);
            }
            self.exchange_reports();
            (0..self.fakes.len()).for_each(|upstream| self.answer(upstream));
            if self.rules.watches_progress {
                for (id, _) in self.table.detect_stalls(self.now) {
                    self.fail(id, routing::Failure::Timeout, true);
                }
            }
            // The first reports arrive in the first tick.
            if (1..SENDING_TICKS).contains(&tick) {
                self.accept(tick % 2 == 0);
                self.accept(tick % 2 == 1);
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
            self.check(!ran_twice, Broken::RanTwice);
            self.check(has_ended, Broken::Unended);
        }
        (self.broken, self.steps)
    }

    fn check(&mut self, holds: bool, broken: Broken) {
        if !holds {
            *self.broken.entry(broken).or_default() += 1;
        }
    }

    fn inject(&mut self, fault: Fault, upstream: usize) {
        let fake = &mut self.fakes[upstream];
        match fault {
            Fault::ReportsLost => fake.lost_until = self.tick + 10,
            Fault::ReportLate => fake.delays = vec![5],
            Fault::ReportTwice => fake.delays = vec![0, 5],
            Fault::ReportsReordered => fake.delays = vec![3],
            Fault::Silent => fake.is_silent = true,
            Fault::Leaving => fake.is_leaving = true,
            Fault::Short | Fault::Crossed | Fault::CutBefore | Fault::CutAfter => {
                fake.pending.push(fault)
            }
            Fault::Restarted => {
                let lost = std::mem::take(&mut fake.runs);
                fake.incarnation += 1;
                (fake.sequence, fake.is_leaving, fake.is_silent) = (0, false, false);
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
            let mut load = support::report(&format!("u{index}"), fake.sequence);
            (load.incarnation, load.leaving) = (fake.incarnation, fake.is_leaving);
            load.in_flight = fake.runs.len() as u32;
            let delays = std::mem::take(&mut fake.delays);
            let delays = if delays.is_empty() { vec![0] } else { delays };
            let due = delays
                .into_iter()
                .map(|delay| (self.tick + delay, load.clone()));
            self.reports.extend(due);
        }
        let (due, later) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|(at, _)| *at <= self.tick);
        self.reports = later;
        let due: Vec<(u64, routing::Report)> = due;
        for (_, mut load) in due {
            let fake = &mut self.fakes[index(&load.upstream)];
            if (load.incarnation, load.sequence) > fake.newest {
                fake.newest = (load.incarnation, load.sequence);
                fake.heard_tick = self.tick;
                fake.heard_leaving = load.leaving;
            }
            self.delivered += 1;
            if !self.rules.checks_order {
                (load.incarnation, load.sequence) = (0, self.delivered);
            }
            self.table.apply_report(self.now, load);
        }
    }

    fn accept(&mut self, is_idempotent: bool) {
        self.budget.record_request(self.now);
        self.callers.push(Caller {
            is_idempotent,
            executions: 0,
            got: Vec::new(),
            cursor: stream::Cursor::new(request::Id::from_u128(0)),
            attempts: 0,
            upstream: support::name("none"),
            failed_at: Vec::new(),
            earlier: outcome::Outcome::NotRun,
            has_ended: false,
        });
        self.send(self.callers.len() - 1, 0);
    }

    fn send(&mut self, logical: usize, position: u64) {
        let caller = &mut self.callers[logical];
        let need = routing::Criteria {
            exclude: &caller.failed_at,
            ..self.names.criteria()
        };
        let Ok(upstream) = self
            .table
            .pick(self.now, &need, &mut || self.random.u64(..))
        else {
            let tick = self.tick;
            let is_refused_in_vain = self.fakes.iter().enumerate().any(|(index, fake)| {
                let has_failed = caller
                    .failed_at
                    .iter()
                    .any(|name| self::index(name) == index);
                !fake.heard_leaving && tick - fake.heard_tick < 5 && !has_failed
            });
            self.check(!is_refused_in_vain, Broken::Refused);
            return self.end(logical, self.callers[logical].earlier);
        };
        caller.attempts += 1;
        let id = support::id(logical as u128 * 16 + u128::from(caller.attempts));
        caller.cursor.resume(id);
        caller.upstream = upstream.clone();
        self.table
            .record_start(self.now, id, &upstream, &self.names.criteria());
        let index = index(&upstream);
        let fake = &self.fakes[index];
        let (is_leaving, heard_tick) = (fake.heard_leaving, fake.heard_tick);
        self.check(!is_leaving, Broken::Leaving);
        self.check(self.tick - heard_tick < 5, Broken::Unheard);
        let fake = &mut self.fakes[index];
        if fake.take(Fault::CutBefore) {
            return self.fail(id, routing::Failure::Error, false);
        }
        if fake.is_leaving {
            fake.heard_leaving = true;
            return self.fail(id, routing::Failure::Leaving, true);
        }
        self.callers[logical].executions += 1;
        if fake.take(Fault::CutAfter) {
            return self.fail(id, routing::Failure::Error, true);
        }
        fake.runs.push(Run {
            id,
            logical: logical as u128,
            next: position,
        });
    }

    /// Lets a fake upstream send the next token of each of its answers, or the end.
    fn answer(&mut self, upstream: usize) {
        if self.fakes[upstream].is_silent {
            return;
        }
        for run in self.fakes[upstream].runs.clone() {
            let fake = &mut self.fakes[upstream];
            let is_short = run.next == TOKENS - 1 && fake.take(Fault::Short);
            if run.next == TOKENS || is_short {
                fake.runs.retain(|other| other.id != run.id);
                self.finish(&run);
                continue;
            }
            let other = fake.runs.iter().find(|other| other.id != run.id).cloned();
            let crossed = other.filter(|_| fake.take(Fault::Crossed));
            let sent = crossed.unwrap_or_else(|| run.clone());
            for own in fake.runs.iter_mut().filter(|own| own.id == run.id) {
                own.next += 1;
            }
            self.token(&run, &sent);
        }
    }

    fn token(&mut self, run: &Run, sent: &Run) {
        let caller = &mut self.callers[run.logical as usize];
        let accepted = caller.cursor.accept(sent.id, sent.next);
        if accepted.is_err() && self.rules.checks_answer {
            return self.fail(run.id, routing::Failure::Mismatched, true);
        }
        caller.got.push((sent.logical, sent.next));
        if run.next == 0 {
            self.table.record_first_token(self.now, run.id);
        } else {
            self.table.record_token(self.now, run.id);
        }
    }

    fn finish(&mut self, run: &Run) {
        let caller = &mut self.callers[run.logical as usize];
        let is_whole = caller.cursor.finish(run.id, TOKENS).is_ok();
        if !is_whole && self.rules.checks_answer {
            return self.fail(run.id, routing::Failure::Incomplete, true);
        }
        self.table.record_success(self.now, run.id);
        caller.has_ended = true;
        let is_own = caller
            .got
            .iter()
            .copied()
            .eq((0..TOKENS).map(|position| (run.logical, position)));
        self.check(is_own, Broken::Answer);
    }

    fn fail(&mut self, id: request::Id, failure: routing::Failure, sent: bool) {
        self.table.record_failure(self.now, id, failure);
        let logical = (id.as_u128() / 16) as usize;
        let caller = &mut self.callers[logical];
        // Cancelling ends the attempt at the upstream.
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
            earlier_outcome: caller.earlier,
            delivered: caller.cursor.position(),
            resumable: caller.is_idempotent,
            deadline: support::at(TICKS * TICK_MS),
        };
        caller.earlier = attempt.total_outcome();
        match (self.rules.decide)(self.now, &attempt, &mut self.budget) {
            retry::Action::Retry => self.send(logical, 0),
            retry::Action::Resume { position } => self.send(logical, position),
            retry::Action::Fail { outcome, .. } => self.end(logical, outcome),
        }
    }

    fn end(&mut self, logical: usize, outcome: outcome::Outcome) {
        let caller = &mut self.callers[logical];
        caller.has_ended = true;
        let is_false = outcome == outcome::Outcome::NotRun && caller.executions > 0;
        self.check(!is_false, Broken::FalseNotRun);
    }
}

fn index(upstream: &name::Name) -> usize {
    upstream[1..].parse().expect("a number")
}

/// Returns each fault at each step, and each pair at the same and at different upstreams and steps.
fn cells() -> Vec<(Faults, usize)> {
    let mut cells = vec![Vec::new()];
    for first in Fault::ALL {
        for step in 1..SENDING_TICKS {
            cells.push(vec![(first, 0, step)]);
        }
        for second in Fault::ALL {
            for step in 1..SENDING_TICKS {
                for (upstream, later) in [(0, 0), (0, 1), (0, 3), (1, 0), (1, 2)] {
                    cells.push(vec![(first, 0, step), (second, upstream, step + later)]);
                }
            }
        }
    }
    let with_upstreams = |cell: Vec<_>| UPSTREAMS.map(|upstreams| (cell.clone(), upstreams));
    cells.into_iter().flat_map(with_upstreams).collect()
}

fn run_all(rules: Rules) -> collections::BTreeMap<Broken, usize> {
    let mut total = collections::BTreeMap::new();
    for (cell, upstreams) in cells() {
        for broken in Scenario::new(rules, upstreams).run(&cell).0.into_keys() {
            *total.entry(broken).or_default() += 1;
        }
    }
    total
}

/// Guards against any of [`Broken`] under one fault or two.
#[test]
fn no_invariant_breaks_under_faults() {
    let cells = cells();
    let injections: usize = cells.iter().map(|(faults, _)| faults.len()).sum();
    let count = cells.len();
    let mut all_steps = 0;
    for (cell, upstreams) in cells {
        let (broken, steps) = Scenario::new(guarded(), upstreams).run(&cell);
        assert!(
            broken.is_empty(),
            "{cell:?} with {upstreams} upstreams breaks {broken:?}"
        );
        all_steps += steps;
    }
    println!("fault: {count} cells, {all_steps} steps, {injections} injections");
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

fn say_not_run(
    _: clock::Instant,
    attempt: &retry::Attempt,
    _: &mut retry::Budget,
) -> retry::Action {
    retry::Action::Fail {
        outcome: outcome::Outcome::NotRun,
        reason: attempt.reason,
    }
}

/// Shows that the matrix finds each fault: with one naive rule the same cells break the invariant that it guards.
#[yare::parameterized(
    reports_are_trusted = { with_policy(|policy| policy.max_report_age = std::time::Duration::MAX), Broken::Unheard },
    report_order_is_ignored = { Rules { checks_order: false, ..guarded() }, Broken::Leaving },
    identity_is_ignored = { Rules { checks_answer: false, ..guarded() }, Broken::Answer },
    progress_is_ignored = { Rules { watches_progress: false, ..guarded() }, Broken::Unended },
    ejection_has_no_bound = { with_policy(|policy| policy.max_ejected_percent = 100), Broken::Refused },
    all_is_retried = { Rules { decide: retry_always, ..guarded() }, Broken::RanTwice },
    all_is_called_not_run = { Rules { decide: say_not_run, ..guarded() }, Broken::FalseNotRun },
)]
fn a_naive_rule_breaks(rules: Rules, expected: Broken) {
    let broken = run_all(rules);
    println!("fault: cells broken by a naive rule: {broken:?}, expected {expected:?}");
    assert!(broken.contains_key(&expected));
}
