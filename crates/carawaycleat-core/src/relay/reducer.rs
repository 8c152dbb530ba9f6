mod admission;
mod cold;
mod connection;
mod contention;
mod crash;
mod dispatch;
mod ending;
mod lateness;
mod origin;
mod report;
mod response;
mod standby;
mod stop;
mod tick;
mod token;
mod tracking;
mod update;

use std::collections;
use std::time;

use super::allowance;
use super::cold as cold_start;
use super::config;
use super::departure;
use super::effect;
use super::event;
use super::options;
use super::pause;
use super::pending;
use super::refusal;
use super::restoration;
use super::selection;
use super::selection::expected;
use super::traffic;
use super::upstream;
use super::view;
use crate::balance;
use crate::clock;
use crate::evacuation;
use crate::meter;
use crate::name;
use crate::quarantine;
use crate::retry;
use crate::timeline;
use crate::work;

/// The age up to which the ready times of models in the coordinator's view are used.
const MAX_VIEW_AGE: time::Duration = time::Duration::from_millis(2_500);
/// The age of the coordinator's view from which a host uses its share of allowances without a coordinator. Hosts
/// receive a view every 0.4 s.
const MAX_COORDINATOR_SILENCE: time::Duration = time::Duration::from_millis(800);
/// The most attempts sent for one request whose caller has no part of the response, including those that an upstream rejected
/// without running them.
const MAX_SENT_ATTEMPTS: u32 = 4;
/// The minimum time left until the deadline for which another attempt is sent.
const MIN_ATTEMPT_TIME: time::Duration = time::Duration::from_millis(30);

/// The shortest `Retry-After` of a refusal for lack of tokens or slots.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(300);

/// The `Retry-After` of a refusal where another host may serve the request at once.
const OTHER_HOST_RETRY: time::Duration = time::Duration::from_millis(100);

/// The `Retry-After` of a request that timed out.
const TIMEOUT_RETRY: time::Duration = time::Duration::from_millis(500);

/// Identifies a queue: the service and the model of the requests that wait in it.
pub(super) type QueueKey = (name::Name, Option<name::Name>);

/// A request that waits for tokens from the coordinator.
#[derive(Clone, Copy, Debug)]
struct TokenWaiter {
    request: event::Id,
    since: clock::Instant,
    /// The number of the last report that requested its tokens; none before the first one.
    report: Option<u64>,
}

/// Orders the waiting requests by [`pending::Pending::queue_key`], then by identifier.
type WaitingKey = (clock::Instant, event::Id);

/// A service, a model and an adapter for it.
type DemandKey = (name::Name, name::Name, Option<name::Name>);

/// The state machine that admits, dispatches, retries and refuses the requests of one entry host.
#[derive(Debug)]
pub struct Reducer {
    host: name::Name,
    zone: name::Name,
    options: options::Options,
    config: Option<config::Config>,
    /// When the latest call that confirmed the configuration as current was sent.
    confirmed: Option<clock::Instant>,
    /// Whether a call to the store has failed since the last confirmation.
    store_failed: bool,
    /// When the store was last reached again after an outage.
    store_regained: Option<clock::Instant>,
    restoration: restoration::Restoration,
    departures: departure::Departures,
    /// The pauses of upstreams whose entries are gone.
    pauses: pause::Pauses,
    /// The upstreams that are cold after a start.
    cold: cold_start::State,
    /// The availability zones whose upstreams get no requests.
    evacuated: evacuation::Set,
    upstreams: upstream::Table,
    requests: collections::HashMap<event::Id, pending::Pending>,
    /// The requests that wait for an upstream, the most urgent first.
    waiting: collections::BTreeSet<WaitingKey>,
    /// The number of waiting requests per queue, as of the last [`Self::dispatch_waiting`].
    queue_lengths: collections::HashMap<QueueKey, u32>,
    /// The attempts sent per second for each queue.
    send_rates: meter::Meter<QueueKey>,
    /// The number of attempts sent since the start.
    dispatches: u64,
    contention: contention::Contention,
    last_queue_check: clock::Instant,
    lateness: lateness::Lateness,
    allowances: collections::HashMap<name::Name, allowance::Allowance>,
    budgets: collections::HashMap<name::Name, retry::Budget>,
    connections: connection::Connections,
    /// The requests that wait for tokens of their workspace, in order of arrival.
    token_waiters: collections::VecDeque<TokenWaiter>,
    /// When the coordinator last denied tokens, by workspace.
    denials: collections::HashMap<name::Name, clock::Instant>,
    report_count: u64,
    host_count: usize,
    /// The last view of the coordinator and when it was received.
    view: Option<(clock::Instant, view::View)>,
    /// The tokens requested and the requests since the last report, by service, model and adapter.
    demands: collections::HashMap<DemandKey, (u64, traffic::Traffic)>,
    /// The tokens requested since the last report, by workspace.
    token_usage: collections::HashMap<name::Name, u64>,
    last_report: clock::Instant,
    quarantine: quarantine::Registry,
    /// The upstreams from which responses broke off, until it is known whether they crashed.
    breakages: collections::BTreeMap<name::Name, crash::Breakage>,
    origins: origin::Origins,
    /// Decides which callers are asked to connect anew.
    balance: balance::Reducer,
    /// The stop of the process, once it has begun.
    stop: Option<stop::Stop>,
    /// How long requests take.
    durations: stop::Durations,
    /// The expected work of requests and the remaining work of upstreams.
    tracker: work::Tracker,
}

impl Reducer {
    /// Returns the reducer of the entry host `host` in the availability zone `zone`.
    #[must_use]
    pub fn new(host: name::Name, zone: name::Name, options: options::Options) -> Self {
        let balance = balance::Reducer::new(host.clone(), zone.clone(), options.balance.clone());
        Self {
            host,
            zone,
            options,
            balance,
            config: None,
            confirmed: None,
            store_failed: false,
            store_regained: None,
            restoration: restoration::Restoration::default(),
            departures: departure::Departures::default(),
            pauses: pause::Pauses::default(),
            cold: cold_start::State::default(),
            evacuated: evacuation::Set::default(),
            upstreams: upstream::Table::new(),
            requests: collections::HashMap::new(),
            waiting: collections::BTreeSet::new(),
            queue_lengths: collections::HashMap::new(),
            send_rates: meter::Meter::default(),
            dispatches: 0,
            contention: contention::Contention::default(),
            last_queue_check: clock::Instant::default(),
            lateness: lateness::Lateness::default(),
            allowances: collections::HashMap::new(),
            budgets: collections::HashMap::new(),
            connections: connection::Connections::default(),
            token_waiters: collections::VecDeque::new(),
            denials: collections::HashMap::new(),
            report_count: 0,
            host_count: 1,
            view: None,
            demands: collections::HashMap::new(),
            token_usage: collections::HashMap::new(),
            last_report: clock::Instant::default(),
            quarantine: quarantine::Registry::default(),
            breakages: collections::BTreeMap::new(),
            origins: origin::Origins::default(),
            stop: None,
            durations: stop::Durations::default(),
            tracker: work::Tracker::default(),
        }
    }

    /// Returns the current configuration; none until one has been received.
    #[must_use]
    pub fn config(&self) -> Option<&config::Config> {
        self.config.as_ref()
    }

    /// Returns the known upstreams, including removed ones with requests in progress.
    pub fn upstreams(&self) -> impl Iterator<Item = &upstream::Upstream> {
        self.upstreams.values()
    }

    /// Returns the number of requests without a complete response, and how many of them wait for an upstream.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.requests.len(), self.waiting.len())
    }

    /// Returns the smallest number of retries left over all services; none before the first request.
    #[must_use]
    pub fn retries_left(&self, now: clock::Instant) -> Option<u64> {
        let budgets = self.budgets.values();
        budgets.map(|budget| budget.remaining(now)).min()
    }

    /// Returns the tokens that each workspace may use at once without a grant of the coordinator; negative after a
    /// large request.
    pub fn allowances(&mut self, now: clock::Instant) -> impl Iterator<Item = (&name::Name, f64)> {
        let allowances = self.allowances.iter_mut();
        allowances.map(move |(name, allowance)| (name, allowance.level(now)))
    }

    /// Returns the time since the configuration was last confirmed as current.
    #[must_use]
    pub fn config_age(&self, now: clock::Instant) -> Option<time::Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Returns a selector over the upstreams of `service`, whose name is `name`.
    fn selector<'a>(
        &'a self,
        now: clock::Instant,
        name: &name::Name,
        service: &'a config::Service,
    ) -> selection::Selector<'a> {
        selection::Selector {
            now,
            zone: &self.zone,
            service,
            removal_grace: self.options.removal_grace,
            policy: self.options.policy,
            sequence: self.dispatches,
            max_silence: None,
            unrecorded: self.origins.unrecorded(now, name),
            yielding: None,
            knowledge: self.knowledge(),
        }
    }

    fn knowledge(&self) -> expected::Knowledge<'_> {
        expected::Knowledge {
            tracker: &self.tracker,
            host: &self.host,
            hosts: self.host_count,
        }
    }

    /// Returns the version of the configuration, or 0 when there is none.
    fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, config::Config::version)
    }

    /// Returns [`Self::config_age`] as a log field.
    fn config_age_field(&self, now: clock::Instant) -> Option<timeline::Value> {
        self.config_age(now).map(timeline::Value::millis)
    }

    /// Returns whether this host has a configuration that is recent enough to serve callers.
    #[must_use]
    pub fn is_ready(&self, now: clock::Instant) -> bool {
        self.config.is_some() && self.is_current(now, self.options.max_config_age)
    }

    /// Returns why the caller of `connection` is to connect anew, so that another host serves it; none if it is not. A host
    /// that is stopping closes all connections anyway.
    #[must_use]
    pub fn relocation(
        &self,
        now: clock::Instant,
        connection: balance::Connection,
    ) -> Option<balance::Relocation> {
        let is_stopping = self.stop.is_some();
        (!is_stopping)
            .then(|| self.balance.relocation(now, connection))
            .flatten()
    }

    /// Applies an event and returns the effects to carry out.
    pub fn step(&mut self, now: clock::Instant, event: event::Event) -> Vec<effect::Effect> {
        let mut effects = Vec::new();
        match event {
            event::Event::Arrived(id, request) => {
                self.balance.record_request(now);
                self.handle_arrival(now, id, *request, &mut effects)
            }
            event::Event::CallerDisconnected(id) => self.handle_disconnect(now, id, &mut effects),
            event::Event::Responded(id, attempt, response) => {
                self.handle_response(now, id, attempt, response, &mut effects);
            }
            event::Event::StreamProgress(id, attempt, last_event) => {
                self.handle_progress(now, id, attempt, last_event, &mut effects)
            }
            event::Event::CallerBlocked(id) => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.is_caller_blocked = true;
                }
            }
            event::Event::StreamEnded(id, attempt) => {
                self.handle_stream_end(now, id, attempt, &mut effects)
            }
            event::Event::AttemptConnecting(id, attempt) => self.record_connecting(id, attempt),
            event::Event::AttemptSent(id, attempt) => {
                self.record_connection(id, attempt);
                self.record_departure(now, id, attempt, &mut effects);
            }
            event::Event::AttemptFailed {
                request,
                attempt,
                failure,
            } => self.handle_failure(now, request, attempt, failure, &mut effects),
            event::Event::StoreRead {
                era,
                required_version,
            } => self.record_store_read(now, era, required_version, &mut effects),
            event::Event::RestorationSettled(era) => self.record_settlement(now, era, &mut effects),
            event::Event::ConfigStored { version, revision } => {
                self.restoration.record_config(version, revision);
            }
            event::Event::Configured(config) => self.configure(now, *config, &mut effects),
            event::Event::ConfigConfirmed(sent) => self.confirm(now, sent, &mut effects),
            event::Event::StoreFailed => self.store_failed = true,
            event::Event::UpstreamUpdated(registration) => {
                self.update_upstream(now, *registration, &mut effects)
            }
            event::Event::UpstreamLeaving { upstream, started } => {
                self.record_leaving(now, &upstream, started, &mut effects);
            }
            event::Event::UpstreamCold {
                upstream,
                started,
                remaining,
            } => self.record_cold(now, &upstream, started, remaining, &mut effects),
            event::Event::ZoneEvacuated(zone) => self.evacuate(now, zone, &mut effects),
            event::Event::EvacuationEnded(zone) => self.end_evacuation(now, &zone, &mut effects),
            event::Event::UpstreamRemoved(id) => self.remove_upstream(now, &id, &mut effects),
            event::Event::UpstreamProbed { upstream, probe } => {
                self.handle_probe(now, &upstream, probe, &mut effects);
            }
            event::Event::CrashReported(crash) => self.apply_crash(now, *crash, &mut effects),
            event::Event::ViewReceived(view) => self.update_view(now, *view, &mut effects),
            event::Event::StreamsRead(records) => {
                self.handle_streams(now, records.as_deref(), &mut effects);
            }
            event::Event::VersionsStored(origins) => {
                self.record_stored_versions(now, origins, &mut effects);
            }
            event::Event::HostsChanged(hosts) => self.set_hosts(now, hosts),
            event::Event::HostChanged(change) => {
                self.connections.record_host(now, &change);
                let confirmed = self.confirmed.unwrap_or(now);
                self.balance.step(now, confirmed, change);
            }
            event::Event::Stopping(deadline) => {
                let began = now;
                self.stop = Some(stop::Stop { began, deadline });
            }
            event::Event::Tick => self.tick(now, &mut effects),
            event::Event::LimitsDue => self.refuse_expired(now, &mut effects),
        }
        effects
    }

    fn is_current(&self, now: clock::Instant, max_age: time::Duration) -> bool {
        self.confirmed
            .is_some_and(|confirmed| now.since(confirmed) <= max_age)
    }
}

/// Returns a refusal of a request that has not run.
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
