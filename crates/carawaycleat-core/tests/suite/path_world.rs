//! Entry hosts and sidecars with their real reducers, among fakes whose properties are the faults.

use std::collections;
use std::time;

use carawaycleat_core::admission;
use carawaycleat_core::claim;
use carawaycleat_core::clock;
use carawaycleat_core::config;
use carawaycleat_core::entry;
use carawaycleat_core::freshness;
use carawaycleat_core::name;
use carawaycleat_core::outcome;
use carawaycleat_core::rate;
use carawaycleat_core::request;
use carawaycleat_core::resource;
use carawaycleat_core::routing;
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
pub(crate) enum Broken {
    /// P3: a request ran for another workspace than that of its key.
    Workspace,
    /// P4: an upstream saw a key or its digest.
    KeySeen,
    /// P5: a request of a withdrawn key went on for more than 5 s.
    Withdrawn,
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
    flows: collections::BTreeMap<request::Id, (String, claim::Flow, u64)>,
    /// From when the host has been connected to the store without a break.
    connected_since: u64,
    is_stopping: bool,
    has_exited: bool,
}

/// One run of the scenario under some faults.
pub(crate) struct World {
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
    pub(crate) broken: collections::BTreeMap<Broken, String>,
    pub(crate) steps: u64,
    pub(crate) dispatched: u64,
    pub(crate) finished: u64,
    pub(crate) met: u64,
}

impl World {
    pub(crate) fn new(rule: Rule) -> Self {
        let mut store = fake::Store::default();
        store.fill();
        let mut world = Self {
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
            met: 0,
        };
        for index in 0..fake::HOSTS {
            let host = Host {
                reducer: Some(world.reducer(index, 1)),
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
            world.hosts.push(host);
        }
        world
    }

    fn reducer(&self, index: usize, incarnation: u64) -> entry::Reducer {
        let port = 9_000 + u16::try_from(index).expect("a small number");
        let owner = rate::Owner {
            host: fake::host(index),
            address: ([127, 0, 0, 1], port).into(),
            incarnation,
        };
        let mut rules = entry::Rules {
            shards: 8,
            ..entry::Rules::default()
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

    fn break_with(&mut self, broken: Broken, detail: impl Into<String>) {
        let step = self.step;
        let detail: String = detail.into();
        self.broken
            .entry(broken)
            .or_insert_with(|| format!("step {step}: {detail}"));
    }

    fn check_that(&mut self, holds: bool, broken: Broken, detail: impl Into<String>) {
        if !holds {
            self.break_with(broken, detail);
        }
    }

    fn inject(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::JobLost
            | Fault::JobLate
            | Fault::JobTwice
            | Fault::CutBefore
            | Fault::CutAfter => {
                self.delayed.insert(fault, 2);
            }
            Fault::ReportsLost | Fault::ReportsLate | Fault::ReportsTwice => {
                self.delayed.insert(fault, 8);
            }
            Fault::ChangesLost | Fault::ChangesLate | Fault::ChangesTwice => {
                self.delayed.insert(fault, 2);
                // A change for the fault to meet.
                self.wishes.push(Wish::Rewrite(3));
            }
            Fault::ExchangesLate => {
                self.delayed.insert(fault, 12);
            }
            Fault::ListLate => {
                let event = entry::Event::Listed(fake::upstream(1), true);
                self.send(10_000, Message::Host(0, 1, Box::new(event), None));
                self.met += 1;
            }
            Fault::HostKilled => self.kill_host(0),
            Fault::HostPaused => self.hosts[0].paused_until = now + PAUSE_MS,
            Fault::SideKilled => self.kill_side(2),
            Fault::SidePaused => self.upstreams[2].paused_until = now + PAUSE_MS,
            Fault::RegionCut => self.cut_until = now + CUT_MS,
            Fault::Silent => {
                for upstream in [0, 2] {
                    self.upstreams[upstream].silent_until = now + PAUSE_MS;
                }
            }
            Fault::Short => {
                for upstream in &mut self.upstreams {
                    upstream.shorts += 1;
                }
            }
            Fault::Crossed => {
                for upstream in &mut self.upstreams {
                    upstream.crossings += 1;
                }
            }
            Fault::KeyWithdrawn => {
                self.wishes.push(Wish::Withdraw);
            }
            Fault::StoreDown => self.store.down_until = now + CUT_MS,
            Fault::StoreSlow => self.store.slow_until = now + CUT_MS,
            Fault::AnswerLost => self.store.answers_to_lose += 1,
            Fault::Leaving => self.leave(2),
            Fault::HostStopped => self.stop_host(1),
            Fault::SideStopped => self.stop_side(0),
            Fault::CallerGone => self.leave_callers(),
        }
        let meets_at_once = !matches!(
            fault,
            Fault::JobLost
                | Fault::JobLate
                | Fault::JobTwice
                | Fault::CutBefore
                | Fault::CutAfter
                | Fault::ReportsLost
                | Fault::ReportsLate
                | Fault::ReportsTwice
                | Fault::ChangesLost
                | Fault::ChangesLate
                | Fault::ChangesTwice
                | Fault::ExchangesLate
                | Fault::Short
                | Fault::Crossed
                | Fault::AnswerLost
                | Fault::ListLate
        );
        self.met += u64::from(meets_at_once);
    }

    /// Takes one occurrence of a fault of a message or connection.
    fn strikes(&mut self, fault: Fault) -> bool {
        let Some(left) = self.delayed.get_mut(&fault).filter(|left| **left > 0) else {
            return false;
        };
        *left -= 1;
        self.met += 1;
        true
    }

    /// Performs what operators want as soon as the store takes writes.
    fn operate(&mut self) {
        if self.now < self.store.down_until {
            return;
        }
        for wish in std::mem::take(&mut self.wishes) {
            match wish {
                Wish::Rewrite(upstream) => {
                    let leaving = self.upstreams[upstream].leaving;
                    self.store.write_upstream(upstream, leaving);
                }
                Wish::Leave(upstream) => {
                    self.upstreams[upstream].leaving = true;
                    self.upstreams[upstream].leaves_at.get_or_insert(self.now);
                    self.store.write_upstream(upstream, true);
                }
                Wish::Withdraw => {
                    let id = resource::Id::new(resource::Kind::Key, support::name("k-w1"));
                    self.store.put(config::key(&id), None);
                    self.withdrawn_at.get_or_insert(self.now);
                }
            }
            self.writes.push((self.store.revision, self.now));
        }
    }

    fn leave(&mut self, index: usize) {
        if self.rule == Rule::ListOnly {
            self.upstreams[index].leaves_at.get_or_insert(self.now);
            let event = entry::Event::Listed(fake::upstream(index), true);
            for host in 0..self.hosts.len() {
                let incarnation = self.hosts[host].incarnation;
                self.send(
                    10_000,
                    Message::Host(host, incarnation, Box::new(event.clone()), None),
                );
            }
        } else {
            self.wishes.push(Wish::Leave(index));
        }
    }

    fn kill_host(&mut self, index: usize) {
        self.hosts[index].reducer = None;
        self.hosts[index].restart_at = self.now + 3_000;
        self.hosts[index].flows.clear();
        for caller in self.callers.values_mut().filter(|c| c.host == index) {
            caller.is_lost = true;
        }
        for upstream in 0..self.upstreams.len() {
            self.drop_runs(upstream, |run| run.job.host == index, None);
        }
    }

    fn kill_side(&mut self, index: usize) {
        self.drop_runs(index, |_| true, Some(outcome::Outcome::Unknown));
        self.upstreams[index].side = None;
        self.upstreams[index].restart_at = self.now + 2_000;
    }

    fn stop_host(&mut self, index: usize) {
        if self.rule == Rule::StopAtOnce {
            self.hosts[index].reducer = None;
            self.hosts[index].has_exited = true;
            return;
        }
        self.hosts[index].is_stopping = true;
        self.step_host(index, entry::Event::Stop, None);
    }

    fn stop_side(&mut self, index: usize) {
        self.upstreams[index].leaves_at.get_or_insert(self.now);
        if self.rule == Rule::StopAtOnce {
            return self.kill_side(index);
        }
        self.step_side(index, side::Event::Shutdown);
    }

    fn leave_callers(&mut self) {
        let open = self.callers.iter().filter(|(_, c)| is_open(c));
        let open: Vec<_> = open.map(|(id, c)| (*id, c.host)).step_by(2).collect();
        for (id, host) in open {
            if let Some(caller) = self.callers.get_mut(&id) {
                caller.is_lost = true;
            }
            self.step_host(host, entry::Event::CallerGone(id), None);
        }
    }

    /// Ends running requests of an upstream; with an outcome, their hosts hear of it.
    fn drop_runs(
        &mut self,
        index: usize,
        is_hit: impl Fn(&fake::Run) -> bool,
        said: Option<outcome::Outcome>,
    ) {
        let runs = std::mem::take(&mut self.upstreams[index].runs);
        let (hit, kept) = runs.into_iter().partition(is_hit);
        self.upstreams[index].runs = kept;
        for run in hit {
            let run: fake::Run = run;
            let event =
                side::Event::JobEnded(run.job.attempt.as_u128(), outcome::Outcome::Unknown, 0);
            self.step_side(index, event);
            if let Some(outcome) = said {
                self.fail(&run.job, outcome, outcome::Reason::UpstreamFailed, true, 0);
            }
        }
    }

    fn fail(
        &mut self,
        job: &fake::Job,
        outcome: outcome::Outcome,
        reason: outcome::Reason,
        sent: bool,
        delay: u64,
    ) {
        let progress = entry::Progress::Failed {
            outcome,
            reason,
            sent,
            message: String::new(),
        };
        self.progress(job, progress, None, delay);
    }

    fn progress(
        &mut self,
        job: &fake::Job,
        progress: entry::Progress,
        content: Option<fake::Content>,
        delay: u64,
    ) {
        let incarnation = self.hosts[job.host].incarnation;
        let event = entry::Event::Attempt(job.attempt, progress);
        self.send(
            delay,
            Message::Host(job.host, incarnation, Box::new(event), content),
        );
    }

    fn restart(&mut self) {
        for index in 0..self.hosts.len() {
            let host = &self.hosts[index];
            if host.reducer.is_none() && !host.has_exited && self.now >= host.restart_at {
                let incarnation = host.incarnation + 1;
                let reducer = self.reducer(index, incarnation);
                let host = &mut self.hosts[index];
                host.reducer = Some(reducer);
                (host.incarnation, host.watched, host.in_force) = (incarnation, 0, 0);
                (host.connected_since, host.last_arrival) = (self.now, 0);
            }
        }
        for upstream in &mut self.upstreams {
            if upstream.side.is_none() && self.now >= upstream.restart_at {
                let (incarnation, leaves_at) = (upstream.incarnation + 1, upstream.leaves_at);
                let (leaving, was_stopped) = (upstream.leaving, leaves_at.is_some());
                *upstream = fake::Upstream::new(incarnation);
                // A sidecar that was stopped and started again takes work, unless its resource says otherwise.
                upstream.leaving = leaving;
                upstream.leaves_at = leaves_at.filter(|_| was_stopped && leaving);
            }
        }
    }

    fn is_cut(&self, first_in_a: bool, second_in_a: bool) -> bool {
        self.now < self.cut_until && first_in_a != second_in_a
    }

    /// Region A has the first host, the first engine and the first service; region B has the rest and the store.
    fn is_cut_from(&self, host: usize, upstream: usize) -> bool {
        self.is_cut(host == 0, upstream.is_multiple_of(2))
    }

    fn has_store(&self, host: usize) -> bool {
        self.now >= self.store.down_until && !self.is_cut(host == 0, false)
    }

    fn store_delay(&self) -> u64 {
        if self.now < self.store.slow_until {
            LATE_MS
        } else {
            0
        }
    }

    fn clock(&self, host: usize) -> clock::Instant {
        // Instants of different hosts have nothing to do with each other.
        clock::Instant::from_millis(self.now + 1_000_000 * (host as u64 + 1))
    }

    fn send(&mut self, delay: u64, message: Message) {
        self.sent += 1;
        self.messages.push((self.now + delay, self.sent, message));
    }

    /// Lets hosts hear from the store, from each other and from the sidecars.
    fn talk(&mut self) {
        for host in 0..self.hosts.len() {
            let is_up = self.hosts[host].reducer.is_some();
            if !(is_up && self.has_store(host) && self.now >= self.hosts[host].paused_until) {
                self.hosts[host].connected_since = self.now + STEP_MS;
                continue;
            }
            let (incarnation, since) = (self.hosts[host].incarnation, self.hosts[host].watched);
            let through = self.store.revision;
            let mut delay = self.store_delay();
            if through > since {
                self.hosts[host].watched = through;
                let event = entry::Event::Changes {
                    since,
                    through,
                    changes: self.store.since(since),
                };
                let message = || Message::Host(host, incarnation, Box::new(event.clone()), None);
                if self.strikes(Fault::ChangesTwice) {
                    self.send(LATE_MS, message());
                }
                if self.strikes(Fault::ChangesLate) {
                    delay += LATE_MS;
                }
                if !self.strikes(Fault::ChangesLost) {
                    self.send(delay, message());
                }
            }
            let contact = Message::Contact(host, incarnation, self.clock(host), through);
            self.send(delay, contact);
        }
        if self.step.is_multiple_of(2) {
            for host in 0..self.hosts.len() {
                for peer in (0..self.hosts.len()).filter(|peer| *peer != host) {
                    self.exchange(host, peer);
                }
            }
        }
    }

    fn exchange(&mut self, host: usize, peer: usize) {
        let is_awake = |h: &Host| h.reducer.is_some() && self.now >= h.paused_until;
        if !is_awake(&self.hosts[host])
            || !is_awake(&self.hosts[peer])
            || self.is_cut(host == 0, peer == 0)
        {
            return;
        }
        let now = self.clock(peer);
        let incarnation = self.hosts[peer].incarnation;
        let Some(reducer) = &mut self.hosts[peer].reducer else {
            return;
        };
        let report = freshness::Report {
            host: fake::host(peer),
            incarnation,
            revision: reducer.monitor().revision(),
            store_age: reducer.monitor().store_age(now),
            sent: self.now_of(host),
        };
        let offers = self.hosts[peer]
            .reducer
            .as_mut()
            .map(|r| r.offers(now))
            .unwrap_or_default();
        let event = entry::Event::Heard { report, offers };
        let delay = if self.strikes(Fault::ExchangesLate) {
            LATE_MS
        } else {
            0
        };
        let incarnation = self.hosts[host].incarnation;
        self.send(
            delay,
            Message::Host(host, incarnation, Box::new(event), None),
        );
    }

    fn now_of(&self, host: usize) -> clock::Instant {
        self.clock(host)
    }

    fn deliver(&mut self) {
        loop {
            let now = self.now;
            let is_due = |m: &(u64, u64, Message)| m.0 <= now;
            let mut due: Vec<_> = self.messages.extract_if(.., |m| is_due(m)).collect();
            due.sort_by_key(|(at, sequence, _)| (*at, *sequence));
            if due.is_empty() {
                return;
            }
            for (_, _, message) in due {
                self.receive(message);
            }
        }
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Host(host, incarnation, event, content) => {
                if self.postpone_host(host, incarnation) {
                    let until = self.hosts[host].paused_until - self.now;
                    return self.send(until, Message::Host(host, incarnation, event, content));
                }
                if self.hosts[host].incarnation == incarnation {
                    self.step_host(host, *event, content);
                }
            }
            Message::Contact(host, incarnation, sent, revision) => {
                if self.postpone_host(host, incarnation) {
                    let until = self.hosts[host].paused_until - self.now;
                    return self.send(until, Message::Contact(host, incarnation, sent, revision));
                }
                let applied = self.revision(host);
                if self.hosts[host].incarnation == incarnation && applied >= revision {
                    self.step_host(host, entry::Event::StoreContact(sent), None);
                } else if self.rule != Rule::NoRepair && self.hosts[host].watched > applied {
                    // The watch begins again after what is applied.
                    self.hosts[host].watched = applied;
                }
            }
            Message::Claim(host, incarnation, id, event) => {
                if self.hosts[host].incarnation == incarnation {
                    self.step_claim(host, id, event);
                }
            }
            Message::Job(upstream, job) => {
                let until = self.upstreams[upstream].paused_until;
                if self.now < until {
                    return self.send(until - self.now, Message::Job(upstream, job));
                }
                self.job(upstream, job);
            }
            Message::Directive(upstream, directive) => {
                self.step_side(upstream, side::Event::Directive(directive));
            }
        }
    }

    fn postpone_host(&self, host: usize, incarnation: u64) -> bool {
        let host = &self.hosts[host];
        host.incarnation == incarnation && self.now < host.paused_until
    }

    fn revision(&self, host: usize) -> u64 {
        let reducer = self.hosts[host].reducer.as_ref();
        reducer.map_or(0, |reducer| reducer.history().revision())
    }

    fn step_host(&mut self, host: usize, event: entry::Event, content: Option<fake::Content>) {
        let event = match self.rule {
            Rule::TrustAnswers => self.trust(event),
            _ => event,
        };
        if let (entry::Event::Attempt(attempt, _), Some(content)) = (&event, content) {
            let request = request_of(*attempt);
            if self.kept.contains(&request) {
                self.give(request, content);
                return;
            }
        }
        if let entry::Event::Changes { through, .. } = &event {
            self.hosts[host].last_arrival = *through;
        }
        let now = self.clock(host);
        let Some(reducer) = &mut self.hosts[host].reducer else {
            return;
        };
        let is_head = matches!(event, entry::Event::Attempt(_, entry::Progress::Head(_)));
        let mut effects = reducer.step(now, event);
        if self.rule == Rule::CheckOnArrival {
            // A refusal that is ignored precedes the end of the attempt.
            effects.sort_by_key(|effect| !matches!(effect, entry::Effect::Refuse(..)));
        }
        for effect in effects {
            self.perform(host, effect, content, is_head);
        }
    }

    /// The naive rule that takes any part of an answer as the next one, and any end as the end.
    fn trust(&mut self, event: entry::Event) -> entry::Event {
        let entry::Event::Attempt(attempt, progress) = event else {
            return event;
        };
        let count = self.naive_counts.entry(request_of(attempt)).or_default();
        let progress = match progress {
            entry::Progress::Token { .. } => {
                *count += 1;
                entry::Progress::Token {
                    claimed: attempt,
                    position: *count - 1,
                }
            }
            entry::Progress::Bytes(bytes) => {
                *count += bytes;
                entry::Progress::Bytes(bytes)
            }
            entry::Progress::Ended { .. } => entry::Progress::Ended {
                claimed: attempt,
                count: *count,
            },
            other => other,
        };
        entry::Event::Attempt(attempt, progress)
    }

    fn perform(
        &mut self,
        host: usize,
        effect: entry::Effect,
        content: Option<fake::Content>,
        is_head: bool,
    ) {
        match effect {
            entry::Effect::Claim { request, key } => {
                let operation = request.as_u128();
                let (flow, action) =
                    claim::Flow::new(self.clock(host), operation, fake::host(host));
                let deadline = self.now + CLAIM_WITHIN_MS;
                self.hosts[host]
                    .flows
                    .insert(request, (key, flow, deadline));
                self.act(host, request, action);
            }
            entry::Effect::Settle { request, outcome } => {
                self.step_claim(host, request, claim::Event::Ended(outcome, 200));
            }
            entry::Effect::Dispatch {
                request,
                attempt,
                upstream,
                workspace,
                idempotent,
                position,
            } => {
                let caller = &self.callers[&request];
                let seen = match self.rule {
                    Rule::ForwardHeaders => fake::secret(caller.workspace),
                    _ => String::new(),
                };
                let job = fake::Job {
                    host,
                    request,
                    attempt,
                    workspace,
                    idempotent,
                    claim: caller.claim.clone().filter(|_| !idempotent),
                    position,
                    seen,
                };
                self.dispatched += 1;
                self.send_job(index_of(&upstream), job);
            }
            entry::Effect::Deliver(id) => {
                if is_head && let Some(caller) = self.callers.get_mut(&id) {
                    caller.heads += 1;
                }
                if let Some(content) = content {
                    self.give(id, content);
                }
            }
            entry::Effect::Finish { request, .. } => {
                self.finished += 1;
                if let Some(caller) = self.callers.get_mut(&request) {
                    caller.is_finished = true;
                }
            }
            // Counted by the daemon only; the world keeps its own record of tokens and attempts.
            entry::Effect::Tokens { .. } | entry::Effect::Retry(_) => {}
            entry::Effect::Refuse(id, refusal) => self.refused(id, &refusal),
            entry::Effect::Cancel { attempt, upstream } => {
                let is_kept = self.kept.contains(&request_of(attempt));
                if !is_kept && !self.is_cut_from(host, index_of(&upstream)) {
                    self.drop_runs(index_of(&upstream), |run| run.job.attempt == attempt, None);
                }
            }
            entry::Effect::Borrow {
                host: peer,
                workspace,
                tokens,
            } => self.borrow(host, index_of(&peer), workspace, tokens),
            entry::Effect::Lend { .. } | entry::Effect::Record(_) => {}
            entry::Effect::Fetch { host: peer, since } => self.fetch(host, index_of(&peer), since),
            entry::Effect::Shards(effect) => self.shards(host, effect),
            entry::Effect::Exit => {
                self.hosts[host].has_exited = true;
                self.hosts[host].reducer = None;
            }
        }
    }

    fn give(&mut self, id: request::Id, content: fake::Content) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        if caller.is_lost {
            return;
        }
        let workspace = caller.workspace;
        caller.got.push(content);
        let is_own = content == (id, caller.got.len() as u64 - 1);
        let is_withdrawn =
            workspace == "w1" && self.withdrawn_at.is_some_and(|at| self.now > at + 5_000);
        *self.used.entry(workspace).or_default() += u64::from(self.callers[&id].is_model);
        self.check_that(is_own, Broken::Answer, format!("{id:?} got {content:?}"));
        self.check_that(
            !is_withdrawn,
            Broken::Withdrawn,
            format!("{id:?} gets more"),
        );
    }

    fn refused(&mut self, id: request::Id, refusal: &entry::Refusal) {
        let withdraws = matches!(
            refusal.reason,
            outcome::Reason::UnknownKey | outcome::Reason::ConfigurationStale
        );
        let rule = self.rule;
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        if rule == Rule::CheckOnArrival && withdraws && caller.executions > 0 {
            self.kept.insert(id);
            return;
        }
        let outcome = match rule {
            Rule::AllNotRun => outcome::Outcome::NotRun,
            _ => refusal.outcome,
        };
        let is_first = caller.refused.replace((refusal.reason, outcome)).is_none();
        let (executions, is_finished) = (caller.executions, caller.is_finished);
        self.check_that(
            is_first && !is_finished,
            Broken::Answer,
            format!("{id:?} has two ends"),
        );
        self.check_that(
            outcome != outcome::Outcome::NotRun || executions == 0,
            Broken::FalseNotRun,
            format!("{id:?} {refusal:?}"),
        );
        let is_cut = self.planned_only && refusal.reason != outcome::Reason::ShuttingDown;
        let is_limited = refusal.reason == outcome::Reason::RateLimited
            || refusal.reason == outcome::Reason::DuplicateRequest;
        self.check_that(
            !is_cut || is_limited,
            Broken::Stopped,
            format!("{id:?} {refusal:?}"),
        );
    }

    fn send_job(&mut self, upstream: usize, job: fake::Job) {
        let unknown = outcome::Outcome::Unknown;
        let failed = outcome::Reason::UpstreamFailed;
        if self.upstreams[upstream].side.is_none() || self.strikes(Fault::CutBefore) {
            return self.fail(&job, outcome::Outcome::NotRun, failed, false, 0);
        }
        if self.is_cut_from(job.host, upstream) || self.strikes(Fault::JobLost) {
            return self.fail(&job, unknown, failed, true, SIDE_TIMEOUT_MS);
        }
        if self.strikes(Fault::JobLate) {
            self.fail(&job, unknown, failed, true, SIDE_TIMEOUT_MS);
            return self.send(SIDE_TIMEOUT_MS + LATE_MS, Message::Job(upstream, job));
        }
        if self.strikes(Fault::JobTwice) {
            self.send(LATE_MS, Message::Job(upstream, job.clone()));
        }
        if self.strikes(Fault::CutAfter) {
            // The caller's side of the connection is gone, the request is not.
            self.fail(&job, unknown, failed, true, STEP_MS);
        }
        self.send(0, Message::Job(upstream, job));
    }

    fn job(&mut self, upstream: usize, job: fake::Job) {
        let id = job.attempt.as_u128();
        let event = side::Event::JobArrived(side::Job {
            id,
            item: None,
            idempotent: job.idempotent,
            claim: job.claim.clone(),
        });
        let now = clock::Instant::from_millis(self.now);
        let Some(side) = &mut self.upstreams[upstream].side else {
            let failed = outcome::Reason::UpstreamFailed;
            return self.fail(&job, outcome::Outcome::Unknown, failed, true, 0);
        };
        let mut effects = side.step(now, event);
        let position = effects.iter().position(|effect| {
            matches!(effect, side::Effect::StartJob(found) if *found == id)
                || matches!(effect, side::Effect::RefuseJob(found, ..) if *found == id)
        });
        let answer = position.map(|position| effects.remove(position));
        match answer {
            Some(side::Effect::RefuseJob(_, reason, outcome)) => {
                // Only the first copy has a connection for the answer.
                let is_copy = self.upstreams[upstream]
                    .runs
                    .iter()
                    .any(|run| run.job.attempt == job.attempt);
                if !is_copy {
                    let sent = outcome != outcome::Outcome::NotRun;
                    self.fail(&job, outcome, reason, sent, 0);
                }
            }
            _ => self.execute(upstream, job),
        }
        self.perform_side(upstream, effects);
    }

    /// Records that an upstream begins a request, and checks that it may.
    fn execute(&mut self, upstream: usize, job: fake::Job) {
        let id = job.request;
        let seen = format!("{} {job:?}", job.seen);
        for workspace in ["w1", "w2", "w3"] {
            let is_seen = seen.contains(&fake::secret(workspace))
                || seen.contains(&fake::digest(workspace).to_hex());
            self.check_that(!is_seen, Broken::KeySeen, seen.clone());
        }
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        caller.executions += 1;
        let caller = caller.clone();
        let is_own = job.workspace.as_deref() == Some(caller.workspace);
        self.check_that(is_own, Broken::Workspace, format!("{id:?} {job:?}"));
        let was_refused = caller.refused.map(|(_, o)| o) == Some(outcome::Outcome::NotRun);
        self.check_that(!was_refused, Broken::FalseNotRun, format!("{id:?} runs"));
        let is_withdrawn =
            caller.workspace == "w1" && self.withdrawn_at.is_some_and(|at| self.now > at + 5_000);
        // A copy that the network kept for longer than the bound was sent before it.
        let is_stale = self.delayed.contains_key(&Fault::JobLate)
            || self.delayed.contains_key(&Fault::JobTwice)
            || self.upstreams[upstream].paused_until > 0;
        self.check_that(
            !is_withdrawn || is_stale,
            Broken::Withdrawn,
            format!("{id:?} starts"),
        );
        let leaves_at = self.upstreams[upstream].leaves_at;
        let leaving = leaves_at.map(|at| at.max(self.cut_until));
        self.check_that(
            leaving.is_none_or(|at| self.now <= at + 3_000),
            Broken::LeavingWork,
            format!("{id:?} at u{upstream}"),
        );
        if caller.method == "POST" && !caller.is_model {
            let same = self.callers.values().filter(|other| {
                caller.claim.is_some()
                    && other.claim == caller.claim
                    && other.workspace == caller.workspace
            });
            let total: u32 = same.map(|other| other.executions).sum();
            let total = total.max(caller.executions);
            self.check_that(total <= 1, Broken::RanTwice, format!("{id:?} {job:?}"));
        }
        self.progress(&job, entry::Progress::Started, None, 0);
        let next = job.position;
        self.upstreams[upstream].runs.push(fake::Run {
            job,
            next,
            is_headed: false,
        });
    }

    fn advance(&mut self, index: usize) {
        let upstream = &self.upstreams[index];
        if self.now < upstream.silent_until.max(upstream.paused_until) {
            return;
        }
        for run in upstream.runs.clone() {
            if self.is_cut_from(run.job.host, index) {
                // The connection is broken; the upstream goes on.
                let (unknown, failed) =
                    (outcome::Outcome::Unknown, outcome::Reason::UpstreamFailed);
                self.drop_runs(index, |other| other.job.attempt == run.job.attempt, None);
                self.fail(&run.job, unknown, failed, true, 0);
                continue;
            }
            self.advance_run(index, &run);
        }
    }

    fn advance_run(&mut self, index: usize, run: &fake::Run) {
        let caller = &self.callers[&run.job.request];
        let (length, is_model) = (caller.length, caller.is_model);
        let attempt = run.job.attempt;
        if !is_model && !run.is_headed {
            let found = self.upstreams[index].runs.iter_mut();
            for found in found.filter(|other| other.job.attempt == attempt) {
                found.is_headed = true;
            }
            return self.progress(&run.job, entry::Progress::Head(Some(length)), None, 0);
        }
        let upstream = &mut self.upstreams[index];
        let is_short = run.next + 1 == length && upstream.shorts > 0;
        if run.next == length || is_short {
            upstream.shorts -= u32::from(is_short);
            self.met += u64::from(is_short);
            self.upstreams[index]
                .runs
                .retain(|other| other.job.attempt != attempt);
            let ended = side::Event::JobEnded(attempt.as_u128(), outcome::Outcome::Ran, run.next);
            self.step_side(index, ended);
            let count = if is_short { length } else { run.next };
            let claimed = attempt;
            return self.progress(&run.job, entry::Progress::Ended { claimed, count }, None, 0);
        }
        for found in upstream.runs.iter_mut() {
            found.next += u64::from(found.job.attempt == attempt);
        }
        let mut shown = run.clone();
        if upstream.crossings > 0 && is_model {
            let other = upstream.runs.iter();
            let mut other = other
                .filter(|other| other.job.request != run.job.request && other.job.claim.is_none());
            if let Some(other) = other.next_back().cloned() {
                upstream.crossings -= 1;
                self.met += 1;
                shown = other;
            }
        }
        let content = Some((shown.job.request, shown.next));
        let progress = if is_model {
            entry::Progress::Token {
                claimed: shown.job.attempt,
                position: shown.next,
            }
        } else {
            entry::Progress::Bytes(1)
        };
        self.progress(&run.job, progress, content, 0);
    }

    fn step_side(&mut self, index: usize, event: side::Event) {
        let now = clock::Instant::from_millis(self.now);
        let Some(side) = &mut self.upstreams[index].side else {
            return;
        };
        let effects = side.step(now, event);
        self.perform_side(index, effects);
    }

    fn perform_side(&mut self, index: usize, effects: Vec<side::Effect>) {
        for effect in effects {
            match effect {
                side::Effect::Report(report) => self.report(index, &report),
                side::Effect::Exit => {
                    self.upstreams[index].side = None;
                    self.upstreams[index].restart_at = u64::MAX;
                }
                _ => {}
            }
        }
    }

    fn report(&mut self, index: usize, report: &side::Report) {
        let load = routing::Load {
            upstream: fake::upstream(index),
            incarnation: report.incarnation,
            sequence: report.sequence,
            leaving: report.leaving && self.rule != Rule::ListOnly,
            reachable: true,
            resident: vec![routing::Resident {
                model: support::name("m"),
                adapter: None,
                answered: true,
            }],
            in_flight: u32::try_from(report.in_flight).expect("a small number"),
            waiting: 0,
            capacity: 0,
        };
        for host in 0..self.hosts.len() {
            let incarnation = self.hosts[host].incarnation;
            if self.is_cut_from(host, index) || self.strikes(Fault::ReportsLost) {
                continue;
            }
            let event = entry::Event::Reported(Box::new(load.clone()));
            let message = || Message::Host(host, incarnation, Box::new(event.clone()), None);
            if self.strikes(Fault::ReportsTwice) {
                self.send(LATE_MS, message());
            }
            let delay = if self.strikes(Fault::ReportsLate) {
                LATE_MS
            } else {
                0
            };
            self.send(delay, message());
            self.direct(host, index);
        }
    }

    /// Sends a host's answer to the report of a sidecar.
    fn direct(&mut self, host: usize, index: usize) {
        if self.now < self.hosts[host].paused_until {
            return;
        }
        let Some(reducer) = &self.hosts[host].reducer else {
            return;
        };
        let snapshot = reducer.history().snapshot();
        let name = fake::upstream(index);
        let found = snapshot.upstreams().find(|(known, _)| **known == name);
        let directive = side::Directive {
            revision: snapshot.revision(),
            leaving: found.is_some_and(|(_, upstream)| upstream.leaving),
            ..side::Directive::default()
        };
        self.send(0, Message::Directive(index, directive));
    }

    fn fetch(&mut self, host: usize, peer: usize, since: u64) {
        if self.is_cut(host == 0, peer == 0) || self.rule == Rule::NoRepair {
            return;
        }
        let Some(reducer) = &self.hosts[peer].reducer else {
            return;
        };
        let through = reducer.history().revision();
        let event = match reducer.history().changes_since(since) {
            Some(changes) => entry::Event::Changes {
                since,
                through,
                changes,
            },
            None => entry::Event::Listing {
                revision: through,
                pairs: reducer.history().listing(),
            },
        };
        let incarnation = self.hosts[host].incarnation;
        self.send(0, Message::Host(host, incarnation, Box::new(event), None));
    }

    fn borrow(&mut self, host: usize, peer: usize, workspace: name::Name, tokens: u64) {
        let asked = self.clock(host);
        let transfer = u128::from(self.sent) + 1;
        let now = self.clock(peer);
        let is_heard =
            !self.is_cut(host == 0, peer == 0) && self.now >= self.hosts[peer].paused_until;
        let mut lent = None;
        if let Some(reducer) = self.hosts[peer].reducer.as_mut().filter(|_| is_heard) {
            let event = entry::Event::Asked {
                transfer,
                workspace: workspace.clone(),
                tokens,
            };
            for effect in reducer.step(now, event) {
                if let entry::Effect::Lend { tokens, .. } = effect {
                    lent = Some(tokens);
                }
            }
        }
        let event = entry::Event::Lent {
            asked,
            transfer: lent.map(|_| transfer),
            workspace,
            tokens: lent.unwrap_or(0),
        };
        let incarnation = self.hosts[host].incarnation;
        self.send(0, Message::Host(host, incarnation, Box::new(event), None));
    }

    fn shards(&mut self, host: usize, effect: rate::Effect) {
        let has_store = self.has_store(host);
        let event = match effect {
            rate::Effect::Write(write) => {
                let answer = if has_store {
                    let lost = self.store.answers_to_lose;
                    let answer = self.store.shards(&write);
                    self.met += u64::from(self.store.answers_to_lose < lost);
                    answer
                } else {
                    rate::Answer::Unknown
                };
                entry::Event::ShardsWritten(write.id, answer)
            }
            rate::Effect::Read(numbers) if has_store => {
                entry::Event::ShardsRead(self.store.read_shards(&numbers))
            }
            rate::Effect::Read(_) => return,
        };
        let (incarnation, delay) = (self.hosts[host].incarnation, self.store_delay());
        self.send(
            delay,
            Message::Host(host, incarnation, Box::new(event), None),
        );
    }

    fn step_claim(&mut self, host: usize, id: request::Id, event: claim::Event) {
        let now = self.clock(host);
        if self.rule == Rule::AssumeClaim && event == claim::Event::Lost {
            return self.step_host(host, entry::Event::Claimed(id, Ok(())), None);
        }
        let Some((_, flow, _)) = self.hosts[host].flows.get_mut(&id) else {
            return;
        };
        let action = flow.step(now, event);
        self.act(host, id, action);
    }

    fn act(&mut self, host: usize, id: request::Id, action: claim::Action) {
        let Some((key, flow, _)) = self.hosts[host].flows.get(&id) else {
            return;
        };
        let key = key.clone();
        match &action {
            claim::Action::Dispatch => {
                self.step_host(host, entry::Event::Claimed(id, Ok(())), None);
            }
            claim::Action::Refuse(reason, outcome) => {
                let next = flow.clean();
                let refusal = entry::Refusal::new(*reason, *outcome, "");
                self.step_host(host, entry::Event::Claimed(id, Err(refusal)), None);
                self.act(host, id, next);
            }
            claim::Action::Done => {}
            _ => {
                let is_retry = matches!(action, claim::Action::ReadAt(_));
                let mut delay = self.store_delay() + if is_retry { 1_000 } else { 0 };
                let event = if self.has_store(host) {
                    let lost = self.store.answers_to_lose;
                    let event = self.store.claim(&key, &action);
                    self.met += u64::from(self.store.answers_to_lose < lost);
                    event
                } else {
                    delay += STEP_MS;
                    claim::Event::Lost
                };
                let incarnation = self.hosts[host].incarnation;
                self.send(delay, Message::Claim(host, incarnation, id, event));
            }
        }
    }

    /// Lets the callers of this step send their requests.
    fn demand(&mut self) {
        if !(FIRST - 2..=LAST + 20).contains(&self.step) {
            return;
        }
        let step = self.step;
        let turn = (step as usize) % fake::HOSTS;
        if step == FIRST - 2 {
            for host in 0..fake::HOSTS {
                self.arrive(host, "w1", true, "POST", None, LONG);
                self.arrive(host, "w2", true, "POST", None, LONG);
            }
        }
        self.arrive(turn, "w2", false, "GET", None, 4);
        self.arrive(turn, "w1", true, "POST", None, 3);
        // A caller repeats a booking at another host.
        let key = |step: u64| Some(format!("key-{}", step / 3));
        self.arrive(turn, "w2", false, "POST", key(step), 3);
        self.arrive((turn + 1) % 3, "w1", false, "POST", None, 3);
        for host in 0..fake::HOSTS {
            self.arrive(host, "w3", true, "POST", None, 4);
        }
    }

    fn arrive(
        &mut self,
        host: usize,
        workspace: &'static str,
        is_model: bool,
        method: &'static str,
        claim: Option<String>,
        length: u64,
    ) {
        // The load balancer sends nothing to a host that is not ready.
        let is_ready = |h: &Host| {
            self.now >= h.paused_until && h.reducer.as_ref().is_some_and(entry::Reducer::is_ready)
        };
        let Some(host) = (0..fake::HOSTS)
            .map(|offset| (host + offset) % fake::HOSTS)
            .find(|host| is_ready(&self.hosts[*host]))
        else {
            return;
        };
        let id = request::Id::from_u128((self.callers.len() as u128 + 1) << 8);
        let key = match self.rule {
            Rule::ConnectionKey => *self.connection_key.get_or_insert(workspace),
            _ => workspace,
        };
        let arrival = entry::Arrival {
            id,
            digest: Some(fake::digest(key)),
            route: support::name(if is_model { "models" } else { "desk" }),
            method: if self.rule == Rule::RetryAll && claim.is_none() {
                "GET".to_owned()
            } else {
                method.to_owned()
            },
            model: is_model.then(|| support::name("m")),
            adapter: None,
            class: admission::Class::Live,
            prompt_tokens: 1,
            max_tokens: if is_model { length } else { 0 },
            bytes: 10,
            prefixes: Vec::new(),
            idempotency_key: claim.clone(),
            deadline: self.clock(host) + time::Duration::from_secs(22),
        };
        let claim = claim.map(|key| format!("{workspace}/{key}"));
        self.callers.insert(
            id,
            fake::Caller {
                host,
                workspace,
                is_model,
                method,
                claim,
                length,
                got: Vec::new(),
                heads: 0,
                executions: 0,
                is_finished: false,
                refused: None,
                is_lost: false,
            },
        );
        self.step_host(host, entry::Event::Arrived(Box::new(arrival)), None);
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

    fn check(&mut self) {
        for index in 0..self.hosts.len() {
            let host = &self.hosts[index];
            if host.reducer.is_none() {
                continue;
            }
            let revision = match self.rule {
                Rule::LastArrival => host.last_arrival,
                _ => self.revision(index),
            };
            let (before, since) = (host.in_force, host.connected_since);
            let is_paused = self.now < host.paused_until;
            self.hosts[index].in_force = revision;
            self.check_that(
                revision >= before,
                Broken::Reverted,
                format!("e{index} from {before} to {revision}"),
            );
            let due = self
                .writes
                .iter()
                .filter(|(_, at)| self.now >= *at.max(&since) + 3_000);
            let due = due.map(|(revision, _)| *revision).max().unwrap_or(0);
            self.check_that(
                is_paused || revision >= due,
                Broken::NotInForce,
                format!("e{index} has {revision}, not {due}"),
            );
        }
        let used = self.used.get("w3").copied().unwrap_or(0);
        let allowed = fake::BURST + fake::RATE * self.now / 1_000;
        self.check_that(
            used <= allowed,
            Broken::Rate,
            format!("{used} of {allowed}"),
        );
        let wrong = self.callers.iter().find(|(_, caller)| {
            let is_whole = caller.got.len() as u64 == caller.length;
            (caller.is_finished && !is_whole) || caller.heads > 1
        });
        if let Some((id, caller)) = wrong {
            let detail = format!("{id:?} {caller:?}");
            self.break_with(Broken::Answer, detail);
        }
    }

    fn check_end(&mut self) {
        let open: Vec<_> = self
            .callers
            .iter()
            .filter(|(_, caller)| is_open(caller))
            .map(|(id, caller)| (*id, caller.host))
            .collect();
        for (id, host) in open {
            let broken = if self.hosts[host].has_exited {
                Broken::Stopped
            } else {
                Broken::Unended
            };
            let detail = format!("{id:?} {:?}", self.callers[&id]);
            self.break_with(broken, detail);
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
