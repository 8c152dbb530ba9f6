//! Entry hosts and sidecars with their real reducers, among fakes whose properties are the faults.

mod caller;
mod fault;
mod host;
mod invariant;
mod network;
mod sidecar;

use std::collections;

use carawaycleat_core::claim;
use carawaycleat_core::clock;
use carawaycleat_core::entry;
use carawaycleat_core::name;
use carawaycleat_core::rate;
use carawaycleat_core::request;
use carawaycleat_core::side;

use super::path_fake as fake;
use super::routing as support;

pub(crate) const STEP_MS: u64 = 250;
pub(crate) const FIRST: u64 = 12;
/// The faults are injected in these steps, in which requests of all kinds start and run.
pub(crate) const LAST: u64 = 24;
const STEPS: u64 = 150;
const LONG: u64 = 60;
const CUT_MS: u64 = 8_000;
const PAUSE_MS: u64 = 7_000;
const LATE_MS: u64 = 2_000;
const SIDE_TIMEOUT_MS: u64 = 5_000;
const CLAIM_WITHIN_MS: u64 = 2_000;

/// A fault, or a demand on the system that each guarantee must hold under.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Fault {
    JobLost,
    JobLate,
    JobTwice,
    ReportsLost,
    ReportsLate,
    ReportsTwice,
    ChangesLost,
    ChangesLate,
    ChangesTwice,
    ExchangesLate,
    HostKilled,
    HostPaused,
    SideKilled,
    SidePaused,
    CutBefore,
    CutAfter,
    RegionCut,
    Silent,
    Short,
    Crossed,
    KeyWithdrawn,
    StoreDown,
    StoreSlow,
    AnswerLost,
    ListLate,
    Leaving,
    HostStopped,
    SideStopped,
    CallerGone,
}

impl Fault {
    pub(crate) const ALL: [Self; 29] = {
        use Fault::*;
        [
            JobLost,
            JobLate,
            JobTwice,
            ReportsLost,
            ReportsLate,
            ReportsTwice,
            ChangesLost,
            ChangesLate,
            ChangesTwice,
            ExchangesLate,
            HostKilled,
            HostPaused,
            SideKilled,
            SidePaused,
            CutBefore,
            CutAfter,
            RegionCut,
            Silent,
            Short,
            Crossed,
            KeyWithdrawn,
            StoreDown,
            StoreSlow,
            AnswerLost,
            ListLate,
            Leaving,
            HostStopped,
            SideStopped,
            CallerGone,
        ]
    };
}

/// The invariants.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Violation {
    /// P3: a request ran for another workspace than that of its key.
    Workspace,
    /// P4: an upstream saw a key or its digest.
    KeySeen,
    /// P5: a request of a withdrawn key went on for more than 5 s.
    Withdrawn,
    /// P5: a job that was kept on its way started more than 5 s after its key was withdrawn.
    LateStart,
    /// P6: a workspace used more than its rate and burst.
    Rate,
    /// P7: a caller got something else than its own answer once, from the start.
    Answer,
    /// P7: a request had neither an answer nor an error at the end.
    Unended,
    /// P8: a request that was called `not run` ran.
    FalseNotRun,
    /// P9: a non-idempotent request ran twice.
    RanTwice,
    /// P10: work went to an upstream that had been leaving for 3 s.
    LeavingWork,
    /// P11: a request was cut by a planned stop.
    Stopped,
    /// P12: a host's copy went back.
    Reverted,
    /// P12: a connected host did not have a change 3 s after its write.
    NotInForce,
}

/// The naive rules, each of which replaces one guard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Rule {
    Guarded,
    /// The key of a connection's first request counts for all of its requests.
    ConnectionKey,
    /// The caller's headers are forwarded as they are.
    ForwardHeaders,
    /// A key is checked only when a request arrives.
    CheckOnArrival,
    /// Each host has the whole rate.
    LocalRate,
    /// Identity and position of an answer are not checked.
    TrustAnswers,
    /// A failed attempt is said not to have run.
    AllNotRun,
    /// A request without an answer is sent again, whatever it does.
    RetryAll,
    /// A claim whose answer was lost counts as made.
    AssumeClaim,
    /// Only the host list says that an upstream is leaving.
    ListOnly,
    /// A process that is told to stop ends at once.
    StopAtOnce,
    /// The copy of the configuration is what arrived last.
    LastArrival,
    /// A change is not fetched again after a gap.
    NoRepair,
    /// A host acts on events alone once requests arrive, and has no timer.
    NoTimer,
}

/// A write of an operator, who repeats it until the store takes it.
enum Wish {
    Rewrite(usize),
    Leave(usize),
    Withdraw,
}

enum Message {
    Host(usize, u64, Box<entry::Event>, Option<fake::Content>),
    Contact(usize, u64, clock::Instant, u64),
    Job(usize, fake::Job),
    Directive(usize, side::Directive),
    Claim(usize, u64, request::Id, claim::Event),
}

struct Host {
    reducer: Option<entry::Reducer>,
    incarnation: u64,
    paused_until: u64,
    restart_at: u64,
    watched: u64,
    /// The highest revision seen in force, of this incarnation.
    in_force: u64,
    last_arrival: u64,
    flows: collections::BTreeMap<request::Id, (String, claim::Machine, u64)>,
    /// From when the host has been connected to the store without a break.
    connected_since: u64,
    is_stopping: bool,
    has_exited: bool,
}

/// One run of the scenario under some faults.
pub(crate) struct Cluster {
    rule: Rule,
    now: u64,
    step: u64,
    hosts: Vec<Host>,
    upstreams: Vec<fake::Upstream>,
    store: fake::Store,
    callers: collections::BTreeMap<request::Id, fake::Caller>,
    messages: Vec<(u64, u64, Message)>,
    sent: u64,
    cut_until: u64,
    delayed: collections::BTreeMap<Fault, u32>,
    /// The writes of operators whose effect is checked: revision, time, key.
    writes: Vec<(u64, u64)>,
    wishes: Vec<Wish>,
    withdrawn_at: Option<u64>,
    used: collections::BTreeMap<&'static str, u64>,
    /// Requests that a naive rule still serves after the reducer has ended them.
    kept: collections::BTreeSet<request::Id>,
    connection_key: Option<&'static str>,
    naive_counts: collections::BTreeMap<request::Id, u64>,
    planned_only: bool,
    pub(crate) broken: collections::BTreeMap<Violation, String>,
    pub(crate) steps: u64,
    pub(crate) dispatched: u64,
    pub(crate) finished: u64,
    /// How often each fault had an effect on a message, connection or process.
    pub(crate) met: collections::BTreeMap<Fault, u64>,
}

impl Cluster {
    pub(crate) fn new(rule: Rule) -> Self {
        let mut store = fake::Store::default();
        store.fill();
        let mut cluster = Self {
            rule,
            now: 0,
            step: 0,
            hosts: Vec::new(),
            upstreams: (0..fake::UPSTREAMS)
                .map(|_| fake::Upstream::new(1))
                .collect(),
            store,
            callers: collections::BTreeMap::new(),
            messages: Vec::new(),
            sent: 0,
            cut_until: 0,
            delayed: collections::BTreeMap::new(),
            writes: Vec::new(),
            wishes: Vec::new(),
            withdrawn_at: None,
            used: collections::BTreeMap::new(),
            kept: collections::BTreeSet::new(),
            connection_key: None,
            naive_counts: collections::BTreeMap::new(),
            planned_only: false,
            broken: collections::BTreeMap::new(),
            steps: 0,
            dispatched: 0,
            finished: 0,
            met: collections::BTreeMap::new(),
        };
        for index in 0..fake::HOSTS {
            let host = Host {
                reducer: Some(cluster.reducer(index, 1)),
                incarnation: 1,
                paused_until: 0,
                restart_at: 0,
                watched: 0,
                in_force: 0,
                last_arrival: 0,
                flows: collections::BTreeMap::new(),
                connected_since: 0,
                is_stopping: false,
                has_exited: false,
            };
            cluster.hosts.push(host);
        }
        cluster
    }

    fn reducer(&self, index: usize, incarnation: u64) -> entry::Reducer {
        let port = 9_000 + u16::try_from(index).expect("a small number");
        let owner = rate::Owner {
            host: fake::host(index),
            address: ([127, 0, 0, 1], port).into(),
            incarnation,
        };
        let mut rules = entry::Options {
            shards: 8,
            ..entry::Options::default()
        };
        if self.rule == Rule::LocalRate {
            rules.rate = rate::Rules::LOCAL;
        }
        entry::Reducer::new(owner, support::name("a"), rules)
    }

    /// Runs the scenario with each fault in its step.
    pub(crate) fn run(mut self, faults: &[(Fault, u64)]) -> Self {
        self.planned_only = faults
            .iter()
            .all(|(fault, _)| matches!(fault, Fault::HostStopped | Fault::SideStopped));
        for step in 0..STEPS {
            self.step = step;
            self.now = step * STEP_MS;
            for (fault, _) in faults.iter().filter(|(_, at)| *at == step) {
                self.inject(*fault);
            }
            self.operate();
            self.restart();
            self.talk();
            self.demand();
            self.deliver();
            (0..self.upstreams.len()).for_each(|index| self.advance(index));
            self.deliver();
            self.tick();
            self.deliver();
            self.check();
            self.steps += 1;
            if self.rule != Rule::Guarded && !self.broken.is_empty() {
                return self;
            }
        }
        self.check_end();
        self
    }

    fn break_with(&mut self, broken: Violation, detail: impl Into<String>) {
        let step = self.step;
        let detail: String = detail.into();
        self.broken
            .entry(broken)
            .or_insert_with(|| format!("step {step}: {detail}"));
    }

    /// Notes that a fault has had an effect `count` times.
    fn meet(&mut self, fault: Fault, count: u64) {
        if count > 0 {
            *self.met.entry(fault).or_default() += count;
        }
    }

    fn check_that(&mut self, holds: bool, broken: Violation, detail: impl Into<String>) {
        if !holds {
            self.break_with(broken, detail);
        }
    }

    fn clock(&self, host: usize) -> clock::Instant {
        // Instants of different hosts have nothing to do with each other.
        clock::Instant::from_millis(self.now + 1_000_000 * (host as u64 + 1))
    }

    fn origin(&self, host: usize) -> side::Origin {
        side::Origin {
            host: fake::host(host),
            incarnation: self.hosts[host].incarnation,
            at: self.clock(host),
        }
    }

    fn revision(&self, host: usize) -> u64 {
        let reducer = self.hosts[host].reducer.as_ref();
        reducer.map_or(0, |reducer| reducer.history().revision())
    }

    fn tick(&mut self) {
        for host in 0..self.hosts.len() {
            if self.now < self.hosts[host].paused_until {
                continue;
            }
            let now = self.now;
            let late = self.hosts[host].flows.iter();
            let late: Vec<_> = late
                .filter(|(_, (_, _, deadline))| *deadline == now)
                .map(|(id, _)| *id)
                .collect();
            for id in late {
                self.step_claim(host, id, claim::Event::Deadline);
            }
            if self.rule != Rule::NoTimer || self.step < FIRST {
                self.step_host(host, entry::Event::Tick, None);
            }
        }
        for index in 0..self.upstreams.len() {
            if self.now >= self.upstreams[index].paused_until {
                self.step_side(index, side::Event::Tick);
            }
        }
    }
}

fn is_open(caller: &fake::Caller) -> bool {
    !caller.is_lost && !caller.is_finished && caller.refused.is_none()
}

fn request_of(attempt: request::Id) -> request::Id {
    request::Id::from_u128(attempt.as_u128() & !0xff)
}

fn index_of(name: &name::Name) -> usize {
    name.as_str()[1..].parse().expect("a name with a number")
}
