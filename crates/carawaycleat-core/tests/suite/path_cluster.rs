//! Simulated cluster: entry hosts and sidecars run their real reducers, while the network, the store, upstreams and
//! callers are fakes that inject the faults.

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
/// Faults are injected from this step to [`LAST_FAULT_STEP`], while requests of all kinds start and run.
pub(crate) const FIRST_FAULT_STEP: u64 = 12;
pub(crate) const LAST_FAULT_STEP: u64 = 24;
const STEPS: u64 = 150;
/// Tokens of a response that is still running during all faults.
const LONG_RESPONSE: u64 = 60;
const OUTAGE_MS: u64 = 8_000;
const PAUSE_MS: u64 = 7_000;
const DELAY_MS: u64 = 2_000;
const SIDE_TIMEOUT_MS: u64 = 5_000;
const CLAIM_TIMEOUT_MS: u64 = 2_000;

/// A fault, or an operation such as a planned stop, under which all guarantees must hold.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Fault {
    JobLost,
    JobDelayed,
    JobDuplicated,
    ReportsLost,
    ReportsDelayed,
    ReportsDuplicated,
    ChangesLost,
    ChangesDelayed,
    ChangesDuplicated,
    ExchangesDelayed,
    HostKilled,
    HostPaused,
    SideKilled,
    SidePaused,
    DisconnectedBeforeSend,
    DisconnectedAfterSend,
    Partition,
    UpstreamsHung,
    ResponseTruncated,
    ResponsesSwapped,
    KeyWithdrawn,
    StoreDown,
    StoreSlow,
    StoreResponseLost,
    HostListDelayed,
    UpstreamLeaving,
    HostStopped,
    SideStopped,
    CallerDisconnected,
}

impl Fault {
    pub(crate) const ALL: [Self; 29] = {
        use Fault::*;
        [
            JobLost,
            JobDelayed,
            JobDuplicated,
            ReportsLost,
            ReportsDelayed,
            ReportsDuplicated,
            ChangesLost,
            ChangesDelayed,
            ChangesDuplicated,
            ExchangesDelayed,
            HostKilled,
            HostPaused,
            SideKilled,
            SidePaused,
            DisconnectedBeforeSend,
            DisconnectedAfterSend,
            Partition,
            UpstreamsHung,
            ResponseTruncated,
            ResponsesSwapped,
            KeyWithdrawn,
            StoreDown,
            StoreSlow,
            StoreResponseLost,
            HostListDelayed,
            UpstreamLeaving,
            HostStopped,
            SideStopped,
            CallerDisconnected,
        ]
    };
}

/// Violations of the guarantees P3 to P12.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Violation {
    /// P3: a request ran for a workspace other than that of its key.
    WrongWorkspace,
    /// P4: an upstream received a key or its digest.
    KeyExposed,
    /// P5: a request continued for more than 5 s after its key was withdrawn.
    WithdrawnKey,
    /// P5: a job that was delayed in transit started more than 5 s after its key was withdrawn.
    LateStart,
    /// P6: a workspace used more tokens than its rate and burst allow.
    RateExceeded,
    /// P7: a caller received anything but its own response, in order and once.
    Response,
    /// P7: a request had neither a complete response nor an error at the end of the run.
    NeverEnded,
    /// P8: a request ran although its outcome was reported as `not_run`.
    FalseNotRun,
    /// P9: a non-idempotent request ran twice.
    RanTwice,
    /// P10: a request started at an upstream that had been leaving for more than 3 s.
    WorkWhileLeaving,
    /// P11: a planned stop interrupted a request.
    Interrupted,
    /// P12: a host's cached configuration reverted to an earlier revision.
    Reverted,
    /// P12: a connected host had not applied a change 3 s after its write.
    NotApplied,
}

/// The real rules, and naive rules that each replace one guard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Rule {
    Guarded,
    /// The key of the first request on a connection is used for all of its requests.
    ConnectionKey,
    /// The caller's headers are forwarded unchanged, with the key.
    ForwardHeaders,
    /// A key is checked only when a request arrives.
    CheckOnArrival,
    /// Each host spends the whole rate.
    LocalRate,
    /// The identity and position of a response are not checked.
    TrustResponses,
    /// Each failed request is reported as not run.
    AllNotRun,
    /// A request without a response is retried even if it is not idempotent.
    RetryAll,
    /// A claim is taken as granted if the store's response was lost.
    AssumeClaim,
    /// Only the host list states that an upstream is leaving.
    HostListOnly,
    /// A process that is asked to stop ends immediately.
    StopImmediately,
    /// The cached configuration is replaced by the last changes received, even if they are older.
    LastReceived,
    /// A change is not fetched again after a gap.
    NoRefetch,
    /// A host reacts to events only, without a timer, from the first fault step on.
    NoTimer,
}

/// A write of an operator, which is repeated until the store accepts it.
enum OperatorWrite {
    Rewrite(usize),
    Drain(usize),
    WithdrawKey,
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
    /// Revision up to which the store has sent its changes.
    watched: u64,
    /// Highest revision that was in force in this incarnation.
    in_force: u64,
    /// Revision of the changes received last.
    last_received: u64,
    /// Key, state machine and deadline of each claim.
    claims: collections::BTreeMap<request::Id, (String, claim::Machine, u64)>,
    /// Time since which the host has been connected to the store without interruption.
    connected_since: u64,
    is_stopping: bool,
    has_exited: bool,
}

/// State of one run of the scenario under some faults.
pub(crate) struct Cluster {
    rule: Rule,
    /// Simulated time in milliseconds.
    now: u64,
    step: u64,
    hosts: Vec<Host>,
    upstreams: Vec<fake::Upstream>,
    store: fake::Store,
    callers: collections::BTreeMap<request::Id, fake::Caller>,
    /// Messages in transit, with their time of arrival and sequence number.
    messages: Vec<(u64, u64, Message)>,
    /// Number of messages sent.
    sent: u64,
    partitioned_until: u64,
    /// How many more messages or connections each fault affects.
    remaining: collections::BTreeMap<Fault, u32>,
    /// Writes of operators whose application at the hosts is checked: revision and time.
    writes: Vec<(u64, u64)>,
    /// Writes of operators that the store has not accepted yet.
    operator_writes: Vec<OperatorWrite>,
    withdrawn_at: Option<u64>,
    /// Tokens delivered to the callers of each workspace.
    used_tokens: collections::BTreeMap<&'static str, u64>,
    /// Requests that a naive rule continues to serve after the reducer has ended them.
    still_served: collections::BTreeSet<request::Id>,
    connection_key: Option<&'static str>,
    naive_positions: collections::BTreeMap<request::Id, u64>,
    /// Whether the run has no faults other than planned stops.
    only_planned_stops: bool,
    pub(crate) violations: collections::BTreeMap<Violation, String>,
    pub(crate) steps: u64,
    pub(crate) dispatched: u64,
    pub(crate) finished: u64,
    /// How often each fault affected a message, connection or process.
    pub(crate) fault_hits: collections::BTreeMap<Fault, u64>,
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
            partitioned_until: 0,
            remaining: collections::BTreeMap::new(),
            writes: Vec::new(),
            operator_writes: Vec::new(),
            withdrawn_at: None,
            used_tokens: collections::BTreeMap::new(),
            still_served: collections::BTreeSet::new(),
            connection_key: None,
            naive_positions: collections::BTreeMap::new(),
            only_planned_stops: false,
            violations: collections::BTreeMap::new(),
            steps: 0,
            dispatched: 0,
            finished: 0,
            fault_hits: collections::BTreeMap::new(),
        };
        for index in 0..fake::HOSTS {
            let host = Host {
                reducer: Some(cluster.reducer(index, 1)),
                incarnation: 1,
                paused_until: 0,
                restart_at: 0,
                watched: 0,
                in_force: 0,
                last_received: 0,
                claims: collections::BTreeMap::new(),
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
        let mut options = entry::Options {
            shards: 8,
            ..entry::Options::default()
        };
        if self.rule == Rule::LocalRate {
            options.rate = rate::Options::LOCAL;
        }
        entry::Reducer::new(owner, support::name("a"), options)
    }

    /// Runs the scenario with each fault in its step.
    pub(crate) fn run(mut self, faults: &[(Fault, u64)]) -> Self {
        self.only_planned_stops = faults
            .iter()
            .all(|(fault, _)| matches!(fault, Fault::HostStopped | Fault::SideStopped));
        for step in 0..STEPS {
            self.step = step;
            self.now = step * STEP_MS;
            for (fault, _) in faults.iter().filter(|(_, at)| *at == step) {
                self.inject(*fault);
            }
            self.apply_operator_writes();
            self.restart_processes();
            self.exchange_messages();
            self.send_requests();
            self.deliver();
            (0..self.upstreams.len()).for_each(|index| self.advance_upstream(index));
            self.deliver();
            self.tick();
            self.deliver();
            self.check_invariants();
            self.steps += 1;
            if self.rule != Rule::Guarded && !self.violations.is_empty() {
                return self;
            }
        }
        self.check_end();
        self
    }

    fn record_violation(&mut self, violation: Violation, detail: impl Into<String>) {
        let step = self.step;
        let detail: String = detail.into();
        self.violations
            .entry(violation)
            .or_insert_with(|| format!("step {step}: {detail}"));
    }

    /// Records that a fault had an effect `count` times.
    fn count_hits(&mut self, fault: Fault, count: u64) {
        if count > 0 {
            *self.fault_hits.entry(fault).or_default() += count;
        }
    }

    fn check_that(&mut self, holds: bool, violation: Violation, detail: impl Into<String>) {
        if !holds {
            self.record_violation(violation, detail);
        }
    }

    fn clock(&self, host: usize) -> clock::Instant {
        // The clocks of the hosts are unrelated, so that instants of different hosts cannot be compared by accident.
        clock::Instant::from_millis(self.now + 1_000_000 * (host as u64 + 1))
    }

    fn origin(&self, host: usize) -> side::Timestamp {
        side::Timestamp {
            host: fake::host(host),
            incarnation: self.hosts[host].incarnation,
            instant: self.clock(host),
        }
    }

    fn revision(&self, host: usize) -> u64 {
        let reducer = self.hosts[host].reducer.as_ref();
        reducer.map_or(0, |reducer| reducer.configuration().revision())
    }

    fn tick(&mut self) {
        for host in 0..self.hosts.len() {
            if self.now < self.hosts[host].paused_until {
                continue;
            }
            let now = self.now;
            let overdue = self.hosts[host].claims.iter();
            let overdue: Vec<_> = overdue
                .filter(|(_, (_, _, deadline))| *deadline == now)
                .map(|(id, _)| *id)
                .collect();
            for id in overdue {
                self.step_claim(host, id, claim::Event::Deadline);
            }
            if self.rule != Rule::NoTimer || self.step < FIRST_FAULT_STEP {
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
    !caller.is_disconnected && !caller.is_finished && caller.refused.is_none()
}

fn request_of(attempt: request::Id) -> request::Id {
    request::Id::from_u128(attempt.as_u128() & !0xff)
}

fn index_of(name: &name::Name) -> usize {
    name.as_str()[1..].parse().expect("a name with a number")
}
