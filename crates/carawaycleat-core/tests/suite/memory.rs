use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::memory;
use carawaycleat_core::name;
use carawaycleat_core::resource;
use proptest::test_runner;

use crate::fake::engine;

/// The memory of the accelerator, in bytes.
const TOTAL: u64 = 10;
/// The number of steps of a run, of 1 s each.
const STEPS: u64 = 130;
/// The items to hold from each step on. The last change leaves time for two faults and the delays that follow them.
const TARGETS: [(u64, &[&str]); 9] = [
    (0, &["a", "b"]),
    (24, &["c"]),
    (31, &["b"]),
    (34, &["a", "a+x"]),
    (40, &["c"]),
    (45, &["a", "b"]),
    (50, &["a", "a+x"]),
    (54, &["c", "c+x"]),
    (70, &["b", "a"]),
];

fn item(text: &str) -> memory::Item {
    let name = |part: &str| name::Name::parse(part).expect("a valid name");
    let (model, adapter) = text
        .split_once('+')
        .map_or((text, None), |(m, a)| (m, Some(a)));
    let id = memory::Id::model(name(model), name("v1"));
    let bytes = match (adapter, model) {
        (Some(_), _) => 1,
        (None, "c") => 8,
        (None, _) => 5,
    };
    match adapter {
        Some(adapter) => memory::Item::new(id.with_adapter(name(adapter)), bytes),
        None => memory::Item::new(id, bytes),
    }
}

/// The rule by which the account reserves and releases memory.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    Guarded,
    /// Memory is released when the unload is sent.
    FreeOnUnloadSent,
    /// Only the last report is considered, not the orders in transit.
    ReportOnly,
    /// There is no wait for orders of a predecessor or from before an engine restart.
    NoOrderDelay,
    /// A report that is read after the wait is assumed to have been taken after it.
    IgnoreLag,
    /// The fencing number is not claimed, and there is no wait.
    NoClaim,
}

fn options(rule: Rule) -> memory::Options {
    let mut options = memory::Options {
        report_lag: time::Duration::from_secs(engine::MAX_LAG_STEPS as u64 + 1),
        ..memory::Options::default()
    };
    if matches!(rule, Rule::NoOrderDelay | Rule::NoClaim) {
        options.max_order_delay = time::Duration::ZERO;
    }
    if matches!(rule, Rule::NoOrderDelay | Rule::IgnoreLag | Rule::NoClaim) {
        options.report_lag = time::Duration::ZERO;
    }
    options
}

#[derive(Debug, Default)]
struct Outcome {
    overcommits: usize,
    /// Whether the items of the last target are resident at the end.
    is_complete: bool,
}

/// A sidecar that loads and unloads the items of the targets through an account, and the engine.
struct Run {
    rule: Rule,
    engine: engine::Engine,
    account: memory::Account,
    next_naive_order: u64,
}

impl Run {
    fn new(rule: Rule, checked: bool, lag: usize) -> Self {
        Self {
            rule,
            engine: engine::Engine::new(checked, TOTAL, lag),
            account: Self::account(rule, checked, 0),
            next_naive_order: 1,
        }
    }

    fn account(rule: Rule, checked: bool, step: u64) -> memory::Account {
        let mode = if checked && rule != Rule::NoClaim {
            resource::Fencing::Checked
        } else {
            resource::Fencing::Ignored
        };
        let now = clock::Instant::from_millis(step * 1_000);
        memory::Account::with_options(now, mode, 100 + step, options(rule))
    }

    fn outcome(mut self, faults: &[(u64, engine::Fault)]) -> Outcome {
        let checked = self.engine.checks_fencing;
        for step in 1..=STEPS {
            let active: Vec<_> = faults.iter().filter(|f| f.0 == step).map(|f| f.1).collect();
            for &fault in &active {
                self.engine.inject(fault);
                if fault == engine::Fault::RestartSidecar {
                    self.account = Self::account(self.rule, checked, step);
                }
            }
            self.engine.step();
            self.pursue_target(step, &active);
        }
        let (_, target) = TARGETS[TARGETS.len() - 1];
        Outcome {
            overcommits: self.engine.overcommits,
            is_complete: target.iter().all(|text| self.engine.holds(&item(text).id)),
        }
    }

    fn pursue_target(&mut self, step: u64, faults: &[engine::Fault]) {
        let now = clock::Instant::from_millis(step * 1_000);
        if let Some(report) = self.engine.report() {
            self.account.observe(now, report);
        }
        for order in self.account.resend(now) {
            self.send(now, &order, faults);
        }
        let target = TARGETS
            .iter()
            .rev()
            .find(|t| t.0 <= step)
            .map_or(&[][..], |t| t.1);
        let wanted: Vec<_> = target.iter().map(|text| item(text)).collect();
        let resident: Vec<_> = self.account.usable().cloned().collect();
        // Adapters are unloaded before their models.
        for found in resident
            .iter()
            .rev()
            .filter(|found| !wanted.contains(found))
        {
            if let Ok(order) = self.account.unload(now, &found.id) {
                self.send(now, &order, faults);
            }
        }
        for item in &wanted {
            if let Some(order) = self.load(now, item) {
                self.send(now, &order, faults);
            }
        }
    }

    fn load(&mut self, now: clock::Instant, item: &memory::Item) -> Option<memory::Order> {
        let found = self.account.load(now, item);
        let Err(memory::Error::InsufficientMemory(..)) = found else {
            return found.ok();
        };
        let report = self.account.latest()?;
        let assumed_used: u64 = match self.rule {
            Rule::FreeOnUnloadSent => self.account.usable().map(|i| i.bytes).sum(),
            Rule::ReportOnly => report.entries.iter().map(|e| e.item.bytes).sum(),
            _ => return None,
        };
        self.next_naive_order += 1;
        (assumed_used + item.bytes <= TOTAL).then(|| memory::Order {
            id: self.next_naive_order,
            fencing: self.account.fencing(),
            kind: memory::Kind::Load,
            item: item.clone(),
        })
    }

    fn send(&mut self, now: clock::Instant, order: &memory::Order, faults: &[engine::Fault]) {
        let response = self.engine.send(order, faults);
        self.account.record_response(now, order.id, response);
    }
}

fn cases() -> Vec<Vec<(u64, engine::Fault)>> {
    let steps = 1..90_u64;
    let single = steps.flat_map(|s| engine::Fault::ALL.map(|f| vec![(s, f)]));
    let mut cases: Vec<_> = single.collect();
    for first in (1..90).step_by(3) {
        for gap in [0, 1, 2, 4, 7, 11] {
            for f in engine::Fault::ALL {
                cases.extend(engine::Fault::ALL.map(|g| vec![(first, f), (first + gap, g)]));
            }
        }
    }
    cases
}

/// Guards against overcommitted memory and loads that never complete, under every single fault and pairs of faults.
#[yare::parameterized(
    fencing_ignored = { false, 0 },
    fencing_checked = { true, 0 },
    fencing_ignored_late_reports = { false, 4 },
    fencing_checked_late_reports = { true, 4 },
)]
fn memory_is_never_overcommitted_under_faults(checked: bool, lag: usize) {
    let cases = cases();
    let injections: usize = cases.iter().map(Vec::len).sum();
    for faults in &cases {
        let outcome = Run::new(Rule::Guarded, checked, lag).outcome(faults);
        assert_eq!(outcome.overcommits, 0, "overcommitted under {faults:?}");
        assert!(
            outcome.is_complete,
            "the last target is not resident under {faults:?}"
        );
    }
    println!(
        "{} cases, {STEPS} steps each, {injections} injections",
        cases.len()
    );
}

/// Verifies that each part of the rule is necessary: without it, memory is overcommitted in some case.
#[yare::parameterized(
    free_on_unload_sent = { Rule::FreeOnUnloadSent, false, 0 },
    report_only = { Rule::ReportOnly, false, 0 },
    no_order_delay = { Rule::NoOrderDelay, false, 0 },
    ignore_lag = { Rule::IgnoreLag, false, 4 },
    no_claim = { Rule::NoClaim, true, 0 },
)]
fn a_naive_rule_overcommits(rule: Rule, checked: bool, lag: usize) {
    let is_broken = |faults: &Vec<_>| Run::new(rule, checked, lag).outcome(faults).overcommits > 0;
    let broken = cases().into_iter().filter(is_broken).count();
    println!("{rule:?}: {broken} cases overcommit");
    assert!(broken > 0);
}

/// Guards against overcommitted memory under random sequences of 3 to 11 faults.
#[test]
fn memory_is_never_overcommitted_under_random_faults() {
    let config = test_runner::Config {
        cases: 3_000,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let fault = (
        1..90_u64,
        proptest::sample::select(engine::Fault::ALL.to_vec()),
    );
    let faults = proptest::collection::vec(fault, 3..12);
    let input = (faults, proptest::bool::ANY, 0..=engine::MAX_LAG_STEPS);
    test_runner::TestRunner::new_with_rng(config, rng)
        .run(&input, |(faults, checked, lag)| {
            let outcome = Run::new(Rule::Guarded, checked, lag).outcome(&faults);
            proptest::prop_assert_eq!(outcome.overcommits, 0);
            Ok(())
        })
        .expect("no overcommitment");
}
