use std::collections;
use std::time;

use super::effect;
use super::event;
use super::jobs;
use super::report;
use super::timestamp;
use crate::claim;
use crate::clock;
use crate::memory;
use crate::outcome;
use crate::resource;

/// The default time between two reports.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// The largest number of concurrent model loads of an engine; more would share the same link to the weight store.
const MAX_PENDING_LOADS: usize = 2;

/// The largest number of idempotency keys that are remembered.
const MAX_CLAIMS: usize = 65_536;

/// The time for which an idempotency key is remembered.
const CLAIM_RETENTION: time::Duration = time::Duration::from_secs(24 * 3_600);

/// The decisions of one sidecar.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::clock;
/// use carawaycleat_core::resource;
/// use carawaycleat_core::side;
///
/// let now = clock::Instant::from_millis(0);
/// let mut reducer = side::Reducer::new(now, resource::Fencing::Ignored, 1);
/// let effects = reducer.step(now, side::Event::Shutdown);
/// assert!(effects.contains(&side::Effect::Exit));
/// ```
#[derive(Clone, Debug)]
pub struct Reducer {
    incarnation: u64,
    account: memory::Account,
    claims: claim::Table,
    jobs: jobs::Jobs,
    clocks: timestamp::Clocks,
    /// The items for which a request has completed in this incarnation of the engine.
    answered: collections::BTreeSet<memory::Id>,
    holdings: Vec<memory::Item>,
    revision: u64,
    plan_revision: u64,
    report_interval: time::Duration,
    max_jobs: usize,
    is_leaving: bool,
    is_reachable: bool,
    is_shutting_down: bool,
    has_exited: bool,
    waiting: u32,
    tokens: u64,
    sequence: u64,
    reported_at: Option<clock::Instant>,
}

impl Reducer {
    /// Returns the state of a sidecar that started at `now`; `incarnation` is as for [`memory::Account::recover`].
    pub fn new(now: clock::Instant, mode: resource::Fencing, incarnation: u64) -> Self {
        Self::with_options(now, mode, incarnation, memory::Options::default())
    }

    /// Returns the state of a sidecar as [`Reducer::new`] does, with the given time limits of the memory account.
    pub fn with_options(
        now: clock::Instant,
        mode: resource::Fencing,
        incarnation: u64,
        options: memory::Options,
    ) -> Self {
        Self {
            incarnation,
            account: memory::Account::with_options(now, mode, incarnation, options),
            claims: claim::Table::new(MAX_CLAIMS, CLAIM_RETENTION),
            jobs: jobs::Jobs::default(),
            clocks: timestamp::Clocks::default(),
            answered: collections::BTreeSet::new(),
            holdings: Vec::new(),
            revision: 0,
            plan_revision: 0,
            report_interval: REPORT_INTERVAL,
            max_jobs: usize::MAX,
            is_leaving: false,
            is_reachable: false,
            is_shutting_down: false,
            has_exited: false,
            waiting: 0,
            tokens: 0,
            sequence: 0,
            reported_at: None,
        }
    }

    /// Sets the time between two reports and returns the reducer.
    #[must_use]
    pub fn report_interval(mut self, span: time::Duration) -> Self {
        self.report_interval = span;
        self
    }

    /// Sets the largest number of requests in flight, beyond which further ones are refused, and returns the reducer.
    #[must_use]
    pub fn max_jobs(mut self, jobs: usize) -> Self {
        self.max_jobs = jobs;
        self
    }

    /// Returns the account of the engine's memory.
    pub fn account(&self) -> &memory::Account {
        &self.account
    }

    /// Processes `event` and returns the effects in the order in which they are to be performed.
    pub fn step(&mut self, now: clock::Instant, event: event::Event) -> Vec<effect::Effect> {
        let mut effects = Vec::new();
        match event {
            event::Event::Directive(directive) => {
                self.apply_directive(now, directive, &mut effects)
            }
            event::Event::EngineState(state, waiting) => {
                self.observe_engine(now, &state, &mut effects);
                self.waiting = waiting;
            }
            event::Event::ServiceReached => self.set_reachable(true, &mut effects),
            event::Event::EngineUnreachable => self.set_reachable(false, &mut effects),
            event::Event::OrderResponse(id, response) => {
                self.account.record_response(now, id, response)
            }
            event::Event::JobArrived(job) => effects.push(self.admit(now, job)),
            event::Event::JobStarted(_) => {}
            event::Event::JobEnded(id, outcome, tokens) => self.end_job(now, id, outcome, tokens),
            event::Event::Shutdown => self.shut_down(&mut effects),
            event::Event::Tick => {}
        }
        if !self.is_shutting_down {
            let orders = self.due_orders(now);
            effects.extend(orders.into_iter().map(effect::Effect::SendOrder));
        }
        let changes = self.account.take_changes();
        effects.extend(changes.into_iter().map(effect::Effect::Order));
        if self
            .reported_at
            .is_none_or(|at| now.since(at) >= self.report_interval)
        {
            self.reported_at = Some(now);
            self.sequence += 1;
            effects.push(effect::Effect::Report(self.report()));
        }
        if self.is_shutting_down && self.jobs.in_flight() == 0 && !self.has_exited {
            self.has_exited = true;
            effects.push(effect::Effect::Exit);
        }
        effects
    }

    fn apply_directive(
        &mut self,
        now: clock::Instant,
        directive: event::Directive,
        effects: &mut Vec<effect::Effect>,
    ) {
        if let Some(sent_at) = &directive.sent_at {
            self.clocks.observe(now, sent_at);
        }
        // Entry hosts may lag behind each other: an older configuration must not make a leaving upstream accept
        // requests again.
        let is_older = directive.revision < self.revision;
        self.revision = self.revision.max(directive.revision);
        if directive.leaving != self.is_leaving && !is_older {
            self.is_leaving = directive.leaving;
            effects.push(effect::Effect::Record(effect::Change::Leaving(
                self.is_leaving,
            )));
        }
        // A plan with an older revision is ignored.
        if directive.plan_revision > self.plan_revision {
            self.plan_revision = directive.plan_revision;
            self.holdings = directive.holdings;
            self.holdings.sort_by_key(|item| item.id.adapter.is_some());
            effects.push(effect::Effect::Record(effect::Change::Plan(
                self.plan_revision,
            )));
        }
    }

    fn observe_engine(
        &mut self,
        now: clock::Instant,
        state: &memory::Report,
        effects: &mut Vec<effect::Effect>,
    ) {
        self.set_reachable(true, effects);
        let before = self.account.latest().map(|report| report.incarnation);
        let was_ready = self.account.is_ready();
        if !self.account.observe(now, state) {
            return;
        }
        if before.is_some_and(|before| before != state.incarnation) {
            self.answered.clear();
            let change = effect::Change::EngineRestart(state.incarnation);
            effects.push(effect::Effect::Record(change));
        }
        self.answered.retain(|id| state.entry(id).is_some());
        if self.account.is_ready() && !was_ready {
            effects.push(effect::Effect::Record(effect::Change::Ready));
        }
    }

    fn set_reachable(&mut self, is_reachable: bool, effects: &mut Vec<effect::Effect>) {
        if self.is_reachable != is_reachable {
            self.is_reachable = is_reachable;
            let change = effect::Change::Reachable(is_reachable);
            effects.push(effect::Effect::Record(change));
        }
    }

    fn admit(&mut self, now: clock::Instant, job: event::Job) -> effect::Effect {
        if let Some((reason, outcome)) = self.jobs.refusal_of_duplicate(&job) {
            return effect::Effect::RefuseJob(job.id, reason, outcome);
        }
        if let Some(reason) = self.refusal(now, &job) {
            self.jobs.refuse(now, &job, reason);
            return effect::Effect::RefuseJob(job.id, reason, outcome::Outcome::NotRun);
        }
        if let Some(key) = job.claim.as_ref().filter(|_| !job.idempotent)
            && let Err(outcome) = self.claims.begin(now, key, job.id)
        {
            let reason = outcome::Reason::DuplicateRequest;
            return effect::Effect::RefuseJob(job.id, reason, outcome);
        }
        let id = job.id;
        self.jobs.start(job);
        effect::Effect::StartJob(id)
    }

    fn refusal(&self, now: clock::Instant, job: &event::Job) -> Option<outcome::Reason> {
        if self.is_shutting_down {
            Some(outcome::Reason::ShuttingDown)
        } else if self.is_leaving || job.item.as_ref().is_some_and(|id| self.is_draining(id)) {
            Some(outcome::Reason::UpstreamLeaving)
        } else if self.clocks.age(now, &job.sent_at) > timestamp::MAX_JOB_AGE {
            Some(outcome::Reason::UpstreamTimeout)
        } else if self.jobs.in_flight() >= self.max_jobs {
            Some(outcome::Reason::QueueFull)
        } else {
            None
        }
    }

    fn end_job(&mut self, now: clock::Instant, id: u128, outcome: outcome::Outcome, tokens: u64) {
        self.tokens += tokens;
        let Some(job) = self.jobs.end(now, id, outcome) else {
            return;
        };
        if let Some(key) = &job.claim {
            match outcome {
                outcome::Outcome::Ran => self.claims.complete(key, id),
                outcome::Outcome::NotRun => self.claims.remove(key, id),
                outcome::Outcome::Unknown => {}
            }
        }
        if outcome == outcome::Outcome::Ran {
            self.answered.extend(job.item);
        }
    }

    fn shut_down(&mut self, effects: &mut Vec<effect::Effect>) {
        if !self.is_shutting_down {
            self.is_shutting_down = true;
            self.reported_at = None;
            effects.push(effect::Effect::Record(effect::Change::ShuttingDown));
        }
    }

    /// Returns whether the plan no longer contains `id`; such an item accepts no new requests.
    fn is_draining(&self, id: &memory::Id) -> bool {
        self.plan_revision > 0 && !self.holdings.iter().any(|item| item.id == *id)
    }

    /// Returns the orders that are due: resent ones, loads that fit into memory, then unloads.
    ///
    /// An item that is not in the plan is unloaded if nothing is left to load or a load needs its memory, and only
    /// while no request uses it.
    fn due_orders(&mut self, now: clock::Instant) -> Vec<memory::Order> {
        let mut orders = self.account.resend(now);
        if self.plan_revision == 0 {
            return orders;
        }
        self.account.raise_fencing(self.plan_revision);
        let mut needs_memory = false;
        let mut has_missing = false;
        for item in &self.holdings {
            let is_model = item.id.adapter.is_none();
            if is_model && self.account.pending_loads() >= MAX_PENDING_LOADS {
                has_missing = true;
                continue;
            }
            match self.account.load(now, item) {
                Ok(order) => {
                    has_missing = true;
                    orders.push(order);
                }
                Err(memory::Error::Resident) => {}
                Err(memory::Error::InsufficientMemory(..)) => needs_memory = true,
                Err(_) => has_missing = true,
            }
        }
        if needs_memory || !has_missing {
            orders.extend(self.unload_orders(now));
        }
        orders
    }

    fn unload_orders(&mut self, now: clock::Instant) -> Vec<memory::Order> {
        let usable = self.account.usable().map(|item| item.id.clone());
        let mut unplanned: Vec<_> = usable
            .filter(|id| self.is_draining(id) && !self.jobs.uses(id))
            .collect();
        unplanned.sort_by_key(|id| id.adapter.is_none());
        let unload = |id: memory::Id| self.account.unload(now, &id).ok();
        unplanned.into_iter().filter_map(unload).collect()
    }

    fn report(&self) -> report::Report {
        let residence = |item: &memory::Item| report::Residence {
            item: item.clone(),
            answered: self.answered.contains(&item.id),
            draining: self.is_draining(&item.id),
        };
        report::Report {
            incarnation: self.incarnation,
            sequence: self.sequence,
            leaving: self.is_leaving || self.is_shutting_down,
            reachable: self.is_reachable,
            resident: self.account.usable().map(residence).collect(),
            total_bytes: self.account.total(),
            committed_bytes: self.account.committed(),
            in_flight: self.jobs.in_flight(),
            waiting: self.waiting,
            tokens: self.tokens,
            plan_revision: self.plan_revision,
        }
    }
}
