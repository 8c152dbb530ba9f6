//! The order of waiting requests where the load is measured by work.

mod refusal;

use std::collections;
use std::time;

use crate::clock;
use crate::contention;
use crate::name;
use crate::relay::capacity;
use crate::relay::config;
use crate::relay::effect;
use crate::relay::event;
use crate::relay::pending;
use crate::relay::policy;
use crate::timeline;

/// A caller whose timeout is shorter than that of the route by more than this comes back after a refusal.
const RETURN_TOLERANCE: time::Duration = time::Duration::from_millis(100);
/// The time between two updates of the workspaces whose requests are delayed.
const OVERUSE_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// The time between two updates of the places of waiting requests.
const ORDER_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// The ratio from which the overuse of a workspace is logged, and that from which its end is.
const LOGGED_OVERUSE: f64 = 1.5;
const ENDED_OVERUSE: f64 = 1.1;

/// What a host knows of the requests that contend for upstreams.
#[derive(Debug, Default)]
pub(super) struct Contention {
    pub(super) backlogs: contention::Backlogs<super::QueueKey>,
    pub(super) reserve: contention::Reserve<super::QueueKey>,
    /// The use of workspaces at this host, which counts while the coordinator's view does not tell that of all hosts.
    pub(super) usage: contention::Usage,
    /// The workspaces whose requests are delayed, with the ratio of their use to what they may use.
    overuse: collections::HashMap<name::Name, f64>,
    overuse_updated: clock::Instant,
    ordered_at: clock::Instant,
    /// The workspaces whose overuse was logged.
    logged: collections::BTreeSet<name::Name>,
}

impl Contention {
    /// Records that a request is sent to `upstream`.
    pub(super) fn record_send(
        &mut self,
        now: clock::Instant,
        request: &pending::Pending,
        upstream: &name::Name,
    ) {
        if is_urgent(request) {
            self.reserve.record_send(now, upstream, request.priority);
        }
    }
}

/// Returns the time for which the caller of a request has waited elsewhere: zero unless its timeout is shorter than the route's.
pub(super) fn waited_before(
    route: &config::Route,
    timeout: Option<time::Duration>,
) -> time::Duration {
    let waited = timeout.map_or(time::Duration::ZERO, |timeout| {
        route.timeout.saturating_sub(timeout)
    });
    if waited > RETURN_TOLERANCE {
        waited
    } else {
        time::Duration::ZERO
    }
}

impl super::Reducer {
    /// Returns the number of workspaces whose requests are delayed behind those of others.
    #[must_use]
    pub fn delayed_workspaces(&self) -> usize {
        self.contention.overuse.len()
    }

    /// Gives a new request its place, if it is for a service whose load is measured by work.
    pub(super) fn begin_contention(&mut self, now: clock::Instant, id: event::Id) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let service = request.admitted_service.as_ref();
        if request.queue != policy::Queue::EarliestWanted
            || service.is_none_or(|service| service.balancing != config::Balancing::Work)
        {
            return;
        }
        request.rank = Some(request.queue_key());
        let queue = (request.service.clone(), request.model.clone());
        self.contention.backlogs.record_arrival(now, &queue);
        self.update_rank(now, id);
    }

    /// Updates the place of a request that has one.
    pub(super) fn update_rank(&mut self, now: clock::Instant, id: event::Id) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(before) = request.rank else {
            return;
        };
        let rank = standing(&self.contention, request).rank(now);
        if rank != before {
            request.rank = Some(rank);
            if self.waiting.remove(&(before, id)) {
                self.waiting.insert((rank, id));
            }
        }
    }

    /// Updates the places of the requests that wait, and the use of workspaces.
    pub(super) fn update_contention(
        &mut self,
        now: clock::Instant,
        effects: &mut Vec<effect::Effect>,
    ) {
        let by_work = |service: &config::Service| service.balancing == config::Balancing::Work;
        let is_used = self.config.as_ref().is_some_and(|config| {
            let mut services = config.services();
            services.any(|(_, service)| by_work(service))
        });
        if !is_used {
            return;
        }
        if now.since(self.contention.overuse_updated) >= OVERUSE_INTERVAL {
            self.contention.overuse_updated = now;
            self.update_overuse(now, effects);
            self.contention.reserve.forget(now);
            self.contention.backlogs.forget(now);
        }
        if now.since(self.contention.ordered_at) < ORDER_INTERVAL {
            return;
        }
        self.contention.ordered_at = now;
        let waiting: Vec<_> = self.waiting.iter().map(|(_, id)| *id).collect();
        for id in waiting {
            self.update_rank(now, id);
        }
    }

    /// Updates the workspaces whose requests are delayed, and logs where that begins and ends. What the coordinator tells of
    /// all hosts counts rather than what this host has seen.
    fn update_overuse(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        let view = self.view.as_ref();
        let recent = view.filter(|(received, _)| now.since(*received) <= super::MAX_VIEW_AGE);
        let known = recent.and_then(|(_, view)| view.overuse.clone());
        let is_fleet_known = known.is_some();
        let contention = &mut self.contention;
        let known = known.or_else(|| contention.usage.overuse(now));
        contention.overuse = known.into_iter().flatten().collect();
        let factor = |workspace: &name::Name| contention.overuse.get(workspace).copied();
        let ended: Vec<_> = contention
            .logged
            .iter()
            .filter(|workspace| factor(workspace).is_none_or(|factor| factor < ENDED_OVERUSE))
            .cloned()
            .collect();
        for workspace in ended {
            contention.logged.remove(&workspace);
            let decision = timeline::Decision::new("overuse_ended").with("workspace", &workspace);
            effects.push(super::record(decision));
        }
        for (workspace, factor) in &contention.overuse {
            if *factor >= LOGGED_OVERUSE && contention.logged.insert(workspace.clone()) {
                let delay = contention::overuse_delay(*factor);
                let decision = timeline::Decision::new("overuse_began")
                    .with("workspace", workspace)
                    .with("factor", format!("{factor:.2}"))
                    .with("delay_ms", timeline::Value::millis(delay))
                    .with("fleet", is_fleet_known);
                effects.push(super::record(decision));
            }
        }
    }

    /// Records which urgent requests wait, in the order of the queue.
    pub(super) fn record_urgent_waiting(&mut self, waiting: &[event::Id]) {
        self.contention.reserve.clear_waiting();
        for id in waiting {
            let request = self.requests.get(id);
            if let Some(request) = request.filter(|request| is_urgent(request)) {
                let queue = (request.service.clone(), request.model.clone());
                let reserve = &mut self.contention.reserve;
                reserve.record_waiting(queue, request.priority);
            }
        }
    }

    /// Records how long a request occupied a slot that is complete.
    pub(super) fn record_service(&mut self, request: &pending::Pending, time: time::Duration) {
        if request.rank.is_some() {
            let queue = (request.service.clone(), request.model.clone());
            let general = (request.service.clone(), None);
            let backlogs = &mut self.contention.backlogs;
            backlogs.record_service(queue, time);
            backlogs.record_service(general, time);
        }
    }

    /// Returns whether a request leaves the last slots of engines to urgent ones: not if it is urgent itself, has to be sent now
    /// to meet its objective, or its caller has a part of the response.
    pub(super) fn yields(&self, now: clock::Instant, request: &pending::Pending) -> bool {
        request.rank.is_some()
            && request.model.is_some()
            && !request.route.is_urgent_stream()
            && !request.has_received_part()
            && now < standing(&self.contention, request).latest_start()
    }

    /// Returns what a request leaves free for urgent ones; none if it may use all slots.
    pub(super) fn yielding<'a>(
        &'a self,
        now: clock::Instant,
        request: &pending::Pending,
        queue: &'a super::QueueKey,
    ) -> Option<capacity::Yielding<'a>> {
        let yielding = capacity::Yielding {
            reserve: &self.contention.reserve,
            queue,
            priority: request.priority,
        };
        self.yields(now, request).then_some(yielding)
    }
}

/// Returns what the place of a request depends on.
fn standing(contention: &Contention, request: &pending::Pending) -> contention::Standing {
    let workspace = request.workspace.as_ref();
    let factor = workspace.and_then(|workspace| contention.overuse.get(workspace));
    contention::Standing {
        arrived_at: request.arrived_at,
        target: request.target_time(),
        abandoned_at: request.abandonment_time(),
        priority: request.priority,
        has_part: request.has_received_part(),
        waited_before: request.waited_before,
        overuse_delay: factor.map_or(time::Duration::ZERO, |factor| {
            contention::overuse_delay(*factor)
        }),
    }
}

/// Returns whether slots of engines are left free for a request.
fn is_urgent(request: &pending::Pending) -> bool {
    request.rank.is_some() && request.model.is_some() && request.route.is_urgent_stream()
}
