use std::sync;
use std::time;

use carawaycleat_net as http;

use super::arrival;
use super::caller;
use super::collector;
use super::observe;
use super::plan;
use super::progress;
use super::report;
use crate::handle;

const FAULT_WITHIN: time::Duration = time::Duration::from_secs(5);

/// Sends the requests of `plan`, and returns the report once all have ended. `print` gets a line each second.
///
/// # Errors
///
/// Returns an error when the plan has no entry host.
pub async fn run(
    executor: &sync::Arc<http::Executor>,
    plan: &plan::Plan,
    print: impl Fn(&str) + Send + Sync + 'static,
) -> super::Result<report::Report> {
    if plan.entries.is_empty() {
        return Err(super::Error::NoEntry);
    }
    let plan = sync::Arc::new(plan.clone());
    let observer = observe::Observer::new(plan.clone());
    let loads = sync::Arc::new(sync::Mutex::new(observe::Loads::default()));
    let before = observer.counts().await;
    let run = Run {
        executor: executor.clone(),
        collector: sync::Arc::new(sync::Mutex::new(collector::Collector::new(
            plan.workspaces.len(),
        ))),
        print: sync::Arc::new(print),
        plan,
    };
    // Dropping a task ends it.
    let watching = {
        let (observer, loads) = (observer.clone(), loads.clone());
        executor.spawn(async move { observer.watch(&loads).await })
    };
    let elapsed = run.send().await;
    drop(watching);
    let collector = std::mem::replace(
        &mut *observe::lock(&run.collector),
        collector::Collector::new(0),
    );
    let observed = observer.since(before, &loads, &collector.sent).await;
    Ok(report::Report::new(
        &run.plan, &collector, observed, elapsed,
    ))
}

struct Run<F> {
    executor: sync::Arc<http::Executor>,
    plan: sync::Arc<plan::Plan>,
    collector: sync::Arc<sync::Mutex<collector::Collector>>,
    print: sync::Arc<F>,
}

impl<F: Fn(&str) + Send + Sync + 'static> Run<F> {
    /// Sends all requests, and returns the time until the last has ended.
    async fn send(&self) -> time::Duration {
        let origin = time::Instant::now();
        let caller = caller::Caller::new(self.plan.clone(), origin, fastrand::u64(..));
        let progress = {
            let (plan, collector) = (self.plan.clone(), self.collector.clone());
            let print = self.print.clone();
            let report =
                async move { progress::report(&plan, &collector, |line| print(line)).await };
            self.executor.spawn(report)
        };
        let faults = {
            let (plan, print) = (self.plan.clone(), self.print.clone());
            let faults = async move { switch_faults(&plan, origin, |line| print(line)).await };
            self.executor.spawn(faults)
        };
        let mut tasks = Vec::new();
        for arrival in arrival::Arrivals::new(&self.plan) {
            let wait = arrival.at.saturating_sub(origin.elapsed());
            if !wait.is_zero() {
                handle::pause(wait).await;
            }
            observe::lock(&self.collector).started += 1;
            let caller = caller.clone();
            let (plan, collector) = (self.plan.clone(), self.collector.clone());
            let task = async move { serve(&plan, &caller, &collector, &arrival).await };
            tasks.push(self.executor.spawn(task));
        }
        // The run lasts as long as planned, even when the last arrivals are early.
        handle::pause(
            self.plan
                .real(self.plan.duration_s)
                .saturating_sub(origin.elapsed()),
        )
        .await;
        for task in tasks {
            task.await;
        }
        drop((progress, faults));
        origin.elapsed()
    }
}

async fn serve(
    plan: &plan::Plan,
    caller: &caller::Caller,
    collector: &sync::Mutex<collector::Collector>,
    arrival: &arrival::Arrival,
) {
    let entries = plan.entries.len() as u64;
    let place = match plan.entry_choice {
        plan::Choice::InTurn => arrival.number,
        plan::Choice::PerWorkspace => arrival.workspace as u64,
    };
    let entry = |place: u64| plan.entries[usize::try_from(place % entries).unwrap_or(0)];
    let first = async {
        let seen = caller.send(entry(place), arrival).await;
        observe::lock(collector).take(arrival, seen, false);
    };
    let arrival::Job::Booking {
        booking,
        repeated: true,
        ..
    } = arrival.job
    else {
        return first.await;
    };
    let booking = &plan.workspaces[arrival.workspace].bookings[booking];
    let second = async {
        handle::pause(time::Duration::from_millis(booking.repeat_after_ms.into())).await;
        let seen = caller.send(entry(place + 1), arrival).await;
        observe::lock(collector).take(arrival, seen, true);
    };
    futures_lite::future::zip(first, second).await;
}

async fn switch_faults(plan: &plan::Plan, origin: time::Instant, print: impl Fn(&str)) {
    let pool = http::Pool::default();
    let mut faults: Vec<_> = plan.faults.iter().collect();
    faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    for fault in faults {
        handle::pause(plan.real(fault.at_s).saturating_sub(origin.elapsed())).await;
        let body = serde_json::to_vec(&fault.body).unwrap_or_default();
        let request = http::Request::new("POST", &fault.path).body(body);
        let (address, path) = (fault.address, &fault.path);
        let line = match pool.send(address, request, FAULT_WITHIN).await {
            Ok(reply) if reply.status < 300 => format!("fault switched at {address}{path}"),
            Ok(reply) => format!("fault refused at {address}{path}: status {}", reply.status),
            Err(failure) => format!("fault not switched at {address}{path}: {failure}"),
        };
        print(&line);
    }
}
