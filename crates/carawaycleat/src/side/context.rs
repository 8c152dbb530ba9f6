use std::collections;
use std::net as std_net;
use std::sync;
use std::sync::atomic;
use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::entry;
use carawaycleat_core::memory;
use carawaycleat_core::outcome;
use carawaycleat_core::request;
use carawaycleat_core::side;
use carawaycleat_core::timeline;
use carawaycleat_net as net;
use carawaycleat_wire as wire;

use super::orders;
use super::reports;
use crate::journal;
use crate::metric;
use crate::settings;
use crate::tasks;
use crate::upstream;

/// The state that all tasks of a sidecar share.
#[derive(Debug)]
pub(super) struct Context {
    pub(super) settings: settings::Side,
    pub(super) pool: net::Pool,
    pub(super) engine: upstream::Engine,
    pub(super) metric: metric::Side,
    /// Closed when the reducer reports that the process can exit.
    pub(super) exit: async_channel::Receiver<()>,
    exit_sender: async_channel::Sender<()>,
    pub(super) tasks: tasks::Tasks,
    clock: journal::Monotonic,
    is_stopping: atomic::AtomicBool,
    reducer: sync::Mutex<side::Reducer>,
    journal: journal::Journal,
    entry_hosts: sync::Mutex<EntryHosts>,
    /// The running jobs, each with the channel that is closed to cancel it.
    jobs: sync::Mutex<collections::HashMap<request::Id, async_channel::Sender<()>>>,
}

/// The entry hosts to report to.
#[derive(Debug)]
struct EntryHosts {
    /// The configuration revision of the addresses; 0 if they come from the settings.
    revision: u64,
    addresses: Vec<std_net::SocketAddr>,
}

impl Context {
    pub(super) fn new(settings: settings::Side, executor: sync::Arc<net::Executor>) -> Self {
        let clock = journal::Monotonic::start();
        let incarnation = journal::wall_ms();
        let options = memory::Options {
            max_order_delay: time::Duration::from_millis(settings.order_settle_ms),
            ..memory::Options::default()
        };
        let fencing = settings.engine.fencing;
        let reducer = side::Reducer::with_options(clock.now(), fencing, incarnation, options)
            .report_interval(time::Duration::from_millis(settings.report_ms))
            .max_jobs(settings.limits.requests);
        let pool = net::Pool::default();
        let (exit_sender, exit) = async_channel::bounded(1);
        Self {
            engine: upstream::Engine::new(pool.clone(), settings.engine.address),
            pool,
            metric: metric::Side::new(),
            exit,
            exit_sender,
            tasks: tasks::Tasks::new(executor),
            clock,
            is_stopping: atomic::AtomicBool::new(false),
            reducer: sync::Mutex::new(reducer),
            journal: journal::Journal::new(settings.host.clone(), settings.timeline.events),
            entry_hosts: sync::Mutex::new(EntryHosts {
                revision: 0,
                addresses: settings.entries.clone(),
            }),
            jobs: sync::Mutex::default(),
            settings,
        }
    }

    /// Passes an event to the reducer and performs the resulting effects.
    pub(super) fn step(self: &sync::Arc<Self>, event: side::Event) {
        let effects = journal::lock(&self.reducer).step(self.clock.now(), event);
        for effect in effects {
            self.perform(effect);
        }
    }

    /// Passes a new job to the reducer. Returns the reason and the outcome as an error if the job is refused.
    pub(super) fn admit(
        self: &sync::Arc<Self>,
        job: &wire::Job,
    ) -> Result<(), (outcome::Reason, outcome::Outcome)> {
        let mut reducer = journal::lock(&self.reducer);
        let item = job.model.as_ref().and_then(|model| {
            let mut usable = reducer.account().usable().map(|item| &item.id);
            usable
                .find(|id| id.model == *model && id.adapter == job.adapter)
                .cloned()
        });
        let event = side::Event::JobArrived(side::Job {
            sent_at: side::Timestamp {
                host: job.host.clone(),
                incarnation: job.incarnation,
                instant: clock::Instant::from_micros(job.sent_us),
            },
            id: job.id.as_u128(),
            item,
            idempotent: job.idempotent,
            claim: job.claim.clone(),
        });
        let effects = reducer.step(self.clock.now(), event);
        drop(reducer);
        let mut admission = Ok(());
        for effect in effects {
            match effect {
                side::Effect::RefuseJob(_, reason, outcome) => admission = Err((reason, outcome)),
                effect => self.perform(effect),
            }
        }
        match admission {
            Ok(()) => self.metric.jobs_accepted.inc(),
            Err((reason, _)) => self.metric.count_refusal(reason),
        }
        admission
    }

    fn perform(self: &sync::Arc<Self>, effect: side::Effect) {
        match effect {
            // The task that received the job starts or refuses it.
            side::Effect::StartJob(_) | side::Effect::RefuseJob(..) => {}
            side::Effect::SendOrder(order) => self.spawn(orders::send(self.clone(), order)),
            side::Effect::Report(report) => reports::send(self, &self.encode_report(report)),
            side::Effect::Record(change) => self.record_change(change),
            side::Effect::Order(change) => self.record_order(&change),
            side::Effect::Exit => {
                self.exit_sender.close();
            }
        }
    }

    /// Records a change of state in the timeline and the log.
    fn record_change(&self, change: side::Change) {
        let (kind, detail) = describe(change);
        crate::log::info(&format!("{kind}: {detail}"));
        let record = entry::Record::new(kind).upstream(self.settings.upstream.clone());
        self.journal.record(record.detail(detail));
        self.metric
            .set_timeline_dropped(self.journal.dropped_events());
    }

    /// Counts a transition of an order and records it in the timeline.
    fn record_order(&self, change: &memory::Change) {
        self.metric.count_order(change.kind(), change.transition);
        let kind = match change.transition {
            memory::Transition::Sent | memory::Transition::Resent => timeline::Kind::OrderSent,
            _ => timeline::Kind::OrderSettled,
        };
        let mut record = entry::Record::new(kind).upstream(self.settings.upstream.clone());
        record.model = Some(change.id.model.clone());
        let adapter = change.id.adapter.as_deref().unwrap_or_default();
        let detail = format!("{} {adapter} {}", change.kind(), change.transition.as_str());
        self.journal
            .record(record.detail(detail.replace("  ", " ")));
        self.metric
            .set_timeline_dropped(self.journal.dropped_events());
    }

    /// Records an event of a job in the timeline.
    pub(super) fn record_job(&self, kind: timeline::Kind, job: &wire::Job, detail: &str) {
        let mut record = entry::Record::new(kind).upstream(self.settings.upstream.clone());
        record.request = Some(request::Id::from_u128(job.request.as_u128()));
        record.workspace.clone_from(&job.workspace);
        record.model.clone_from(&job.model);
        self.journal.record(record.detail(detail));
        self.metric
            .set_timeline_dropped(self.journal.dropped_events());
    }

    /// Updates the gauges from a report and returns the message for the entry hosts.
    fn encode_report(&self, report: side::Report) -> wire::Report {
        let gauge = |bytes: u64| i64::try_from(bytes).unwrap_or(i64::MAX);
        self.metric.in_flight.set(gauge(report.in_flight as u64));
        self.metric
            .memory_committed
            .set(gauge(report.committed_bytes));
        self.metric.memory_total.set(gauge(report.total_bytes));
        self.metric.engine_reachable.set(report.reachable.into());
        // Items that the plan no longer contains are left out, because they take no new requests.
        let resident = report
            .resident
            .into_iter()
            .filter(|residence| !residence.draining);
        let resident = resident.map(|residence| wire::Residence {
            model: residence.item.id.model,
            version: residence.item.id.version,
            adapter: residence.item.id.adapter,
            answered: residence.answered,
        });
        wire::Report {
            stamp: self.journal.stamp(),
            upstream: self.settings.upstream.clone(),
            incarnation: report.incarnation,
            sequence: report.sequence,
            leaving: report.leaving,
            reachable: report.reachable,
            resident: resident.collect(),
            account: wire::Account {
                total: report.total_bytes,
                committed: report.committed_bytes,
            },
            in_flight: u32::try_from(report.in_flight).unwrap_or(u32::MAX),
            waiting: report.waiting,
            capacity: u32::try_from(self.settings.engine.max_requests).unwrap_or(u32::MAX),
            tokens: report.tokens,
            plan_revision: report.plan_revision,
        }
    }

    /// Returns the entry hosts to report to.
    pub(super) fn entry_hosts(&self) -> Vec<std_net::SocketAddr> {
        journal::lock(&self.entry_hosts).addresses.clone()
    }

    /// Replaces the entry hosts by those of a directive, unless its configuration revision is older.
    pub(super) fn set_entry_hosts(&self, revision: u64, addresses: Vec<std_net::SocketAddr>) {
        let mut entry_hosts = journal::lock(&self.entry_hosts);
        if revision >= entry_hosts.revision {
            *entry_hosts = EntryHosts {
                revision,
                addresses,
            };
        }
    }

    /// Registers a running job and returns the channel that is closed when the job is cancelled.
    pub(super) fn register_job(&self, id: request::Id) -> async_channel::Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        journal::lock(&self.jobs).insert(id, sender);
        receiver
    }

    pub(super) fn remove_job(&self, id: request::Id) {
        journal::lock(&self.jobs).remove(&id);
    }

    /// Returns the jobs that have not ended.
    pub(super) fn running_jobs(&self) -> Vec<request::Id> {
        journal::lock(&self.jobs).keys().copied().collect()
    }

    pub(super) fn cancel_job(&self, id: request::Id) {
        if let Some(sender) = journal::lock(&self.jobs).get(&id) {
            sender.close();
        }
    }

    pub(super) fn mark_stopping(&self) {
        self.is_stopping.store(true, atomic::Ordering::Relaxed);
    }

    pub(super) fn is_ready(&self) -> bool {
        !self.is_stopping.load(atomic::Ordering::Relaxed)
    }

    pub(super) fn stamp(&self) -> clock::Stamp {
        self.journal.stamp()
    }

    pub(super) fn receive_stamp(&self, stamp: &clock::Stamp) {
        self.journal.receive(stamp);
    }

    /// Returns a response with the timeline events that match the query.
    pub(super) fn timeline(&self, query: &str) -> net::Response {
        self.journal.respond(query)
    }

    /// Spawns a task that is cancelled when the daemon stops.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(task);
    }
}

fn describe(change: side::Change) -> (timeline::Kind, String) {
    let (kind, detail) = match change {
        side::Change::Plan(revision) => (
            timeline::Kind::PlanChanged,
            format!("plan at revision {revision}"),
        ),
        side::Change::Leaving(true) => (timeline::Kind::Leaving, "no new work".to_owned()),
        side::Change::Leaving(false) => (timeline::Kind::Leaving, "work again".to_owned()),
        side::Change::Reachable(true) => (
            timeline::Kind::StateChanged,
            "the upstream answers".to_owned(),
        ),
        side::Change::Reachable(false) => (
            timeline::Kind::StateChanged,
            "the upstream does not answer".to_owned(),
        ),
        side::Change::EngineRestart(incarnation) => (
            timeline::Kind::StateChanged,
            format!("engine restarted as {incarnation}"),
        ),
        side::Change::Ready => (
            timeline::Kind::StateChanged,
            "orders may be sent".to_owned(),
        ),
        side::Change::ShuttingDown => (timeline::Kind::Leaving, "shutting down".to_owned()),
    };
    (kind, detail)
}
