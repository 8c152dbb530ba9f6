use std::collections;
use std::time;

use super::affinity;
use super::attempt;
use super::latency;
use super::upstream;
use crate::clock;
use crate::config;
use crate::name;
use crate::request;

/// What one entry host knows about the upstreams, and the requests that it has sent to them.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::{clock, config, name, resource, routing};
///
/// let name = |text| name::Name::parse(text).expect("a valid name");
/// let (group, zone) = (name("registry"), name("zone-a"));
/// let upstream = resource::Upstream {
///     group: group.clone(),
///     address: ([127, 0, 0, 1], 7_000).into(),
///     side_address: None,
///     availability_zone: zone.clone(),
///     memory_bytes: 0,
///     fencing: resource::Fencing::Ignored,
///     leaving: false,
/// };
/// let resource = resource::Resource::Upstream(upstream);
/// let entry = config::Entry { revision: 1, resource };
/// let mut table = routing::Table::new(routing::Policy::default());
/// table.configure(&config::Snapshot::new(1).with(name("registry-1"), entry));
///
/// let criteria = routing::Criteria {
///     model: None,
///     adapter: None,
///     group: &group,
///     prefixes: &[],
///     zone: &zone,
///     exclude: &[],
/// };
/// let now = clock::Instant::from_millis(1);
/// assert_eq!(table.pick(now, &criteria, &mut || 0)?, name("registry-1"));
/// # Ok::<(), routing::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Table {
    policy: super::Policy,
    revision: u64,
    upstreams: collections::BTreeMap<name::Name, upstream::Upstream>,
    attempts: collections::BTreeMap<request::Id, attempt::Attempt>,
    latencies: collections::BTreeMap<name::Name, latency::Latency>,
    affinity: affinity::Affinity,
    turn: usize,
    ejected: Vec<name::Name>,
}

impl Table {
    /// Returns an empty table.
    pub fn new(policy: super::Policy) -> Self {
        Self {
            policy,
            revision: 0,
            upstreams: collections::BTreeMap::new(),
            attempts: collections::BTreeMap::new(),
            latencies: collections::BTreeMap::new(),
            affinity: affinity::Affinity::new(policy.max_prefixes),
            turn: 0,
            ejected: Vec::new(),
        }
    }

    /// Takes over the upstreams of a snapshot; an older snapshot than the last one is ignored.
    pub fn configure(&mut self, snapshot: &config::Snapshot) {
        if snapshot.revision() < self.revision {
            return;
        }
        self.revision = snapshot.revision();
        let mut previous = std::mem::take(&mut self.upstreams);
        for (name, resource) in snapshot.upstreams() {
            let kept = previous.remove(name).and_then(|mut known| {
                let is_same = known.configure(resource);
                is_same.then_some(known)
            });
            let known = kept.unwrap_or_else(|| {
                self.affinity.drop_upstream(name);
                upstream::Upstream::new(resource)
            });
            self.upstreams.insert(name.clone(), known);
        }
        for name in previous.keys() {
            self.affinity.drop_upstream(name);
        }
        let kinds: collections::BTreeSet<_> = snapshot
            .models()
            .map(|(name, _)| name)
            .chain(snapshot.upstreams().map(|(_, resource)| &resource.group))
            .collect();
        self.latencies.retain(|kind, _| kinds.contains(kind));
    }

    /// Takes a report, and returns whether it was newer than the last one of its upstream.
    pub fn apply_report(&mut self, now: clock::Instant, load: super::Report) -> bool {
        let name = load.upstream.clone();
        let known = self.upstreams.get_mut(&name);
        let accepted = known.and_then(|known| known.report(now, load, self.policy.max_report_age));
        if accepted == Some(true) {
            // The numbers of cache events may begin again.
            self.affinity.drop_upstream(&name);
        }
        accepted.is_some()
    }

    /// Notes what the host list says about the host of an upstream.
    pub fn set_leaving(&mut self, upstream: &name::Name, leaving: bool) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.listed_leaving = leaving;
        }
    }

    /// Applies a cache event of an upstream.
    pub fn apply_cache_event(
        &mut self,
        upstream: &name::Name,
        sequence: u64,
        event: super::cache::Event,
    ) {
        if self.upstreams.contains_key(upstream) {
            self.affinity.apply(upstream, sequence, event);
        }
    }

    /// Notes that an upstream has processed a prompt with these prefixes, which its cache then holds.
    ///
    /// Engines name the entries of their caches by their own tokens, so that their events alone do not tell which text
    /// they belong to.
    pub fn record_prefixes(&mut self, upstream: &name::Name, prefixes: &[u64]) {
        if self.upstreams.contains_key(upstream) {
            for prefix in prefixes {
                self.affinity.store(upstream, *prefix);
            }
        }
    }

    /// Returns the number of prefixes that are remembered over all upstreams.
    pub fn prefix_count(&self) -> usize {
        self.affinity.len()
    }

    /// Chooses the upstream that runs a request; `random` returns uniform 64-bit numbers.
    ///
    /// # Errors
    ///
    /// Returns an error when no upstream holds what the request needs, or all that do are at their capacity.
    pub fn pick(
        &mut self,
        now: clock::Instant,
        criteria: &super::Criteria<'_>,
        random: &mut impl FnMut() -> u64,
    ) -> super::Result<name::Name> {
        let candidates = self.candidates(now, criteria);
        if candidates.is_empty() {
            return Err(super::Error::NoCandidate);
        }
        let with_capacity: Vec<_> = candidates
            .into_iter()
            .filter(|(_, known)| known.has_capacity())
            .collect();
        // After an ejection one request at a time tests an upstream, except where there is no other.
        let proven = with_capacity
            .iter()
            .filter(|(_, known)| known.is_open())
            .copied()
            .collect::<Vec<_>>();
        let free = if proven.is_empty() {
            with_capacity
        } else {
            proven
        };
        let Some(last) = free.len().checked_sub(1) else {
            return Err(super::Error::AtCapacity);
        };
        let chosen = match self.policy.strategy {
            super::Strategy::Cost => self.cheapest(criteria, &free, random),
            super::Strategy::RoundRobin => free[self.turn % (last + 1)].0,
            super::Strategy::LeastReported => {
                let least = free.iter().min_by_key(|(_, known)| known.reported_load());
                least.unwrap_or(&free[last]).0
            }
        };
        let chosen = chosen.clone();
        self.turn = self.turn.wrapping_add(1);
        Ok(chosen)
    }

    /// Returns whether some upstream could run the request now.
    pub fn can_run(&self, now: clock::Instant, criteria: &super::Criteria<'_>) -> bool {
        let candidates = self.candidates(now, criteria);
        candidates.iter().any(|(_, known)| known.has_capacity())
    }

    /// Notes that a request is sent to `upstream`.
    pub fn record_start(
        &mut self,
        now: clock::Instant,
        id: request::Id,
        upstream: &name::Name,
        criteria: &super::Criteria<'_>,
    ) {
        self.end(id);
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.start();
        }
        let attempt = attempt::Attempt {
            upstream: upstream.clone(),
            kind: criteria.model.unwrap_or(criteria.group).clone(),
            sent: now,
            last_token: None,
            is_stalled: false,
        };
        self.attempts.insert(id, attempt);
    }

    /// Notes the first token, or the head of a service's answer.
    pub fn record_first_token(&mut self, now: clock::Instant, id: request::Id) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            let latency = self.latencies.entry(attempt.kind.clone()).or_default();
            latency.add_first_token(now.since(attempt.sent));
            attempt.last_token = Some(now);
        }
    }

    /// Notes a further token, or a piece of a service's body.
    pub fn record_token(&mut self, now: clock::Instant, id: request::Id) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            if let (Some(last), Some(latency)) =
                (attempt.last_token, self.latencies.get_mut(&attempt.kind))
            {
                latency.add_gap(now.since(last));
            }
            attempt.last_token = Some(now);
        }
    }

    /// Notes that a request's answer is complete.
    pub fn record_success(&mut self, now: clock::Instant, id: request::Id) {
        if let Some(attempt) = self.end(id)
            && let Some(known) = self.upstreams.get_mut(&attempt.upstream)
        {
            known.succeed(now);
        }
    }

    /// Notes that a request ended without a complete answer.
    pub fn record_failure(
        &mut self,
        now: clock::Instant,
        id: request::Id,
        failure: super::Failure,
    ) {
        let Some(attempt) = self.end(id) else { return };
        let Some(known) = self.upstreams.get_mut(&attempt.upstream) else {
            return;
        };
        if failure == super::Failure::Leaving {
            known.refuse_leaving(now);
        } else if failure.is_fault() && !attempt.is_stalled {
            let policy = self.policy;
            if known.strike(now, policy.base_ejection, policy.max_ejection) {
                self.ejected.push(attempt.upstream);
            }
        }
    }

    /// Returns the requests that have newly stalled, with their upstreams, which are ejected.
    ///
    /// The requests stay in flight until [`record_failure`](Self::record_failure) is called for them.
    pub fn detect_stalls(&mut self, now: clock::Instant) -> Vec<(request::Id, name::Name)> {
        let policy = self.policy;
        let limits: collections::BTreeMap<_, _> = self
            .latencies
            .iter()
            .map(|(kind, latency)| {
                let first = latency.first_token_limit(policy.first_token_floor);
                (kind.clone(), (first, latency.gap_limit(policy.gap_floor)))
            })
            .collect();
        let mut stalled = Vec::new();
        let mut without_first = collections::BTreeSet::new();
        for (id, attempt) in self
            .attempts
            .iter_mut()
            .filter(|(_, attempt)| !attempt.is_stalled)
        {
            let limits = limits.get(&attempt.kind);
            let (first, gap) = limits
                .copied()
                .unwrap_or((policy.first_token_floor, policy.gap_floor));
            let (since, limit) = match attempt.last_token {
                None => (attempt.sent, first),
                Some(last) => (last, gap),
            };
            if now.since(since) <= limit {
                continue;
            }
            attempt.is_stalled = true;
            stalled.push((*id, attempt.upstream.clone()));
            if attempt.last_token.is_none() {
                without_first.insert(attempt.kind.clone());
            }
            if let Some(known) = self.upstreams.get_mut(&attempt.upstream)
                && known.strike(now, policy.base_ejection, policy.max_ejection)
            {
                self.ejected.push(attempt.upstream.clone());
            }
        }
        for kind in without_first {
            self.latencies.entry(kind).or_default().add_stall();
        }
        stalled
    }

    /// Returns the upstreams that were ejected since the last call.
    pub fn take_ejected(&mut self) -> Vec<name::Name> {
        std::mem::take(&mut self.ejected)
    }

    /// Returns the time within which 95 in 100 first tokens of a model arrive, or none without a sample.
    pub fn first_token_p95(&self, model: &name::Name) -> Option<time::Duration> {
        self.latencies.get(model)?.first_token_p95()
    }

    /// Returns the number of requests that this host has in flight at `upstream`.
    pub fn in_flight(&self, upstream: &name::Name) -> u32 {
        self.upstreams.get(upstream).map_or(0, |known| known.local)
    }

    fn end(&mut self, id: request::Id) -> Option<attempt::Attempt> {
        let attempt = self.attempts.remove(&id)?;
        if let Some(known) = self.upstreams.get_mut(&attempt.upstream) {
            known.end();
        }
        Some(attempt)
    }

    /// Returns the upstreams that may run the request, without those that are ejected within the bound.
    fn candidates(
        &self,
        now: clock::Instant,
        criteria: &super::Criteria<'_>,
    ) -> Vec<(&name::Name, &upstream::Upstream)> {
        let mut serving: Vec<_> = self
            .upstreams
            .iter()
            .filter(|(_, known)| known.can_serve(now, criteria, self.policy.max_report_age))
            .collect();
        let bound = serving.len() * self.policy.max_ejected_percent / 100;
        let mut ejected: Vec<_> = serving
            .iter()
            .filter(|(_, known)| known.ejected_until() > now)
            .map(|(name, known)| (known.ejected_until(), *name))
            .collect();
        // Beyond the bound, those whose ejection ends first are candidates again.
        ejected.sort_unstable_by(|a, b| b.cmp(a));
        ejected.truncate(bound);
        serving.retain(|(name, _)| !criteria.exclude.contains(name));
        let is_ejected = |name: &name::Name| ejected.iter().any(|(_, ejected)| *ejected == name);
        // An ejected upstream is better than none for a request that has failed at all others.
        let is_last_resort =
            !criteria.exclude.is_empty() && serving.iter().all(|(name, _)| is_ejected(name));
        if !is_last_resort {
            serving.retain(|(name, _)| !is_ejected(name));
        }
        serving
    }

    fn cheapest<'a>(
        &'a self,
        criteria: &super::Criteria<'_>,
        free: &[(&'a name::Name, &'a upstream::Upstream)],
        random: &mut impl FnMut() -> u64,
    ) -> &'a name::Name {
        let first = index(random(), free.len());
        // The second is another one than the first wherever there are two.
        let second = (first + 1 + index(random(), free.len().max(2) - 1)) % free.len();
        let mut compared = vec![free[first], free[second]];
        if !criteria.prefixes.is_empty() {
            let names: Vec<_> = free.iter().map(|(name, _)| *name).collect();
            let holders = self.affinity.holders(criteria.prefixes, &names);
            if !holders.is_empty() {
                let holder = holders[index(random(), holders.len())];
                compared.extend(free.iter().find(|(name, _)| *name == holder));
            }
        }
        let cost = |(name, known): &(&name::Name, &upstream::Upstream)| {
            known.cost(criteria.zone, self.affinity.depth(name, criteria.prefixes))
        };
        compared
            .into_iter()
            .min_by_key(cost)
            .map_or(free[first].0, |(name, _)| name)
    }
}

/// Returns a uniform index below `length` from a uniform number.
fn index(random: u64, length: usize) -> usize {
    let scaled = (u128::from(random) * length as u128) >> 64;
    scaled as usize
}
