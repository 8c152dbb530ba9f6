use std::collections;
use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::memory;
use carawaycleat_core::outcome;
use carawaycleat_core::resource;
use carawaycleat_core::side;

use crate::fake::engine;
use crate::fake::fleet;

const TOTAL: u64 = 10;
const STEPS: u64 = 110;
const SHUTDOWN_AT: u64 = 95;
const JOB_STEPS: u64 = 4;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    Guarded,
    /// A plan is adopted whatever its revision.
    AnyPlan,
    /// The process ends as soon as it is asked to.
    ExitAtOnce,
    /// A duplicate of a refused request counts as a new request.
    ForgetRefused,
}

/// A sidecar with its engine. A request arrives at each step, and a duplicate of it 12 steps later.
struct Scenario {
    rule: Rule,
    reducer: side::Reducer,
    engine: engine::Engine,
    checked: bool,
    running: collections::BTreeMap<u128, u64>,
    not_run: collections::BTreeSet<u128>,
    /// The requests that the current incarnation of the sidecar has started.
    started: collections::BTreeSet<u128>,
    violations: Vec<&'static str>,
    has_exited: bool,
}

fn model(text: &str) -> memory::Item {
    fleet::model(text, if text == "c" { 8 } else { 5 })
}

fn plan(step: u64) -> (u64, Vec<memory::Item>) {
    match step {
        0..30 => (5, vec![model("a"), model("b")]),
        30..50 => (6, vec![model("c")]),
        _ => (7, vec![model("b"), model("a")]),
    }
}

impl Scenario {
    fn new(rule: Rule, checked: bool) -> Self {
        Self {
            rule,
            reducer: Self::reducer(checked, 0),
            engine: engine::Engine::new(checked, TOTAL, 1),
            checked,
            running: collections::BTreeMap::new(),
            not_run: collections::BTreeSet::new(),
            started: collections::BTreeSet::new(),
            violations: Vec::new(),
            has_exited: false,
        }
    }

    fn reducer(checked: bool, step: u64) -> side::Reducer {
        let mode = if checked {
            resource::Fencing::Checked
        } else {
            resource::Fencing::Ignored
        };
        let options = memory::Options {
            report_lag: time::Duration::from_secs(engine::MAX_LAG_STEPS as u64 + 1),
            ..memory::Options::default()
        };
        let now = clock::Instant::from_millis(step * 1_000);
        side::Reducer::with_options(now, mode, 100 + step, options)
    }

    fn run(mut self, faults: &[(u64, engine::Fault)]) -> Self {
        for step in 1..=STEPS {
            let active: Vec<_> = faults.iter().filter(|f| f.0 == step).map(|f| f.1).collect();
            for &fault in &active {
                self.engine.inject(fault);
                if fault == engine::Fault::RestartSidecar {
                    self.reducer = Self::reducer(self.checked, step);
                    self.running.clear();
                    self.started.clear();
                }
            }
            self.engine.step();
            for event in self.events(step) {
                self.step(step, event, &active);
            }
            if self.engine.overcommits > 0 {
                self.violations.push("overcommitted");
            }
            if self.has_exited {
                break;
            }
        }
        if !self.has_exited {
            self.violations.push("the process did not end");
        }
        self
    }

    fn events(&mut self, step: u64) -> Vec<side::Event> {
        let mut events = Vec::new();
        events.extend(
            self.engine
                .report()
                .map(|r| side::Event::EngineState(r.clone(), 0)),
        );
        // Two entry hosts respond; the plans of the second lag twelve steps behind.
        for (at, is_leaving) in [
            (step, (70..80).contains(&step)),
            (step.saturating_sub(12), (70..80).contains(&step)),
        ] {
            let (plan_revision, holdings) = plan(at);
            let plan_revision = match self.rule {
                Rule::AnyPlan => 1_000 * step + events.len() as u64,
                _ => plan_revision,
            };
            events.push(side::Event::Directive(side::Directive {
                sent_at: None,
                revision: 0,
                plan_revision,
                holdings,
                leaving: is_leaving,
            }));
        }
        let due = |id: u128| self.running.get(&id) == Some(&step);
        let ended: Vec<_> = self.running.keys().copied().filter(|&id| due(id)).collect();
        for id in ended {
            self.running.remove(&id);
            events.push(side::Event::JobEnded(id, outcome::Outcome::Ran, 1));
        }
        // The shutdown is repeated for a sidecar that has restarted since.
        if step >= SHUTDOWN_AT && step.is_multiple_of(5) {
            events.push(side::Event::Shutdown);
        }
        for (id, is_duplicate) in [
            (u128::from(step), false),
            (u128::from(step.saturating_sub(12)), true),
        ] {
            let is_renamed = is_duplicate && self.rule == Rule::ForgetRefused;
            events.push(side::Event::JobArrived(side::Job {
                sent_at: timestamp(),
                id: if is_renamed { id + 1_000 } else { id },
                item: None,
                idempotent: false,
                claim: Some(format!("w/{id}")),
            }));
        }
        events
    }

    fn step(&mut self, step: u64, event: side::Event, faults: &[engine::Fault]) {
        let now = clock::Instant::from_millis(step * 1_000);
        let is_shutdown = event == side::Event::Shutdown;
        for effect in self.reducer.step(now, event) {
            self.perform(step, effect, faults);
        }
        if is_shutdown && self.rule == Rule::ExitAtOnce {
            self.perform(step, side::Effect::Exit, faults);
        }
    }

    fn perform(&mut self, step: u64, effect: side::Effect, faults: &[engine::Fault]) {
        match effect {
            side::Effect::SendOrder(order) => {
                if step > 50 && order.kind == memory::Kind::Load && order.item == model("c") {
                    self.violations.push("an old plan was adopted");
                }
                let response = self.engine.send(&order, faults);
                self.step(step, side::Event::OrderResponse(order.id, response), faults);
            }
            side::Effect::StartJob(id) => {
                let id = id % 1_000;
                if self.not_run.contains(&id) && self.started.insert(id) {
                    self.violations
                        .push("a request ran after it was refused as not run");
                }
                if !self.started.insert(id) && !self.not_run.contains(&id) {
                    self.violations.push("a request ran twice");
                }
                self.running.insert(id, step + JOB_STEPS);
            }
            side::Effect::RefuseJob(id, _, outcome) => {
                let id = id % 1_000;
                if outcome == outcome::Outcome::NotRun && self.started.contains(&id) {
                    self.violations
                        .push("a request that ran was refused as not run");
                }
                if outcome == outcome::Outcome::NotRun {
                    self.not_run.insert(id);
                }
            }
            side::Effect::Exit => {
                if !self.running.is_empty() {
                    self.violations.push("the process ended while requests ran");
                }
                self.has_exited = true;
            }
            side::Effect::Report(_) | side::Effect::Record(_) | side::Effect::Order(_) => {}
        }
    }

    /// Returns whether the engine holds each of the models a, b and c.
    fn held(&self) -> [bool; 3] {
        ["a", "b", "c"].map(|text| self.engine.holds(&model(text).id))
    }
}

fn cases() -> Vec<Vec<(u64, engine::Fault)>> {
    let single = (1..100_u64)
        .step_by(2)
        .flat_map(|s| engine::Fault::ALL.map(|f| vec![(s, f)]));
    let mut cases: Vec<_> = single.collect();
    cases.push(Vec::new());
    for first in [8, 17, 31, 33, 36, 51, 54, 69, 79, 93] {
        for f in engine::Fault::ALL {
            for gap in [0, 1, 4] {
                cases.extend(engine::Fault::ALL.map(|g| vec![(first, f), (first + gap, g)]));
            }
        }
    }
    cases
}

/// Returns whether the case restarts the sidecar, which then forgets the refused requests: only the claim in the store,
/// which is not part of this scenario, prevents a duplicate that arrives afterwards from running.
fn restarts_sidecar(faults: &[(u64, engine::Fault)]) -> bool {
    faults.iter().any(|f| f.1 == engine::Fault::RestartSidecar)
}

/// Guards against overcommitted memory, requests wrongly refused as not run, requests run twice, old plans and
/// interrupted requests, under one and two faults.
#[yare::parameterized(
    fencing_ignored = { false },
    fencing_checked = { true },
)]
fn a_sidecar_keeps_its_guarantees_under_faults(checked: bool) {
    let cases = cases();
    let injections: usize = cases.iter().map(Vec::len).sum();
    for faults in &cases {
        let mut scenario = Scenario::new(Rule::Guarded, checked).run(faults);
        if restarts_sidecar(faults) {
            scenario
                .violations
                .retain(|violation| *violation != "a request ran after it was refused as not run");
        }
        assert_eq!(scenario.violations, Vec::<&str>::new(), "under {faults:?}");
        let is_late = faults.iter().any(|f| f.0 > 60);
        assert!(
            is_late || scenario.held() == [true, true, false],
            "{:?} under {faults:?}",
            scenario.held()
        );
    }
    println!(
        "{} cases, {STEPS} steps each, {injections} injections",
        cases.len()
    );
}

/// Guards against scenarios that do not exercise a rule: a faulty rule must cause the violation.
#[yare::parameterized(
    any_plan = { Rule::AnyPlan, "an old plan was adopted" },
    exit_at_once = { Rule::ExitAtOnce, "the process ended while requests ran" },
    forget_refused = { Rule::ForgetRefused, "a request ran after it was refused as not run" },
)]
fn a_faulty_rule_is_detected(rule: Rule, violation: &str) {
    let is_violated = |faults: &Vec<_>| {
        let scenario = Scenario::new(rule, false).run(faults);
        scenario.violations.contains(&violation)
    };
    let found = cases().iter().filter(|c| is_violated(c)).count();
    println!("{rule:?}: violated in {found} cases");
    assert!(found > 0);
}

/// Returns a timestamp of an entry host from which the sidecar has no directive, so that no job is too old.
fn timestamp() -> side::Timestamp {
    side::Timestamp {
        host: "e0".to_owned().try_into().expect("a valid name"),
        incarnation: 1,
        instant: clock::Instant::from_millis(0),
    }
}

/// Guards against an item that is unloaded during a running request, and against new requests for an item that is to
/// be unloaded.
#[test]
fn an_item_in_use_is_not_unloaded() {
    let mut reducer = Scenario::reducer(true, 0);
    let mut engine = engine::Engine::new(true, TOTAL, 0);
    let mut sent = Vec::new();
    let job = |id| {
        side::Event::JobArrived(side::Job {
            sent_at: timestamp(),
            id,
            item: Some(model("a").id),
            idempotent: true,
            claim: None,
        })
    };
    for step in 1..60_u64 {
        let now = clock::Instant::from_millis(step * 1_000);
        engine.step();
        let (plan_revision, holdings) = plan(if step < 20 { 0 } else { 30 });
        let directive = side::Directive {
            sent_at: None,
            revision: 0,
            plan_revision,
            holdings,
            leaving: false,
        };
        let mut events = vec![side::Event::Directive(directive)];
        events.extend(
            engine
                .report()
                .map(|r| side::Event::EngineState(r.clone(), 0)),
        );
        match step {
            15 => events.push(job(1)),
            25 => events.push(job(2)),
            40 => events.push(side::Event::JobEnded(1, outcome::Outcome::Ran, 3)),
            _ => {}
        }
        for event in events {
            for effect in reducer.step(now, event) {
                if let side::Effect::SendOrder(order) = &effect {
                    let response = engine.send(order, &[]);
                    reducer.step(now, side::Event::OrderResponse(order.id, response));
                }
                sent.push((step, effect));
            }
        }
        assert!(
            !(20..40).contains(&step) || engine.holds(&model("a").id),
            "unloaded in use at step {step}"
        );
    }
    let refused = side::Effect::RefuseJob(
        2,
        outcome::Reason::UpstreamLeaving,
        outcome::Outcome::NotRun,
    );
    assert!(sent.contains(&(25, refused)));
    assert!(engine.holds(&model("c").id) && !engine.holds(&model("a").id));
}
