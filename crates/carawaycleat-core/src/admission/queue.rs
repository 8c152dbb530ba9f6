use std::collections;
use std::ops;
use std::time;

use super::meter;
use super::target;
use super::workspace;
use crate::clock;
use crate::name;
use crate::request;

/// The requests that are queued for an upstream, by workspace and class.
///
/// The fair policy is weighted deficit round robin. In each round a workspace is granted a credit of its weight times
/// the quantum, in tokens, and among the workspaces with credit the most urgent class is served first. A request may
/// exceed the remaining credit; the workspace repays the excess in later rounds. A workspace with a high load therefore
/// delays its own requests, and those of others by at most one round.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::{admission, clock, name, request};
///
/// let now = clock::Instant::from_millis(1);
/// let mut queue = admission::Queue::new(admission::Limits::default());
/// queue.push(now, admission::Request {
///     id: request::Id::from_u128(1),
///     workspace: name::Name::parse("w").expect("a valid name"),
///     model: None,
///     adapter: None,
///     class: admission::Class::Live,
///     tokens: 100,
///     bytes: 400,
///     deadline: clock::Instant::from_millis(500),
/// })?;
/// let request = queue.pop(now, |_| true).expect("a queued request");
/// assert_eq!(request.id, request::Id::from_u128(1));
/// # Ok::<(), admission::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Queue {
    limits: super::Limits,
    weights: collections::BTreeMap<name::Name, u32>,
    /// The queues by workspace; an empty one is kept until its workspace has full credit again.
    queues: collections::BTreeMap<name::Name, workspace::Queue>,
    /// The workspace that was served last.
    last_served: Option<name::Name>,
    /// The service rate of each target, which is a model and adapter, or all requests of a FIFO queue. Requests for a
    /// model that no upstream holds must not affect the estimated waits of others.
    meters: collections::BTreeMap<target::Target, meter::Meter>,
    next_order: u64,
    /// A lower bound of the deadlines, so that most calls of [`Queue::expire`] need no search.
    earliest_deadline: clock::Instant,
}

impl Queue {
    /// Returns an empty queue.
    pub fn new(limits: super::Limits) -> Self {
        Self {
            limits,
            weights: collections::BTreeMap::new(),
            queues: collections::BTreeMap::new(),
            last_served: None,
            meters: collections::BTreeMap::new(),
            next_order: 0,
            earliest_deadline: LATEST,
        }
    }

    /// Sets the share of a workspace relative to others. 0 counts as 1, the default.
    pub fn set_weight(&mut self, workspace: name::Name, weight: u32) {
        if weight <= 1 {
            self.weights.remove(&workspace);
        } else {
            self.weights.insert(workspace, weight);
        }
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.queues.values().map(workspace::Queue::len).sum()
    }

    /// Returns the number of queued requests of each class.
    pub fn lengths(&self) -> super::Lengths {
        let count = |class| self.queues.values().map(|queue| queue.len_of(class)).sum();
        super::Lengths {
            live: count(super::Class::Live),
            short: count(super::Class::Short),
            batch: count(super::Class::Batch),
        }
    }

    /// Returns whether no requests are queued.
    pub fn is_empty(&self) -> bool {
        self.queues.values().all(workspace::Queue::is_empty)
    }

    /// Returns the number of bytes that the queued requests hold.
    pub fn bytes(&self) -> usize {
        self.queues.values().map(|queue| queue.bytes).sum()
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Returns an error when the workspace's queue is full or the deadline is expected to pass before the request
    /// starts. The request has then not run.
    pub fn push(&mut self, now: clock::Instant, request: super::Request) -> super::Result<()> {
        let wait = self.estimated_wait(now, &request);
        if now + wait >= request.deadline {
            self.check_limits(&request)?;
            let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            return Err(super::Error::Deadline(millis));
        }
        self.push_ready(now, request)
    }

    /// Adds a request that an upstream can run at once, without regard to the estimated wait.
    ///
    /// # Errors
    ///
    /// Returns an error when the workspace's queue is full. The request has then not run.
    pub fn push_ready(
        &mut self,
        now: clock::Instant,
        request: super::Request,
    ) -> super::Result<()> {
        self.check_limits(&request)?;
        self.push_begun(now, request);
        Ok(())
    }

    /// Adds a request whose response has begun, without regard to the limits on new requests.
    pub fn push_begun(&mut self, now: clock::Instant, request: super::Request) {
        self.earliest_deadline = self.earliest_deadline.min(request.deadline);
        let target = self.target(&request);
        let credit = self.round_credit(&request.workspace);
        self.queues
            .entry(request.workspace.clone())
            .or_insert_with(|| workspace::Queue::new(credit))
            .push(workspace::Entry {
                request,
                queued_at: now,
                order: self.next_order,
            });
        self.next_order += 1;
        if !self.meters.contains_key(&target) {
            self.meters.retain(|_, meter| meter.is_recent(now));
        }
        self.meters.entry(target).or_default().set_busy(now, true);
    }

    fn check_limits(&self, request: &super::Request) -> super::Result<()> {
        let (requests, bytes) = self
            .queues
            .get(&request.workspace)
            .map_or((0, 0), |queue| (queue.len(), queue.bytes));
        let is_full = requests >= self.limits.max_requests
            || bytes.saturating_add(request.bytes) > self.limits.max_bytes;
        if is_full {
            return Err(super::Error::Full(request.workspace.clone()));
        }
        Ok(())
    }

    /// Removes and returns the next request for which `can_run` returns true.
    ///
    /// Requests past their deadline stay in the queue until [`Queue::expire`]. Under the fair policy, `can_run` is not
    /// called again for a model and adapter for which it has returned false during the same call.
    pub fn pop(
        &mut self,
        now: clock::Instant,
        mut can_run: impl FnMut(&super::Request) -> bool,
    ) -> Option<super::Request> {
        let (workspace, position) = match self.limits.policy {
            super::Policy::Fair => self.next_fair(now, can_run),
            super::Policy::Fifo => self.next_fifo(now, &mut can_run),
        }?;
        let queue = self.queues.get_mut(&workspace)?;
        let request = queue.take(position)?;
        queue.credit = queue.credit.saturating_sub(signed(request.tokens));
        self.last_served = Some(workspace);
        let target = self.target(&request);
        self.update_meter(now, &target);
        Some(request)
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: clock::Instant) -> Vec<super::Request> {
        if now < self.earliest_deadline {
            return Vec::new();
        }
        let expired = self.remove_where(now, |request| request.deadline <= now);
        let entries = self.queues.values().flat_map(workspace::Queue::iter);
        let deadlines = entries.map(|entry| entry.request.deadline);
        self.earliest_deadline = deadlines.min().unwrap_or(LATEST);
        expired
    }

    /// Removes and returns the request `id`.
    pub fn remove(&mut self, now: clock::Instant, id: request::Id) -> Option<super::Request> {
        self.remove_where(now, |request| request.id == id).pop()
    }

    /// Removes and returns the requests for which `matches` returns true, such as those of a revoked key.
    pub fn remove_where(
        &mut self,
        now: clock::Instant,
        mut matches: impl FnMut(&super::Request) -> bool,
    ) -> Vec<super::Request> {
        let queues = self.queues.values_mut();
        let removed: Vec<_> = queues
            .flat_map(|queue| queue.remove(&mut matches))
            .collect();
        let targets = removed.iter().map(|request| self.target(request));
        let targets: collections::BTreeSet<_> = targets.collect();
        for target in targets {
            self.update_meter(now, &target);
        }
        removed
    }

    /// Records tokens that upstreams have generated with `model` and `adapter`, for the service rate.
    pub fn record_served(
        &mut self,
        now: clock::Instant,
        model: Option<&name::Name>,
        adapter: Option<&name::Name>,
        tokens: u64,
    ) {
        let target = self.limits.policy.target(model, adapter);
        if let Some(meter) = self.meters.get_mut(&target) {
            meter.record_served(now, tokens);
        }
    }

    fn target(&self, request: &super::Request) -> target::Target {
        let (model, adapter) = (request.model.as_ref(), request.adapter.as_ref());
        self.limits.policy.target(model, adapter)
    }

    /// Returns whether `request` is queued for `target`.
    fn is_for(&self, request: &super::Request, target: &target::Target) -> bool {
        match self.limits.policy {
            super::Policy::Fifo => true,
            super::Policy::Fair => target.matches(request),
        }
    }

    /// Updates whether requests are queued for `target`, for the meter of its service rate.
    fn update_meter(&mut self, now: clock::Instant, target: &target::Target) {
        let mut entries = self.queues.values().flat_map(workspace::Queue::iter);
        let is_busy = entries.any(|entry| self.is_for(&entry.request, target));
        if let Some(meter) = self.meters.get_mut(target) {
            meter.set_busy(now, is_busy);
        }
    }

    /// Returns the number of tokens that `queue` has queued for `target`, in `class` and more urgent ones.
    fn queued_tokens(
        &self,
        queue: &workspace::Queue,
        target: &target::Target,
        class: super::Class,
    ) -> u64 {
        let requests = queue.iter().map(|entry| &entry.request);
        requests
            .filter(|request| request.class <= class && self.is_for(request, target))
            .map(|request| request.tokens)
            .fold(0, u64::saturating_add)
    }

    /// Returns the estimated wait of `request`: the tokens queued before it for the same target, at the service rate
    /// that its workspace gets. It is zero when the rate is unknown.
    fn estimated_wait(&self, now: clock::Instant, request: &super::Request) -> time::Duration {
        let target = self.target(request);
        let Some(rate) = self.meters.get(&target).and_then(|meter| meter.rate(now)) else {
            return time::Duration::ZERO;
        };
        let all = self
            .queues
            .values()
            .map(|queue| self.queued_tokens(queue, &target, super::Class::Batch))
            .fold(0, u64::saturating_add);
        let ahead = match self.limits.policy {
            super::Policy::Fifo => all as f64,
            super::Policy::Fair => {
                let own = self.queues.get(&request.workspace);
                let own = own.map_or(0, |queue| self.queued_tokens(queue, &target, request.class));
                // The wait is bounded by the whole backlog, which may be less than what the share suggests.
                (own as f64 / self.share(&request.workspace, &target)).min(all as f64)
            }
        };
        time::Duration::try_from_secs_f64(ahead / rate).unwrap_or(time::Duration::MAX)
    }

    /// Returns the share of the service that `workspace` gets among the workspaces with requests for `target`.
    fn share(&self, workspace: &name::Name, target: &target::Target) -> f64 {
        let own = f64::from(self.weight(workspace));
        let others = self
            .queues
            .iter()
            .filter(|(other, queue)| {
                let mut entries = queue.iter();
                *other != workspace && entries.any(|entry| self.is_for(&entry.request, target))
            })
            .map(|(other, _)| f64::from(self.weight(other)))
            .sum::<f64>();
        own / (own + others)
    }

    fn weight(&self, workspace: &name::Name) -> u32 {
        self.weights.get(workspace).copied().unwrap_or(1)
    }

    /// Returns the credit that `workspace` is granted in each round, in tokens.
    fn round_credit(&self, workspace: &name::Name) -> i64 {
        let tokens = self
            .limits
            .quantum
            .max(1)
            .saturating_mul(self.weight(workspace).into());
        signed(tokens)
    }

    fn next_fifo(
        &self,
        now: clock::Instant,
        can_run: &mut impl FnMut(&super::Request) -> bool,
    ) -> Option<(name::Name, workspace::Position)> {
        let oldest = self
            .queues
            .iter()
            .filter_map(|(workspace, queue)| Some((workspace, queue, queue.oldest()?)))
            .min_by_key(|(_, _, position)| position.order);
        let (workspace, queue, position) = oldest?;
        let request = &queue.get(position)?.request;
        (request.deadline > now && can_run(request)).then(|| (workspace.clone(), position))
    }

    fn next_fair(
        &mut self,
        now: clock::Instant,
        can_run: impl FnMut(&super::Request) -> bool,
    ) -> Option<(name::Name, workspace::Position)> {
        let found = self.runnable(now, can_run);
        let rounds = found
            .iter()
            .map(|(name, _)| self.rounds_needed(name))
            .min()?;
        if rounds > 0 {
            self.start_rounds(rounds);
        }
        found
            .into_iter()
            .filter(|(workspace, _)| self.rounds_needed(workspace) == 0)
            .min_by_key(|(_, position)| position.effective_class)
    }

    /// Returns the first request that can run of each workspace.
    fn runnable<'a>(
        &'a self,
        now: clock::Instant,
        mut can_run: impl FnMut(&super::Request) -> bool,
    ) -> Vec<(name::Name, workspace::Position)> {
        let mut blocked = Vec::new();
        let mut can_run = |request: &'a super::Request| {
            let target = (request.model.as_ref(), request.adapter.as_ref());
            if request.deadline <= now || blocked.contains(&target) {
                return false;
            }
            let is_runnable = can_run(request);
            if !is_runnable && request.model.is_some() {
                blocked.push(target);
            }
            is_runnable
        };
        let mut found = Vec::new();
        for (workspace, queue) in self.round_robin() {
            if let Some(position) = queue.find(now, self.limits.batch_aging, &mut can_run) {
                found.push((workspace.clone(), position));
            }
        }
        found
    }

    /// Returns the queues in the order of their workspaces' names, beginning after the workspace that was served last.
    fn round_robin(&self) -> impl Iterator<Item = (&name::Name, &workspace::Queue)> {
        let last = self.last_served.as_ref();
        let lower = last.map_or(ops::Bound::Unbounded, ops::Bound::Excluded);
        let tail = self
            .queues
            .range::<name::Name, _>((lower, ops::Bound::Unbounded));
        let head = self
            .queues
            .iter()
            .take_while(move |(name, _)| last.is_some_and(|last| *name <= last));
        tail.chain(head)
    }

    /// Returns the number of rounds after which `workspace` has credit again.
    fn rounds_needed(&self, workspace: &name::Name) -> i64 {
        match self.queues.get(workspace) {
            Some(queue) if queue.credit <= 0 => 1 + (-queue.credit) / self.round_credit(workspace),
            _ => 0,
        }
    }

    /// Grants each workspace the credit of `rounds` rounds, and removes empty queues whose credit is full.
    ///
    /// Credit never exceeds that of one round, so a workspace cannot save credit while its requests cannot run.
    fn start_rounds(&mut self, rounds: i64) {
        let grants: Vec<i64> = self
            .queues
            .keys()
            .map(|name| self.round_credit(name))
            .collect();
        for (queue, grant) in self.queues.values_mut().zip(&grants) {
            let credit = queue.credit.saturating_add(grant.saturating_mul(rounds));
            queue.credit = credit.min(*grant);
        }
        let mut grants = grants.into_iter();
        self.queues.retain(|_, queue| {
            let grant = grants.next().unwrap_or(0);
            !queue.is_empty() || queue.credit < grant
        });
    }
}

/// The latest representable instant.
const LATEST: clock::Instant = clock::Instant::from_micros(u64::MAX);

/// Converts a number of tokens for credit arithmetic, limited to the maximum.
fn signed(tokens: u64) -> i64 {
    i64::try_from(tokens).unwrap_or(i64::MAX)
}
