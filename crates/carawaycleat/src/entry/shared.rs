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
use super::members;
use super::placing;
use crate::journal;
use crate::metric;
use crate::settings;
use crate::tasks;

/// The silence up to which a peer counts as live; four exchanges.
const LIVE_FOR: time::Duration = time::Duration::from_secs(2);

/// What all tasks of an entry host share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) settings: settings::Entry,
    pub(super) policy: super::Policy,
    pub(super) tasks: tasks::Tasks,
    pub(super) pool: net::Pool,
    pub(super) store: store::Client,
    pub(super) metric: metric::Entry,
    pub(super) member: wire::Member,
    /// The callers' server, once it runs.
    pub(super) callers: sync::OnceLock<net::Handle>,
    /// Closed when the reducer says that the process can exit.
    pub(super) exit: async_channel::Receiver<()>,
    pub(super) exiting: async_channel::Sender<()>,
    clock: journal::Monotonic,
    reducer: sync::Mutex<entry::Reducer>,
    mailboxes: sync::Mutex<collections::HashMap<request::Id, mailbox::Sender>>,
    journal: journal::Journal,
    observations: sync::Mutex<placing::Observations>,
    /// When each peer last answered an exchange.
    heard: sync::Mutex<collections::HashMap<name::Name, clock::Instant>>,
    pub(super) claims: claims::Claims,
    /// Whether the process is about to stop, which the load balancer sees as not ready.
    draining: sync::atomic::AtomicBool,
}

impl Shared {
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
            options(&settings, policy.options),
        );
        let pool = net::Pool::default();
        let timeout = time::Duration::from_millis(settings.store.timeout_ms);
        let (exiting, exit) = async_channel::bounded(1);
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
            exit,
            exiting,
            clock: journal::Monotonic::start(),
            reducer: sync::Mutex::new(reducer),
            mailboxes: sync::Mutex::default(),
            journal: journal::Journal::new(settings.host.clone(), settings.timeline.events),
            observations: sync::Mutex::default(),
            heard: sync::Mutex::default(),
            claims: claims::Claims::default(),
            draining: sync::atomic::AtomicBool::new(false),
            settings,
        }
    }

    /// Returns the present time on the process's monotonic clock.
    pub(super) fn now(&self) -> clock::Instant {
        self.clock.now()
    }

    /// Gives the reducer an event and performs its effects. Returns whether the caller of `request` gets what the event
    /// brought.
    pub(super) fn step_for(
        self: &sync::Arc<Self>,
        request: Option<request::Id>,
        event: entry::Event,
    ) -> bool {
        let mut is_delivered = false;
        // The lock is held while the effects are handed over, so that two events never cross on the way to one task.
        let mut reducer = journal::lock(&self.reducer);
        let effects = reducer.step(self.now(), event);
        self.configure(&reducer, &effects);
        for effect in effects {
            match effect {
                entry::Effect::Deliver(id) if Some(id) == request => is_delivered = true,
                effect => self.perform(effect),
            }
        }
        is_delivered
    }

    /// Tells the metrics the configured workspaces when the configuration has changed.
    fn configure(&self, reducer: &entry::Reducer, effects: &[entry::Effect]) {
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

    /// Brings the gauges up to date.
    pub(super) fn update_gauges(&self) {
        let status = self.with(|reducer, now| reducer.status(now));
        let metric = &self.metric;
        let gauge = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        metric
            .configuration_revision
            .set(i64::try_from(status.revision).unwrap_or(i64::MAX));
        metric.shards_held.set(status.shards_held.into());
        metric.in_flight.set(gauge(status.running));
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

    /// Gives the reducer an event and performs its effects.
    pub(super) fn step(self: &sync::Arc<Self>, event: entry::Event) {
        self.step_for(None, event);
    }

    /// Reads from the reducer.
    pub(super) fn with<T>(&self, read: impl FnOnce(&mut entry::Reducer, clock::Instant) -> T) -> T {
        let mut reducer = journal::lock(&self.reducer);
        read(&mut reducer, self.now())
    }

    /// Reads from the reducer and from what the sidecars reported.
    pub(super) fn with_observations<T>(
        &self,
        read: impl FnOnce(&entry::Reducer, &placing::Observations, clock::Instant) -> T,
    ) -> T {
        let observations = journal::lock(&self.observations);
        self.with(|reducer, now| read(reducer, &observations, now))
    }

    /// Notes that a peer has answered an exchange.
    pub(super) fn note_heard(&self, host: &name::Name) {
        let now = self.now();
        journal::lock(&self.heard).insert(host.clone(), now);
    }

    /// Returns whether a peer has not answered for `span`. The count begins with the first call for a peer that was
    /// never heard.
    pub(super) fn is_silent(&self, host: &name::Name, span: time::Duration) -> bool {
        let now = self.now();
        let mut heard = journal::lock(&self.heard);
        let last = *heard.entry(host.clone()).or_insert(now);
        now.since(last) >= span
    }

    /// Returns whether this host watches the store, and does not hear from other hosts what has changed.
    pub(super) fn is_watcher(&self) -> bool {
        let members = self.with(|reducer, _| members::of(reducer.configuration()));
        let live = members.into_iter().map(|member| member.host);
        let live = live.filter(|host| host == self.host() || !self.is_silent(host, LIVE_FOR));
        let mut live: Vec<_> = live.collect();
        // A host that is not in the roster yet needs the store to enter it.
        if !live.contains(self.host()) {
            return true;
        }
        live.sort();
        membership::watchers(&live).contains(self.host())
    }

    /// Takes a report for the placement.
    pub(super) fn observe(&self, report: &wire::Report) {
        let now = self.now();
        journal::lock(&self.observations).observe(now, report);
    }

    /// Counts the tokens that a request asks of a model, for the placement.
    pub(super) fn ask(&self, subject: &placement::Subject, tokens: u64) {
        let now = self.now();
        journal::lock(&self.observations).ask(now, subject, tokens);
    }

    /// Returns a part of what callers asked this host for.
    pub(super) fn asked(&self, from: usize, count: usize) -> Vec<wire::Demand> {
        let now = self.now();
        journal::lock(&self.observations).asked(now, from, count)
    }

    /// Takes what callers asked a peer for, for the placement.
    pub(super) fn note_demand(&self, digest: &wire::Digest) {
        let now = self.now();
        journal::lock(&self.observations).hear(now, digest);
    }

    /// Debits what a peer asks for and returns the tokens that it gets.
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

    /// Makes the mailbox of a request.
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
            // The task may just have ended; its end is an event of its own.
            let _ = sender.try_send(message);
        }
    }

    /// Notes an event in the timeline.
    pub(super) fn note(&self, record: entry::Record) {
        self.journal.record(record);
        self.metric
            .set_timeline_dropped(self.journal.dropped_events());
    }

    /// Returns a stamp for a message.
    pub(super) fn stamp(&self) -> clock::Stamp {
        self.journal.stamp()
    }

    /// Takes the stamp of a message, so that its cause comes before what follows here.
    pub(super) fn receive(&self, stamp: &clock::Stamp) {
        self.journal.receive(stamp);
    }

    /// Answers with the events of the timeline that match the query.
    pub(super) fn timeline(&self, query: &str) -> net::Response {
        self.journal.respond(query)
    }

    pub(super) fn start_draining(&self) {
        self.draining.store(true, sync::atomic::Ordering::Relaxed);
    }

    /// Returns whether the load balancer should send requests here.
    pub(super) fn is_ready(&self) -> bool {
        let is_draining = self.draining.load(sync::atomic::Ordering::Relaxed);
        !is_draining && self.with(|reducer, _| reducer.is_ready())
    }

    /// Returns whether the process is about to stop.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(sync::atomic::Ordering::Relaxed)
    }

    /// Runs a task beside the others until it ends or the daemon has stopped.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(task);
    }

    pub(super) fn host(&self) -> &name::Name {
        &self.settings.host
    }
}

fn options(settings: &settings::Entry, mut options: entry::Options) -> entry::Options {
    options.admission.max_requests = settings.limits.queue_requests;
    options.admission.max_bytes = settings.limits.queue_bytes;
    options.shards = settings.rates.shards;
    options.shard_validity = time::Duration::from_secs(settings.rates.validity_s);
    options
}
