//! The order of waiting requests, and refusals for lack of slots, where the load is measured by work.

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
use crate::relay::refusal;
use crate::relay::view;
use crate::timeline;

/// The longest `Retry-After` of a refusal for lack of a slot.
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_millis(4_000);
/// A caller whose timeout is shorter than that of the route by more than this comes back after a refusal.
const RETURN_TOLERANCE: time::Duration = time::Duration::from_millis(100);
/// The time between two updates of the workspaces whose requests are delayed.
const OVERUSE_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// The time between two updates of the places of waiting requests.
const ORDER_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// The ratio from which the overuse of a workspace is logged, and that from which its end is.
const LOGGED_OVERUSE: f64 = 1.5;
const ENDED_OVERUSE: f64 = 1.1;

/// The requests that precede one, and how the queue drains.
#[derive(Clone, Copy, Debug)]
struct Place {
    ahead: u32,
    outlook: contention::Outlook,
}

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

    /// Returns how the queue of a request drains.
    fn outlook(
        &self,
        now: clock::Instant,
        request: &pending::Pending,
        queue: &super::QueueKey,
    ) -> contention::Outlook {
        let capacity =
            self.service_of(request)
                .map_or_else(contention::Capacity::default, |service| {
                    let selector = self.selector(now, &request.service, &service);
                    selector.capacity(&self.upstreams, request, self.host_count)
                });
        let model = request.model.as_ref();
        let load = contention::Load {
            send_rate: self.send_rates.rate(now, queue),
            own: self.queue_lengths.get(queue).copied().unwrap_or(0),
            competing: model.and_then(|model| self.competing(now, &request.service, model)),
            ready_in: model.and_then(|model| self.time_until_ready(now, model)),
        };
        let general = (request.service.clone(), None);
        let backlogs = &self.contention.backlogs;
        backlogs.outlook(now, queue, &general, capacity, load)
    }

    /// Returns the requests of all hosts that compete for the engines which hold a model; none without a recent view that
    /// tells it.
    fn competing(
        &self,
        now: clock::Instant,
        service: &name::Name,
        model: &name::Name,
    ) -> Option<u32> {
        let (received, view) = self.view.as_ref()?;
        let backlogs = view.backlogs.as_ref()?;
        if now.since(*received) > super::MAX_VIEW_AGE {
            return None;
        }
        let is_same =
            |backlog: &&view::Backlog| backlog.model == *model && backlog.service == *service;
        let backlog = backlogs.iter().find(is_same);
        Some(backlog.map_or(0, |backlog| backlog.waiting))
    }

    /// Refuses a new request that would be sent only after its caller has disconnected. Returns whether it did. None is refused
    /// while a holder has a free slot for this host, nor one that goes on with a stream in a queue that has just begun.
    pub(super) fn refuse_crowded_out(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        key: &super::WaitingKey,
        queue: &super::QueueKey,
        effects: &mut Vec<effect::Effect>,
    ) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let place = Place {
            ahead: self.count_ahead(key, queue),
            outlook: self.outlook(now, request, queue),
        };
        let wait = self.excessive_wait(now, id, queue, place);
        if let Some(wait) = wait {
            self.refuse_contended(now, id, queue, place, wait, effects);
        }
        wait.is_some()
    }

    /// Returns how long a request would wait, if that is longer than its caller does.
    fn excessive_wait(
        &self,
        now: clock::Instant,
        id: event::Id,
        queue: &super::QueueKey,
        place: Place,
    ) -> Option<time::Duration> {
        let request = self.requests.get(&id)?;
        if place.outlook.has_free_slot || !self.is_wait_known(now, id, queue) {
            return None;
        }
        let standing = standing(&self.contention, request);
        let yields = standing.is_late(now) || !standing.overuse_delay.is_zero();
        let wait = place.outlook.wait(place.ahead, yields);
        let is_excessive =
            place.ahead > 0 && now + wait + place.outlook.lead > request.abandonment_time();
        is_excessive.then_some(wait)
    }

    /// Refuses the waiting requests, given in order, that would be sent only after their callers have disconnected.
    pub(super) fn refuse_contending(
        &mut self,
        now: clock::Instant,
        waiting: &[event::Id],
        effects: &mut Vec<effect::Effect>,
    ) {
        let mut places = collections::HashMap::<super::QueueKey, Place>::new();
        let mut refused = Vec::new();
        for id in waiting {
            let Some(request) = self.requests.get(id) else {
                continue;
            };
            let queue = (request.service.clone(), request.model.clone());
            let place = *places.entry(queue.clone()).or_insert_with(|| Place {
                ahead: 0,
                outlook: self.outlook(now, request, &queue),
            });
            match self.excessive_wait(now, *id, &queue, place) {
                Some(wait) => refused.push((*id, queue, place, wait)),
                None => {
                    if let Some(place) = places.get_mut(&queue) {
                        place.ahead += 1;
                    }
                }
            }
        }
        for (id, queue, place, wait) in refused {
            self.refuse_contended(now, id, &queue, place, wait, effects);
        }
    }

    /// Refuses a request that would wait for `wait`.
    fn refuse_contended(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        queue: &super::QueueKey,
        place: Place,
        wait: time::Duration,
        effects: &mut Vec<effect::Effect>,
    ) {
        let verdict = contention::Verdict {
            cause: "queue",
            ahead: place.ahead,
            wait,
        };
        self.refuse_with(now, id, queue, verdict, place.outlook.rate, effects);
    }

    /// Returns the longest time for which a request waits for a model that no engine is loading. One with a long objective can
    /// wait until an engine has room.
    pub(super) fn max_unplaced_wait(&self, request: &pending::Pending) -> time::Duration {
        let longest = self.options.max_unplaced_wait;
        if request.rank.is_some() {
            longest.max(request.route.objective / 2)
        } else {
            longest
        }
    }

    /// Refuses a request whose model is not held by any usable upstream for `wait`.
    pub(super) fn refuse_unplaced(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        wait: time::Duration,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let queue = (request.service.clone(), request.model.clone());
        let outlook = self.outlook(now, request, &queue);
        let verdict = contention::Verdict {
            cause: "unplaced",
            ahead: self.count_ahead(&(request.queue_key(), id), &queue),
            wait,
        };
        self.refuse_with(now, id, &queue, verdict, outlook.rate, effects);
    }

    fn refuse_with(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        queue: &super::QueueKey,
        verdict: contention::Verdict,
        rate: f64,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.verdict = Some(verdict);
        let back = contention::Return {
            wait: verdict.wait,
            rate,
            left: request.caller_deadline.since(now),
            min: super::MIN_RETRY_AFTER,
            max: MAX_RETRY_AFTER,
            seed: &request.request_id,
        };
        let retry_after = self.contention.backlogs.record_refusal(now, queue, back);
        let reason = refusal::Reason::NoUpstream;
        self.refuse(now, id, reason, Some(retry_after), effects);
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
