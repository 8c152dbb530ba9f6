use std::collections;
use std::sync;
use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::entry;
use carawaycleat_core::freshness;
use carawaycleat_core::membership;
use carawaycleat_core::name;
use carawaycleat_core::placement;
use carawaycleat_core::rate;
use carawaycleat_core::request;
use carawaycleat_core::timeline;
use carawaycleat_net as net;
use carawaycleat_store as store;
use carawaycleat_wire as wire;

use super::claims;
use super::mailbox;
use super::planning;
use super::roster;
use crate::journal;
use crate::metric;
use crate::settings;
use crate::tasks;

/// The time without a response after which a peer no longer counts as live; four exchange intervals.
const LIVENESS_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The state that all tasks of an entry host share.
#[derive(Debug)]
pub(super) struct Context {
    pub(super) settings: settings::Entry,
    pub(super) policy: super::Policy,
    pub(super) tasks: tasks::Tasks,
    pub(super) pool: net::Pool,
    pub(super) store: store::Client,
    pub(super) metric: metric::Entry,
    pub(super) member: wire::Member,
    /// The handle of the server for callers, set when the server has started.
    pub(super) callers: sync::OnceLock<net::Handle>,
    /// Closed when the reducer allows the process to exit.
    pub(super) exit_receiver: async_channel::Receiver<()>,
    pub(super) exit_sender: async_channel::Sender<()>,
    clock: journal::Monotonic,
    reducer: sync::Mutex<entry::Reducer>,
    mailboxes: sync::Mutex<collections::HashMap<request::Id, mailbox::Sender>>,
    journal: journal::Journal,
    observations: sync::Mutex<planning::Observations>,
    /// The time of the last response of each peer to an exchange.
    last_contacts: sync::Mutex<collections::HashMap<name::Name, clock::Instant>>,
    pub(super) claims: claims::Claims,
    /// Whether the process is shutting down; the load balancer then sees it as not ready.
    draining: sync::atomic::AtomicBool,
}

impl Context {
    pub(super) fn new(
        settings: settings::Entry,
        policy: super::Policy,
        executor: sync::Arc<net::Executor>,
        peer_address: std::net::SocketAddr,
    ) -> Self {
        let incarnation = journal::wall_ms();
        let owner = rate::Owner {
            host: settings.host.clone(),
            address: peer_address,
            incarnation,
        };
        let reducer = entry::Reducer::new(
            owner,
            settings.availability_zone.clone(),
            reducer_options(&settings, policy.options),
        );
        let pool = net::Pool::default();
        let timeout = time::Duration::from_millis(settings.store.timeout_ms);
        let (exit_sender, exit_receiver) = async_channel::bounded(1);
        Self {
            tasks: tasks::Tasks::new(executor),
            policy,
            store: store::Client::new(pool.clone(), &settings.store.endpoints, timeout),
            pool,
            metric: metric::Entry::new(),
            member: wire::Member {
                host: settings.host.clone(),
                peer_address,
                availability_zone: settings.availability_zone.clone(),
                incarnation,
                leaving: false,
            },
            callers: sync::OnceLock::new(),
            exit_receiver,
            exit_sender,
            clock: journal::Monotonic::start(),
            reducer: sync::Mutex::new(reducer),
            mailboxes: sync::Mutex::default(),
            journal: journal::Journal::new(settings.host.clone(), settings.timeline.events),
            observations: sync::Mutex::default(),
            last_contacts: sync::Mutex::default(),
            claims: claims::Claims::default(),
            draining: sync::atomic::AtomicBool::new(false),
            settings,
        }
    }

    /// Returns the current time of the monotonic clock of the process.
    pub(super) fn now(&self) -> clock::Instant {
        self.clock.now()
    }

    /// Passes an event to the reducer and performs its effects. Returns whether the content that came with the event is
    /// to be delivered to the caller of `request`.
    pub(super) fn step_for(
        self: &sync::Arc<Self>,
        request: Option<request::Id>,
        event: entry::Event,
    ) -> bool {
        let mut is_delivered = false;
        // The lock is held until the effects are handed over, so that a task receives them in the order of the events.
        let mut reducer = journal::lock(&self.reducer);
        let effects = reducer.step(self.now(), event);
        self.update_workspaces(&reducer, &effects);
        for effect in effects {
            match effect {
                entry::Effect::Deliver(id) if Some(id) == request => is_delivered = true,
                effect => self.perform(effect),
            }
        }
        is_delivered
    }

    /// Updates the workspaces of the metrics when a new configuration has been applied.
    fn update_workspaces(&self, reducer: &entry::Reducer, effects: &[entry::Effect]) {
        let is_applied = |effect: &entry::Effect| match effect {
            entry::Effect::Record(record) => record.kind == timeline::Kind::ConfigurationApplied,
            _ => false,
        };
        if effects.iter().any(is_applied) {
            let rates = reducer.configuration().snapshot().rates();
            self.metric
                .set_workspaces(rates.map(|(_, rate)| &rate.workspace));
        }
    }

    /// Updates the gauges from the state of the reducer and the server.
    pub(super) fn update_gauges(&self) {
        let status = self.with_reducer(|reducer, now| reducer.status(now));
        let metric = &self.metric;
        let to_gauge = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        metric
            .configuration_revision
            .set(i64::try_from(status.revision).unwrap_or(i64::MAX));
        metric.shards_held.set(status.shards_held.into());
        metric.in_flight.set(to_gauge(status.running));
        let queued = status.queued;
        metric.set_queue(queued.live, queued.short, queued.batch);
        if let Some(age) = status.store_age_ms {
            metric.store_contact_age.set(age as f64 / 1_000.0);
        }
        metric.set_freshness(match status.freshness {
            freshness::State::Fresh => "fresh",
            freshness::State::Asking => "asking",
            freshness::State::Outage => "outage",
            freshness::State::Isolated => "isolated",
        });
        if let Some(callers) = self.callers.get() {
            metric.set_server_counts(&callers.counts());
        }
    }

    /// Passes an event to the reducer and performs its effects.
    pub(super) fn step(self: &sync::Arc<Self>, event: entry::Event) {
        self.step_for(None, event);
    }

    /// Calls `read` with the reducer and the current time, under the lock of the reducer.
    pub(super) fn with_reducer<T>(
        &self,
        read: impl FnOnce(&mut entry::Reducer, clock::Instant) -> T,
    ) -> T {
        let mut reducer = journal::lock(&self.reducer);
        read(&mut reducer, self.now())
    }

    /// Calls `read` with the reducer, the observations for the placement and the current time.
    pub(super) fn with_observations<T>(
        &self,
        read: impl FnOnce(&entry::Reducer, &planning::Observations, clock::Instant) -> T,
    ) -> T {
        let observations = journal::lock(&self.observations);
        self.with_reducer(|reducer, now| read(reducer, &observations, now))
    }

    /// Records that a peer has responded to an exchange.
    pub(super) fn record_contact(&self, host: &name::Name) {
        let now = self.now();
        journal::lock(&self.last_contacts).insert(host.clone(), now);
    }

    /// Returns whether a peer has not responded for `timeout`. For a peer that never responded, the time runs from the
    /// first call.
    pub(super) fn is_silent(&self, host: &name::Name, timeout: time::Duration) -> bool {
        let now = self.now();
        let mut last_contacts = journal::lock(&self.last_contacts);
        let last_contact = *last_contacts.entry(host.clone()).or_insert(now);
        now.since(last_contact) >= timeout
    }

    /// Returns whether this host watches the store itself instead of receiving changes from its peers.
    pub(super) fn is_watcher(&self) -> bool {
        let members = self.with_reducer(|reducer, _| roster::members(reducer.configuration()));
        let live = members.into_iter().map(|member| member.host);
        let live =
            live.filter(|host| host == self.host() || !self.is_silent(host, LIVENESS_TIMEOUT));
        let mut live: Vec<_> = live.collect();
        // A host that is not yet in the roster needs the store to register.
        if !live.contains(self.host()) {
            return true;
        }
        live.sort();
        membership::watchers(&live).contains(self.host())
    }

    /// Records the report of a sidecar for the placement.
    pub(super) fn record_report(&self, report: &wire::Report) {
        let now = self.now();
        journal::lock(&self.observations).record_report(now, report);
    }

    /// Adds the tokens that a request needs of a model or adapter to the demand of this host.
    pub(super) fn count_demand(&self, subject: &placement::Subject, tokens: u64) {
        let now = self.now();
        journal::lock(&self.observations).count_demand(now, subject, tokens);
    }

    /// Returns up to `count` entries of the demand of this host, beginning with the entry at `from`.
    pub(super) fn demand_page(&self, from: usize, count: usize) -> Vec<wire::Demand> {
        let now = self.now();
        journal::lock(&self.observations).demand_page(now, from, count)
    }

    /// Records the demand of a peer for the placement.
    pub(super) fn record_peer_demand(&self, digest: &wire::Digest) {
        let now = self.now();
        journal::lock(&self.observations).record_peer_demand(now, digest);
    }

    /// Debits the tokens that a peer requests and returns the number of tokens lent.
    pub(super) fn lend(self: &sync::Arc<Self>, id: u128, event: entry::Event) -> u64 {
        let mut lent = 0;
        let mut reducer = journal::lock(&self.reducer);
        for effect in reducer.step(self.now(), event) {
            match effect {
                entry::Effect::Lend {
                    transfer, tokens, ..
                } if transfer == id => lent = tokens,
                effect => self.perform(effect),
            }
        }
        lent
    }

    /// Creates the mailbox of a request.
    pub(super) fn open_mailbox(&self, id: request::Id) -> mailbox::Receiver {
        let (sender, receiver) = async_channel::unbounded();
        journal::lock(&self.mailboxes).insert(id, sender);
        receiver
    }

    pub(super) fn close_mailbox(&self, id: request::Id) {
        journal::lock(&self.mailboxes).remove(&id);
    }

    /// Returns the requests that have not ended.
    pub(super) fn open_requests(&self) -> Vec<request::Id> {
        journal::lock(&self.mailboxes).keys().copied().collect()
    }

    pub(super) fn send(&self, id: request::Id, message: mailbox::Message) {
        if let Some(sender) = journal::lock(&self.mailboxes).get(&id) {
            // The task may have ended in the meantime; it reports its end by an event of its own.
            let _ = sender.try_send(message);
        }
    }

    /// Records an event in the timeline.
    pub(super) fn record(&self, record: entry::Record) {
        self.journal.record(record);
        self.metric
            .set_timeline_dropped(self.journal.dropped_events());
    }

    /// Returns a logical timestamp for a message.
    pub(super) fn stamp(&self) -> clock::Stamp {
        self.journal.stamp()
    }

    /// Merges the timestamp of a received message into the logical clock, so that later events here are ordered after
    /// it.
    pub(super) fn receive(&self, stamp: &clock::Stamp) {
        self.journal.receive(stamp);
    }

    /// Returns a response with the events of the timeline that match the query.
    pub(super) fn timeline(&self, query: &str) -> net::Response {
        self.journal.respond(query)
    }

    pub(super) fn start_draining(&self) {
        self.draining.store(true, sync::atomic::Ordering::Relaxed);
    }

    /// Returns whether the load balancer should send requests here.
    pub(super) fn is_ready(&self) -> bool {
        let is_draining = self.draining.load(sync::atomic::Ordering::Relaxed);
        !is_draining && self.with_reducer(|reducer, _| reducer.is_ready())
    }

    /// Returns whether the process is shutting down.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(sync::atomic::Ordering::Relaxed)
    }

    /// Runs a task in the background until it ends or the daemon stops.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(task);
    }

    pub(super) fn host(&self) -> &name::Name {
        &self.settings.host
    }
}

fn reducer_options(settings: &settings::Entry, mut options: entry::Options) -> entry::Options {
    options.admission.max_requests = settings.limits.queue_requests;
    options.admission.max_bytes = settings.limits.queue_bytes;
    options.shards = settings.rates.shards;
    options.shard_validity = time::Duration::from_secs(settings.rates.validity_s);
    options
}
