use std::collections;
use std::net;
use std::sync;
use std::time;

use carawaycleat_net as http;

use super::collector;
use super::plan;
use crate::engine;
use crate::handle;
use crate::service;
use crate::store;

const ANSWER_WITHIN: time::Duration = time::Duration::from_secs(5);
const MAX_BYTES: usize = 256 << 20;
// A model stays loaded for longer than this, so that few loads are missed between two reads.
const ENGINE_PERIOD: time::Duration = time::Duration::from_millis(500);

/// What the stand-ins have counted during a run; none where no stand-in was given or one did not answer.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize)]
pub struct Observed {
    /// The executions of this run's requests at the services.
    pub executions: Option<u64>,
    /// The requests that were executed more than once.
    pub doubled: Option<Vec<String>>,
    /// The requests that were executed although each answer said `not_run`.
    pub executed_though_not_run: Option<Vec<String>>,
    /// The executed requests that still had an `Authorization` header.
    pub with_authorization: Option<u64>,
    /// The calls of the store a second, refused ones included.
    pub store_calls_per_second: Option<f64>,
    /// The calls of the store a second that may write.
    pub store_writes_per_second: Option<f64>,
    /// The orders that the engines accepted.
    pub engine_orders: Option<u64>,
    /// The models that appeared in an engine's memory; a load and unload between two reads is not seen.
    pub model_loads: Option<u64>,
}

/// Reads the counts of stand-ins.
#[derive(Clone, Debug)]
pub(super) struct Observer {
    plan: sync::Arc<plan::Plan>,
    pool: http::Pool,
}

/// The counts at one time.
#[derive(Debug)]
pub(super) struct Counts {
    at: time::Instant,
    store: Option<store::Counts>,
    engines: Option<Vec<engine::Report>>,
}

/// The model loads seen so far.
#[derive(Debug, Default)]
pub(super) struct Loads {
    last: Option<Vec<collections::BTreeSet<String>>>,
    count: u64,
}

impl Loads {
    fn take(&mut self, engines: &[engine::Report]) {
        let names =
            |report: &engine::Report| report.models.iter().map(|m| m.name.clone()).collect();
        let now: Vec<collections::BTreeSet<_>> = engines.iter().map(names).collect();
        if let Some(last) = &self.last {
            let new = now.iter().zip(last).map(|(now, last)| (now - last).len());
            self.count += new.sum::<usize>() as u64;
        }
        self.last = Some(now);
    }
}

impl Observer {
    pub(super) fn new(plan: sync::Arc<plan::Plan>) -> Self {
        let pool = http::Pool::default();
        Self { plan, pool }
    }

    async fn get<T: serde::de::DeserializeOwned>(
        &self,
        address: net::SocketAddr,
        path: &str,
    ) -> Option<T> {
        let request = http::Request::new("GET", path);
        let reply = self.pool.send(address, request, ANSWER_WITHIN).await.ok()?;
        let bytes = reply.bytes(MAX_BYTES).await.ok()?;
        serde_json::from_slice(&bytes).ok()
    }

    async fn engines(&self) -> Option<Vec<engine::Report>> {
        let mut reports = Vec::new();
        for address in &self.plan.observe.engines {
            reports.push(self.get(*address, "/engine/state").await?);
        }
        (!reports.is_empty()).then_some(reports)
    }

    pub(super) async fn counts(&self) -> Counts {
        let store = match self.plan.observe.store {
            Some(address) => self.get(address, "/standin/counts").await,
            None => None,
        };
        Counts {
            at: time::Instant::now(),
            store,
            engines: self.engines().await,
        }
    }

    /// Watches the models of the engines until it is dropped.
    pub(super) async fn watch(&self, loads: &sync::Mutex<Loads>) {
        while !self.plan.observe.engines.is_empty() {
            if let Some(engines) = self.engines().await {
                lock(loads).take(&engines);
            }
            handle::pause(ENGINE_PERIOD).await;
        }
    }

    /// Returns what was counted since `before`.
    pub(super) async fn since(
        &self,
        before: Counts,
        loads: &sync::Mutex<Loads>,
        sent: &collections::BTreeMap<u64, collector::Sent>,
    ) -> Observed {
        let after = self.counts().await;
        let mut observed = Observed::default();
        if let (Some(before_store), Some(after_store)) = (&before.store, &after.store) {
            let seconds = after.at.duration_since(before.at).as_secs_f64();
            let rate = |before: u64, after: u64| {
                super::bucket::as_float(after.saturating_sub(before)) / seconds
            };
            let calls = |counts: &store::Counts| counts.calls.values().sum::<u64>();
            observed.store_calls_per_second = Some(rate(calls(before_store), calls(after_store)));
            observed.store_writes_per_second = Some(rate(before_store.writes, after_store.writes));
        }
        if let (Some(before), Some(after)) = (&before.engines, &after.engines) {
            let new = before.iter().zip(after).map(|(before, after)| {
                let known = match before.incarnation == after.incarnation {
                    true => before.orders.len(),
                    false => 0,
                };
                after.orders.len().saturating_sub(known) as u64
            });
            observed.engine_orders = Some(new.sum());
            let mut loads = lock(loads);
            loads.take(after);
            observed.model_loads = Some(loads.count);
        }
        self.executions(sent, &mut observed).await;
        observed
    }

    async fn executions(
        &self,
        sent: &collections::BTreeMap<u64, collector::Sent>,
        observed: &mut Observed,
    ) {
        if self.plan.observe.services.is_empty() {
            return;
        }
        let mut counts = collections::BTreeMap::<_, u64>::new();
        let mut with_authorization = 0;
        let own: collections::BTreeSet<_> = sent.values().map(|sent| sent.id.as_str()).collect();
        for address in &self.plan.observe.services {
            let read = self.get::<Vec<service::Execution>>(*address, "/standin/executions");
            let Some(executions) = read.await else {
                return;
            };
            for execution in executions {
                let id = execution.idempotency_key.or_else(|| id(&execution.body));
                let Some(id) = id.filter(|id| own.contains(id.as_str())) else {
                    continue;
                };
                *counts.entry(id).or_default() += 1;
                with_authorization += u64::from(execution.authorization);
            }
        }
        let doubled = counts.iter().filter(|(_, count)| **count > 1);
        observed.doubled = Some(doubled.map(|(id, _)| id.clone()).collect());
        let not_run = sent.values().filter(|sent| sent.not_run);
        let not_run = not_run.filter(|sent| counts.contains_key(&sent.id));
        observed.executed_though_not_run = Some(not_run.map(|sent| sent.id.clone()).collect());
        observed.with_authorization = Some(with_authorization);
        observed.executions = Some(counts.values().sum());
    }
}

#[derive(serde::Deserialize)]
struct Body {
    id: String,
}

fn id(body: &str) -> Option<String> {
    serde_json::from_str(body).ok().map(|body: Body| body.id)
}

pub(super) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
