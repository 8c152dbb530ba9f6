use std::collections;
use std::ops;
use std::time;

use super::line;
use super::meter;
use super::target;
use crate::clock;
use crate::name;
use crate::request;

/// The requests that wait for an upstream, by workspace and class.
///
/// The fair policy works in rounds. In a round each workspace may use its weight times the quantum in tokens, and
/// among the workspaces with credit the most urgent class goes first. A request may use more than the credit left;
/// the workspace repays the rest in later rounds. A workspace that sends much therefore waits for itself, and others
/// wait for it at most one round.
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
/// let request = queue.pop(now, |_| true).expect("a waiting request");
/// assert_eq!(request.id, request::Id::from_u128(1));
/// # Ok::<(), admission::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Queue {
    limits: super::Limits,
    weights: collections::BTreeMap<name::Name, u32>,
    lines: collections::BTreeMap<name::Name, line::Line>,
    last: Option<name::Name>,
    /// A model that no upstream holds must not slow the estimates for others, so each target has a meter of its own.
    meters: collections::BTreeMap<target::Target, meter::Meter>,
    next_order: u64,
    /// No deadline is earlier, which spares [`Queue::expire`] most searches.
    earliest_deadline: clock::Instant,
}

impl Queue {
    /// Returns an empty queue.
    pub fn new(limits: super::Limits) -> Self {
        Self {
            limits,
            weights: collections::BTreeMap::new(),
            lines: collections::BTreeMap::new(),
            last: None,
            meters: collections::BTreeMap::new(),
            next_order: 0,
            earliest_deadline: LATEST,
        }
    }

    /// Sets the part that a workspace gets relative to others; 0 is taken as 1, the default.
    pub fn set_weight(&mut self, workspace: name::Name, weight: u32) {
        if weight <= 1 {
            self.weights.remove(&workspace);
        } else {
            self.weights.insert(workspace, weight);
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.lines.values().map(line::Line::len).sum()
    }

    /// Returns the number of waiting requests of each class.
    pub fn lengths(&self) -> super::Lengths {
        let of = |class| self.lines.values().map(|line| line.len_of(class)).sum();
        super::Lengths {
            live: of(super::Class::Live),
            short: of(super::Class::Short),
            batch: of(super::Class::Batch),
        }
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.lines.values().all(line::Line::is_empty)
    }

    /// Returns the bytes that the waiting requests hold.
    pub fn bytes(&self) -> usize {
        self.lines.values().map(|line| line.bytes).sum()
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Returns an error when the workspace's queue is full or the deadline would pass before the request starts.
    /// The request has then not run.
    pub fn push(&mut self, now: clock::Instant, request: super::Request) -> super::Result<()> {
        let wait = self.wait(now, &request);
        if now + wait >= request.deadline {
            self.check_room(&request)?;
            let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            return Err(super::Error::Deadline(millis));
        }
        self.push_ready(now, request)
    }

    /// Adds a request that an upstream can take at once, whatever others wait for.
    ///
    /// # Errors
    ///
    /// Returns an error when the workspace's queue is full. The request has then not run.
    pub fn push_ready(
        &mut self,
        now: clock::Instant,
        request: super::Request,
    ) -> super::Result<()> {
        self.check_room(&request)?;
        self.earliest_deadline = self.earliest_deadline.min(request.deadline);
        let target = self.target(&request);
        let credit = self.grant(&request.workspace);
        self.lines
            .entry(request.workspace.clone())
            .or_insert_with(|| line::Line::new(credit))
            .push(line::Waiting {
                request,
                since: now,
                order: self.next_order,
            });
        self.next_order += 1;
        if !self.meters.contains_key(&target) {
            self.meters.retain(|_, meter| meter.is_recent(now));
        }
        self.meters.entry(target).or_default().set_busy(now, true);
        Ok(())
    }

    fn check_room(&self, request: &super::Request) -> super::Result<()> {
        let (requests, bytes) = self
            .lines
            .get(&request.workspace)
            .map_or((0, 0), |line| (line.len(), line.bytes));
        let is_full = requests >= self.limits.max_requests
            || bytes.saturating_add(request.bytes) > self.limits.max_bytes;
        if is_full {
            return Err(super::Error::Full(request.workspace.clone()));
        }
        Ok(())
    }

    /// Removes and returns the next request for which `can_run` holds.
    ///
    /// Requests past their deadline stay for [`Queue::expire`]. `can_run` is not asked again for a model and adapter
    /// that it refused during the same call.
    pub fn pop(
        &mut self,
        now: clock::Instant,
        mut can_run: impl FnMut(&super::Request) -> bool,
    ) -> Option<super::Request> {
        let (workspace, place) = match self.limits.policy {
            super::Policy::Fair => self.next_fair(now, can_run),
            super::Policy::Fifo => self.next_fifo(now, &mut can_run),
        }?;
        let line = self.lines.get_mut(&workspace)?;
        let request = line.take(place)?;
        line.credit = line.credit.saturating_sub(signed(request.tokens));
        self.last = Some(workspace);
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
        let waiting = self.lines.values().flat_map(line::Line::iter);
        let deadlines = waiting.map(|waiting| waiting.request.deadline);
        self.earliest_deadline = deadlines.min().unwrap_or(LATEST);
        expired
    }

    /// Removes and returns the request `id`.
    pub fn remove(&mut self, now: clock::Instant, id: request::Id) -> Option<super::Request> {
        self.remove_where(now, |request| request.id == id).pop()
    }

    /// Removes and returns the requests that match, such as those of a revoked key.
    pub fn remove_where(
        &mut self,
        now: clock::Instant,
        mut matches: impl FnMut(&super::Request) -> bool,
    ) -> Vec<super::Request> {
        let lines = self.lines.values_mut();
        let removed: Vec<_> = lines.flat_map(|line| line.remove(&mut matches)).collect();
        let targets = removed.iter().map(|request| self.target(request));
        let targets: collections::BTreeSet<_> = targets.collect();
        for target in targets {
            self.update_meter(now, &target);
        }
        removed
    }

    /// Counts tokens that upstreams have generated with `model` and `adapter`, to measure the service rate.
    pub fn record_served(
        &mut self,
        now: clock::Instant,
        model: Option<&name::Name>,
        adapter: Option<&name::Name>,
        tokens: u64,
    ) {
        let target = self.limits.policy.target(model, adapter);
        if let Some(meter) = self.meters.get_mut(&target) {
            meter.served(now, tokens);
        }
    }

    fn target(&self, request: &super::Request) -> target::Target {
        let (model, adapter) = (request.model.as_ref(), request.adapter.as_ref());
        self.limits.policy.target(model, adapter)
    }

    /// Returns whether `request` waits for `target`.
    fn is_for(&self, request: &super::Request, target: &target::Target) -> bool {
        match self.limits.policy {
            super::Policy::Fifo => true,
            super::Policy::Fair => target.is_of(request),
        }
    }

    /// Tells the meter of `target` whether requests still wait for it.
    fn update_meter(&mut self, now: clock::Instant, target: &target::Target) {
        let mut waiting = self.lines.values().flat_map(line::Line::iter);
        let is_busy = waiting.any(|waiting| self.is_for(&waiting.request, target));
        if let Some(meter) = self.meters.get_mut(target) {
            meter.set_busy(now, is_busy);
        }
    }

    /// Returns the tokens that wait in `line` for `target`, in `class` and the more urgent ones.
    fn tokens(&self, line: &line::Line, target: &target::Target, class: super::Class) -> u64 {
        let waiting = line.iter().map(|waiting| &waiting.request);
        waiting
            .filter(|request| request.class <= class && self.is_for(request, target))
            .map(|request| request.tokens)
            .fold(0, u64::saturating_add)
    }

    /// Returns the time that `request` would wait: what is ahead of it for its target, at the rate that its workspace
    /// gets.
    fn wait(&self, now: clock::Instant, request: &super::Request) -> time::Duration {
        let target = self.target(request);
        let Some(rate) = self.meters.get(&target).and_then(|meter| meter.rate(now)) else {
            return time::Duration::ZERO;
        };
        let all = self
            .lines
            .values()
            .map(|line| self.tokens(line, &target, super::Class::Batch))
            .fold(0, u64::saturating_add);
        let ahead = match self.limits.policy {
            super::Policy::Fifo => all as f64,
            super::Policy::Fair => {
                let own = self.lines.get(&request.workspace);
                let own = own.map_or(0, |line| self.tokens(line, &target, request.class));
                // Work of others that waits cannot exceed all that waits, so a small backlog bounds the wait.
                (own as f64 / self.share(&request.workspace, &target)).min(all as f64)
            }
        };
        time::Duration::try_from_secs_f64(ahead / rate).unwrap_or(time::Duration::MAX)
    }

    /// Returns the part of the service that `workspace` gets beside those that have requests waiting for `target`.
    fn share(&self, workspace: &name::Name, target: &target::Target) -> f64 {
        let own = f64::from(self.weight(workspace));
        let others = self
            .lines
            .iter()
            .filter(|(other, line)| {
                let mut waiting = line.iter();
                *other != workspace && waiting.any(|w| self.is_for(&w.request, target))
            })
            .map(|(other, _)| f64::from(self.weight(other)))
            .sum::<f64>();
        own / (own + others)
    }

    fn weight(&self, workspace: &name::Name) -> u32 {
        self.weights.get(workspace).copied().unwrap_or(1)
    }

    fn grant(&self, workspace: &name::Name) -> i64 {
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
    ) -> Option<(name::Name, line::Place)> {
        let oldest = self
            .lines
            .iter()
            .filter_map(|(workspace, line)| Some((workspace, line, line.oldest()?)))
            .min_by_key(|(_, _, place)| place.order);
        let (workspace, line, place) = oldest?;
        let request = &line.get(place)?.request;
        (request.deadline > now && can_run(request)).then(|| (workspace.clone(), place))
    }

    fn next_fair(
        &mut self,
        now: clock::Instant,
        can_run: impl FnMut(&super::Request) -> bool,
    ) -> Option<(name::Name, line::Place)> {
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
            .min_by_key(|(_, place)| place.class)
    }

    /// Returns the first request of each workspace that can run.
    fn runnable<'a>(
        &'a self,
        now: clock::Instant,
        mut can_run: impl FnMut(&super::Request) -> bool,
    ) -> Vec<(name::Name, line::Place)> {
        let mut refused = Vec::new();
        let mut can_run = |request: &'a super::Request| {
            let target = (request.model.as_ref(), request.adapter.as_ref());
            if request.deadline <= now || refused.contains(&target) {
                return false;
            }
            let is_runnable = can_run(request);
            if !is_runnable && request.model.is_some() {
                refused.push(target);
            }
            is_runnable
        };
        let mut found = Vec::new();
        for (workspace, line) in self.after_last() {
            if let Some(place) = line.find(now, self.limits.batch_aging, &mut can_run) {
                found.push((workspace.clone(), place));
            }
        }
        found
    }

    /// Returns the lines in the order of their names, beginning after the workspace that was served last.
    fn after_last(&self) -> impl Iterator<Item = (&name::Name, &line::Line)> {
        let last = self.last.as_ref();
        let lower = last.map_or(ops::Bound::Unbounded, ops::Bound::Excluded);
        let tail = self
            .lines
            .range::<name::Name, _>((lower, ops::Bound::Unbounded));
        let head = self
            .lines
            .iter()
            .take_while(move |(name, _)| last.is_some_and(|last| *name <= last));
        tail.chain(head)
    }

    /// Returns the number of rounds after which `workspace` has credit.
    fn rounds_needed(&self, workspace: &name::Name) -> i64 {
        match self.lines.get(workspace) {
            Some(line) if line.credit <= 0 => 1 + (-line.credit) / self.grant(workspace),
            _ => 0,
        }
    }

    /// Grants `rounds` rounds to each workspace, and forgets those that nothing waits for and nothing is owed by.
    ///
    /// Credit never exceeds one round's grant: a workspace cannot save credit while its requests cannot run.
    fn start_rounds(&mut self, rounds: i64) {
        let grants: Vec<i64> = self.lines.keys().map(|name| self.grant(name)).collect();
        for (line, grant) in self.lines.values_mut().zip(&grants) {
            let credit = line.credit.saturating_add(grant.saturating_mul(rounds));
            line.credit = credit.min(*grant);
        }
        let mut grants = grants.into_iter();
        self.lines.retain(|_, line| {
            let grant = grants.next().unwrap_or(0);
            !line.is_empty() || line.credit < grant
        });
    }
}

const LATEST: clock::Instant = clock::Instant::from_micros(u64::MAX);

fn signed(tokens: u64) -> i64 {
    i64::try_from(tokens).unwrap_or(i64::MAX)
}
