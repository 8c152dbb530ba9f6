mod admit;
mod answer;
mod belief;
mod borrow;
mod dispatch;
mod report;
mod tick;

use std::collections;
use std::time;

use super::allowance;
use super::config;
use super::effect;
use super::event;
use super::options;
use super::pending;
use super::pick;
use super::refusal;
use super::upstream;
use super::view;
use crate::clock;
use crate::meter;
use crate::name;
use crate::retry;
use crate::timeline;

/// The age up to which the coordinator's view is used.
const VIEW_AGE: time::Duration = time::Duration::from_millis(2_500);
/// The age of the coordinator's view from which a host uses its part of allowances without a coordinator: hosts hear from
/// it each 0.4 s.
const ALONE_AGE: time::Duration = time::Duration::from_millis(800);
/// The most attempts that are sent for one request, those included that an upstream did not run.
const MAX_SENDS: u32 = 4;
/// The least time for which an attempt is worth sending.
const MIN_REMAINING: time::Duration = time::Duration::from_millis(30);

/// The bounds of the time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(300);

/// The time after which a caller may try again whose request another host may serve at once.
const OTHER_HOST_RETRY: time::Duration = time::Duration::from_millis(100);

/// What requests that wait for the same upstreams have in common: the service and the model.
type Line = (name::Name, Option<name::Name>);

/// A request that waits for tokens.
#[derive(Clone, Copy, Debug)]
struct Borrower {
    request: event::Id,
    since: clock::Instant,
    /// The report that asks for its tokens.
    report: Option<u64>,
}

type Key = (clock::Instant, event::Id);

/// Everything that an entry host decides about requests.
#[derive(Debug)]
pub struct Reducer {
    host: name::Name,
    zone: name::Name,
    options: options::Options,
    config: Option<config::Config>,
    confirmed: Option<clock::Instant>,
    /// Whether a call to the store has failed since the last confirmation.
    store_failed: bool,
    /// When the store was last reached again after an outage.
    regained: Option<clock::Instant>,
    table: upstream::Table,
    requests: collections::HashMap<event::Id, pending::Pending>,
    /// The waiting requests by urgency.
    waiting: collections::BTreeSet<Key>,
    /// The waiting requests of each line, as of the last step that served them.
    lines: collections::HashMap<Line, u32>,
    /// The requests sent in each line.
    sends: meter::Meter<Line>,
    /// The attempts that were sent.
    dispatches: u64,
    checked: clock::Instant,
    allowances: collections::HashMap<name::Name, allowance::Allowance>,
    budgets: collections::HashMap<name::Name, retry::Budget>,
    /// The requests that wait for tokens of their workspace, in order of arrival.
    borrowers: collections::VecDeque<Borrower>,
    /// When the coordinator last had no tokens of a workspace.
    denied: collections::HashMap<name::Name, clock::Instant>,
    reports: u64,
    hosts: usize,
    view: Option<(clock::Instant, view::View)>,
    asks: collections::HashMap<(name::Name, name::Name, Option<name::Name>), u64>,
    usage: collections::HashMap<name::Name, u64>,
    reported: clock::Instant,
    /// When requests without an answer get a final one, because the process is to stop.
    end: Option<clock::Instant>,
}

impl Reducer {
    /// Returns the reducer of the entry host `host` in the availability zone `zone`.
    #[must_use]
    pub fn new(host: name::Name, zone: name::Name, options: options::Options) -> Self {
        Self {
            host,
            zone,
            options,
            config: None,
            confirmed: None,
            store_failed: false,
            regained: None,
            table: upstream::Table::new(),
            requests: collections::HashMap::new(),
            waiting: collections::BTreeSet::new(),
            lines: collections::HashMap::new(),
            sends: meter::Meter::default(),
            dispatches: 0,
            checked: clock::Instant::default(),
            allowances: collections::HashMap::new(),
            budgets: collections::HashMap::new(),
            borrowers: collections::VecDeque::new(),
            denied: collections::HashMap::new(),
            reports: 0,
            hosts: 1,
            view: None,
            asks: collections::HashMap::new(),
            usage: collections::HashMap::new(),
            reported: clock::Instant::default(),
            end: None,
        }
    }

    /// Returns the configuration.
    #[must_use]
    pub fn config(&self) -> Option<&config::Config> {
        self.config.as_ref()
    }

    /// Returns the upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &upstream::Upstream> {
        self.table.values()
    }

    /// Returns the numbers of requests that have no complete answer and that wait for an upstream.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.requests.len(), self.waiting.len())
    }

    /// Returns the fewest retries that are left for a service.
    #[must_use]
    pub fn retries_left(&self, now: clock::Instant) -> Option<u64> {
        let budgets = self.budgets.values();
        budgets.map(|budget| budget.left(now)).min()
    }

    /// Returns the tokens that each workspace may use at once without asking; negative after a large request.
    pub fn allowances(&mut self, now: clock::Instant) -> impl Iterator<Item = (&name::Name, f64)> {
        let allowances = self.allowances.iter_mut();
        allowances.map(move |(name, allowance)| (name, allowance.level(now)))
    }

    /// Returns the age of the confirmed configuration.
    #[must_use]
    pub fn config_age(&self, now: clock::Instant) -> Option<time::Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Returns what the choice of an upstream goes by.
    fn context<'a>(
        &'a self,
        now: clock::Instant,
        service: &'a config::Service,
    ) -> pick::Context<'a> {
        pick::Context {
            now,
            zone: &self.zone,
            service,
            lapse: self.options.removal_grace,
            policy: self.options.policy,
            turn: self.dispatches,
        }
    }

    /// Returns the version of the configuration, 0 when there is none.
    fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, config::Config::version)
    }

    /// Returns the age of the confirmed configuration as a field of a decision.
    fn config_age_field(&self, now: clock::Instant) -> Option<timeline::Value> {
        self.config_age(now).map(timeline::Value::millis)
    }

    /// Returns whether this host can serve callers.
    #[must_use]
    pub fn is_ready(&self, now: clock::Instant) -> bool {
        self.config.is_some() && self.is_current(now, self.options.max_config_age)
    }

    /// Takes up an event and returns what is to be done.
    pub fn step(&mut self, now: clock::Instant, event: event::Event) -> Vec<effect::Effect> {
        let mut effects = Vec::new();
        match event {
            event::Event::Arrived(id, arrival) => self.arrive(now, id, *arrival, &mut effects),
            event::Event::CallerDisconnected(id) => self.abandon(now, id, &mut effects),
            event::Event::Responded(id, attempt, answer) => {
                self.answer(now, id, attempt, answer, &mut effects);
            }
            event::Event::StreamProgress(id, attempt, after) => {
                self.progress(now, id, attempt, after)
            }
            event::Event::StreamEnded(id, attempt) => self.end(now, id, attempt, &mut effects),
            event::Event::AttemptFailed {
                request,
                attempt,
                sent,
                unreachable,
            } => self.fail(now, request, attempt, sent, unreachable, &mut effects),
            event::Event::Configured(config) => self.configure(now, *config, &mut effects),
            event::Event::ConfigConfirmed(sent) => self.confirm(now, sent, &mut effects),
            event::Event::StoreFailed => self.store_failed = true,
            event::Event::UpstreamUpdated(registration) => {
                self.see(now, *registration, &mut effects)
            }
            event::Event::UpstreamRemoved(id) => self.remove(now, &id, &mut effects),
            event::Event::ViewReceived(view) => self.look(now, *view, &mut effects),
            event::Event::HostsChanged(hosts) => self.set_hosts(now, hosts),
            event::Event::Stopping(end) => self.end = Some(end),
            event::Event::Tick => self.tick(now, &mut effects),
        }
        effects
    }

    fn is_current(&self, now: clock::Instant, age: time::Duration) -> bool {
        self.confirmed
            .is_some_and(|confirmed| now.since(confirmed) <= age)
    }
}

fn refuse(reason: refusal::Reason, retry_after: Option<time::Duration>) -> refusal::Refusal {
    refusal::Refusal {
        reason,
        may_have_run: false,
        retry_after,
    }
}

fn record(decision: timeline::Decision) -> effect::Effect {
    effect::Effect::Record(decision)
}
