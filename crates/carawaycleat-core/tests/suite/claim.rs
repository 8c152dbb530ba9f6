use std::time;

use carawaycleat_core::claim;
use carawaycleat_core::clock;
use carawaycleat_core::outcome;

use crate::fake::fleet;
use crate::fake::store;

const STEPS: u64 = 60;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    Guarded,
    /// A request is dispatched although the store did not respond to its claim.
    SendUnconfirmed,
    /// Any record that is read back is taken for the machine's own.
    TrustReadBack,
    /// A create overwrites an existing record.
    BlindWrite,
    /// The claim of a refused request is not removed.
    ForgetOrphan,
}

/// One of the requests with the same idempotency key, which arrives at its entry host in step `start`.
struct Request {
    start: u64,
    machine: Option<claim::Machine>,
    /// The next action, with the step in which it is due.
    next: Option<(u64, claim::Action)>,
    refused: Option<(outcome::Reason, outcome::Outcome)>,
    executions: usize,
    /// Number of calls to the store.
    calls: usize,
}

struct Run {
    rule: Rule,
    store: store::Store,
    requests: Vec<Request>,
    /// Outcome of the first request at its upstream. All others run.
    first_outcome: outcome::Outcome,
}

impl Run {
    fn new(rule: Rule, first_outcome: outcome::Outcome) -> Self {
        let request = |start| Request {
            start,
            machine: None,
            next: None,
            refused: None,
            executions: 0,
            calls: 0,
        };
        Self {
            rule,
            store: store::Store::default(),
            // Two concurrent requests, and a repeat after every late write has taken effect.
            requests: vec![request(1), request(2), request(30)],
            first_outcome,
        }
    }

    fn run(&mut self, faults: &[(usize, usize, store::Fault)]) {
        for step in 1..=STEPS {
            self.store.step();
            for index in 0..self.requests.len() {
                self.advance(step, index, faults);
            }
        }
    }

    fn advance(&mut self, step: u64, index: usize, faults: &[(usize, usize, store::Fault)]) {
        let now = clock::Instant::from_millis(step * 1_000);
        let request = &mut self.requests[index];
        if request.start == step {
            let (machine, action) = claim::Machine::new(now, index as u128, fleet::name("h"));
            request.machine = Some(machine);
            request.next = Some((step, action));
        }
        let Some(machine) = &mut request.machine else {
            return;
        };
        let Some((_, mut action)) = request.next.take_if(|(due, _)| *due <= step) else {
            return;
        };
        match action {
            claim::Action::Dispatch => {
                let outcome = if index == 0 {
                    self.first_outcome
                } else {
                    outcome::Outcome::Ran
                };
                request.executions += usize::from(outcome != outcome::Outcome::NotRun);
                action = machine.step(now, claim::Event::Ended(outcome, 200));
            }
            claim::Action::Refuse(reason, outcome) => {
                request.refused = Some((reason, outcome));
                action = match self.rule {
                    Rule::ForgetOrphan => claim::Action::Done,
                    _ => machine.begin_cleanup(),
                };
            }
            claim::Action::Done => return,
            call => {
                request.calls += 1;
                let found = faults.iter().find(|f| f.0 == index && f.1 == request.calls);
                if self.rule == Rule::BlindWrite && matches!(call, claim::Action::Create(_)) {
                    self.store.record = None;
                }
                let mut event = self.store.call(&call, found.map(|f| f.2));
                let is_claiming = request.refused.is_none() && request.executions == 0;
                event = match (self.rule, event) {
                    (Rule::SendUnconfirmed, claim::Event::NoResponse) if is_claiming => {
                        claim::Event::Written(0)
                    }
                    (Rule::TrustReadBack, claim::Event::Found(_, revision)) if is_claiming => {
                        claim::Event::Written(revision)
                    }
                    (_, claim::Event::NoResponse) if is_claiming && request.calls >= 3 => {
                        claim::Event::Deadline
                    }
                    (_, event) => event,
                };
                action = machine.step(now, event);
            }
        }
        let due = match action {
            claim::Action::ReadAt(time) => time.since(clock::Instant::default()).as_secs(),
            _ => step + 1,
        };
        let action = match action {
            claim::Action::ReadAt(_) => claim::Action::Read,
            action => action,
        };
        request.next = Some((due, action));
    }

    /// Returns the guarantee that the run violated, if any.
    fn violation(&self) -> Option<&'static str> {
        let executions: usize = self.requests.iter().map(|r| r.executions).sum();
        if executions > 1 {
            return Some("executed twice");
        }
        for request in &self.requests {
            let is_not_run = request
                .refused
                .is_some_and(|r| r.1 == outcome::Outcome::NotRun);
            if is_not_run && request.executions > 0 {
                return Some("not run is false");
            }
        }
        let last = &self.requests[2];
        let is_duplicate = last
            .refused
            .is_some_and(|r| r.0 == outcome::Reason::DuplicateRequest);
        let may_have_run = self.requests[0].executions + self.requests[1].executions > 0;
        (is_duplicate && !may_have_run).then_some("a repeat is blocked although nothing ran")
    }
}

/// Returns all combinations of at most two store faults, and a store that stays down.
fn cases() -> Vec<Vec<(usize, usize, store::Fault)>> {
    let calls = (0..2).flat_map(|r| (1..=5).map(move |c| (r, c)));
    let single: Vec<_> = calls
        .flat_map(|(r, c)| store::Fault::ALL.map(|f| (r, c, f)))
        .collect();
    let mut cases: Vec<_> = single.iter().map(|f| vec![*f]).collect();
    cases.push(Vec::new());
    for a in &single {
        cases.extend(single.iter().map(|b| vec![*a, *b]));
    }
    // The store stays down for the whole claim, after one faulty write.
    for f in store::Fault::ALL {
        cases.push(vec![
            (0, 1, f),
            (0, 2, store::Fault::Down),
            (0, 3, store::Fault::Down),
        ]);
    }
    cases
}

const OUTCOMES: [outcome::Outcome; 3] = [
    outcome::Outcome::Ran,
    outcome::Outcome::NotRun,
    outcome::Outcome::Unknown,
];

/// Guards against a second execution, a false `not run`, and a repeat that is blocked by a claim of a request that
/// never ran, under store faults at each call and in pairs.
#[test]
fn a_key_is_executed_at_most_once_under_store_faults() {
    let cases = cases();
    let injections: usize = cases.iter().map(Vec::len).sum();
    for (faults, outcome) in cases.iter().flat_map(|c| OUTCOMES.map(|f| (c, f))) {
        let mut run = Run::new(Rule::Guarded, outcome);
        run.run(faults);
        assert_eq!(run.violation(), None, "{outcome:?} under {faults:?}");
    }
    println!(
        "{} cases, {STEPS} steps each, {} injections",
        cases.len() * 3,
        injections * 3
    );
}

/// Checks that each part of the protocol is needed: without it, some case violates a guarantee.
#[yare::parameterized(
    send_unconfirmed = { Rule::SendUnconfirmed, "executed twice" },
    trust_read_back = { Rule::TrustReadBack, "executed twice" },
    blind_write = { Rule::BlindWrite, "executed twice" },
    forget_orphan = { Rule::ForgetOrphan, "a repeat is blocked although nothing ran" },
)]
fn a_naive_rule_breaks(rule: Rule, broken: &str) {
    let violation = |(faults, outcome): (&Vec<_>, outcome::Outcome)| {
        let mut run = Run::new(rule, outcome);
        run.run(faults);
        run.violation()
    };
    let cases = cases();
    let runs = cases.iter().flat_map(|c| OUTCOMES.map(|f| (c, f)));
    let found = runs.filter_map(violation).filter(|v| *v == broken).count();
    println!("{rule:?}: {broken} in {found} cases");
    assert!(found > 0);
}

/// Guards against a table that grows without bound, removes a key too early, or removes the key of another request.
#[test]
fn the_table_is_bounded_in_number_and_time() {
    let at = clock::Instant::from_millis;
    let mut table = claim::Table::new(2, time::Duration::from_secs(10));
    assert_eq!(table.begin(at(0), "a", 1), Ok(()));
    table.remove("a", 2);
    assert_eq!(table.begin(at(1), "a", 3), Err(outcome::Outcome::Unknown));
    table.complete("a", 1);
    assert_eq!(table.begin(at(9_999), "a", 3), Err(outcome::Outcome::Ran));
    assert_eq!(table.begin(at(10_000), "a", 3), Ok(()));
    assert_eq!(table.begin(at(10_001), "b", 4), Ok(()));
    assert_eq!(table.begin(at(10_002), "c", 5), Ok(()));
    assert_eq!(table.len(), 2);
    table.remove("c", 5);
    assert_eq!(table.begin(at(10_003), "c", 6), Ok(()));
}
