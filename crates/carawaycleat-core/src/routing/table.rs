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

/// The upstreams as known to one entry host, and the attempts that it has in flight at them.
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
    /// The number of selected upstreams, for [`RoundRobin`](super::Strategy::RoundRobin).
    picks: usize,
    /// The upstreams that were ejected since the last call of [`take_ejected`](Self::take_ejected).
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
            picks: 0,
            ejected: Vec::new(),
        }
    }

    /// Applies the upstreams of a snapshot. A snapshot older than the last one is ignored.
    pub fn configure(&mut self, snapshot: &config::Snapshot) {
        if snapshot.revision() < self.revision {
            return;
        }
        self.revision = snapshot.revision();
        let mut previous = std::mem::take(&mut self.upstreams);
        for (name, resource) in snapshot.upstreams() {
            let kept = previous.remove(name).and_then(|mut state| {
                let is_same = state.configure(resource);
                is_same.then_some(state)
            });
            let state = kept.unwrap_or_else(|| {
                self.affinity.remove_upstream(name);
                upstream::Upstream::new(resource)
            });
            self.upstreams.insert(name.clone(), state);
        }
        for name in previous.keys() {
            self.affinity.remove_upstream(name);
        }
        let latency_keys: collections::BTreeSet<_> = snapshot
            .models()
            .map(|(name, _)| name)
            .chain(snapshot.upstreams().map(|(_, resource)| &resource.group))
            .collect();
        self.latencies.retain(|key, _| latency_keys.contains(key));
    }

    /// Applies a report, and returns whether it was newer than the last one of its upstream.
    pub fn apply_report(&mut self, now: clock::Instant, report: super::Report) -> bool {
        let name = report.upstream.clone();
        let state = self.upstreams.get_mut(&name);
        let accepted =
            state.and_then(|state| state.apply_report(now, report, self.policy.max_report_age));
        if accepted == Some(true) {
            // A restart empties the cache and may reset the sequence numbers of its events.
            self.affinity.remove_upstream(&name);
        }
        accepted.is_some()
    }

    /// Records whether the platform's list of live and leaving hosts says that the host of an upstream is leaving.
    pub fn set_leaving(&mut self, upstream: &name::Name, leaving: bool) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.listed_leaving = leaving;
        }
    }

    /// Applies an event of an upstream's prefix cache.
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

    /// Records that an upstream has processed a prompt with these prefixes, so that they are now in its cache.
    ///
    /// Engines identify cache entries by their own tokens, so cache events alone do not say which text an entry belongs
    /// to.
    pub fn record_prefixes(&mut self, upstream: &name::Name, prefixes: &[u64]) {
        if self.upstreams.contains_key(upstream) {
            for prefix in prefixes {
                self.affinity.store(upstream, *prefix);
            }
        }
    }

    /// Returns the total number of prefixes that are stored for all upstreams.
    pub fn prefix_count(&self) -> usize {
        self.affinity.len()
    }

    /// Selects the upstream that runs a request. `random` returns uniformly distributed 64-bit numbers.
    ///
    /// # Errors
    ///
    /// Returns an error when no available upstream has what the request needs, or all that have it are at capacity.
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
            .filter(|(_, state)| state.has_capacity())
            .collect();
        // After an ejection an upstream gets one request at a time until one succeeds, unless there is no other.
        let permitted = with_capacity
            .iter()
            .filter(|(_, state)| state.permits_request())
            .copied()
            .collect::<Vec<_>>();
        let free = if permitted.is_empty() {
            with_capacity
        } else {
            permitted
        };
        let Some(last_index) = free.len().checked_sub(1) else {
            return Err(super::Error::AtCapacity);
        };
        let selected = match self.policy.strategy {
            super::Strategy::Cost => self.lowest_cost(criteria, &free, random),
            super::Strategy::RoundRobin => free[self.picks % (last_index + 1)].0,
            super::Strategy::LeastReportedLoad => {
                let least_loaded = free.iter().min_by_key(|(_, state)| state.reported_load());
                least_loaded.unwrap_or(&free[last_index]).0
            }
        };
        let selected = selected.clone();
        self.picks = self.picks.wrapping_add(1);
        Ok(selected)
    }

    /// Returns whether some upstream could run the request now.
    pub fn can_run(&self, now: clock::Instant, criteria: &super::Criteria<'_>) -> bool {
        let candidates = self.candidates(now, criteria);
        candidates.iter().any(|(_, state)| state.has_capacity())
    }

    /// Records that an attempt is sent to `upstream`.
    pub fn record_start(
        &mut self,
        now: clock::Instant,
        id: request::Id,
        upstream: &name::Name,
        criteria: &super::Criteria<'_>,
    ) {
        self.end(id);
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.record_start();
        }
        let attempt = attempt::Attempt {
            upstream: upstream.clone(),
            latency_key: criteria.model.unwrap_or(criteria.group).clone(),
            sent_at: now,
            last_token_at: None,
            is_stalled: false,
        };
        self.attempts.insert(id, attempt);
    }

    /// Records the first token of a response, or the head of a response without tokens.
    pub fn record_first_token(&mut self, now: clock::Instant, id: request::Id) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            let latency = self
                .latencies
                .entry(attempt.latency_key.clone())
                .or_default();
            if !attempt.is_stalled {
                latency.add_first_token(now.since(attempt.sent_at));
            }
            attempt.last_token_at = Some(now);
            self.end_stall(now, id);
        }
    }

    /// Records a further token, or a chunk of the body of a response without tokens.
    pub fn record_token(&mut self, now: clock::Instant, id: request::Id) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            if let (Some(last), Some(latency), false) = (
                attempt.last_token_at,
                self.latencies.get_mut(&attempt.latency_key),
                attempt.is_stalled,
            ) {
                latency.add_gap(now.since(last));
            }
            attempt.last_token_at = Some(now);
            self.end_stall(now, id);
        }
    }

    /// Ends the stall of an attempt that has made progress, and the ejection of its upstream for it.
    fn end_stall(&mut self, now: clock::Instant, id: request::Id) {
        if let Some(attempt) = self.attempts.get_mut(&id)
            && std::mem::take(&mut attempt.is_stalled)
            && let Some(state) = self.upstreams.get_mut(&attempt.upstream)
        {
            state.record_progress(now);
        }
    }

    /// Records that the response to an attempt is complete.
    pub fn record_success(&mut self, now: clock::Instant, id: request::Id) {
        if let Some(attempt) = self.end(id)
            && let Some(state) = self.upstreams.get_mut(&attempt.upstream)
        {
            state.record_success(now);
        }
    }

    /// Records that an attempt ended without a complete response.
    pub fn record_failure(
        &mut self,
        now: clock::Instant,
        id: request::Id,
        failure: super::Failure,
    ) {
        let Some(attempt) = self.end(id) else { return };
        let Some(state) = self.upstreams.get_mut(&attempt.upstream) else {
            return;
        };
        if failure == super::Failure::Leaving {
            state.record_leaving_refusal(now);
        } else if failure == super::Failure::Unconnected {
            // No evidence of a fault: the upstream may be busy, or the network slow for a moment.
            if state.eject_briefly(now, self.policy.base_ejection) {
                self.ejected.push(attempt.upstream);
            }
        } else if failure.is_fault() && !attempt.is_stalled {
            // The upstream of a stalled attempt was ejected when the stall was detected.
            let policy = self.policy;
            if state.eject(now, policy.base_ejection, policy.max_ejection) {
                self.ejected.push(attempt.upstream);
            }
        }
    }

    /// Returns the attempts that have stalled since the last call, with their upstreams, and ejects these upstreams.
    ///
    /// The attempts stay in flight until [`record_failure`](Self::record_failure) is called for them. One that makes
    /// progress again can stall anew.
    pub fn detect_stalls(&mut self, now: clock::Instant) -> Vec<(request::Id, name::Name)> {
        let policy = self.policy;
        let timeouts: collections::BTreeMap<_, _> = self
            .latencies
            .iter()
            .map(|(key, latency)| {
                let first = latency.first_token_timeout(policy.min_first_token_timeout);
                (
                    key.clone(),
                    (first, latency.gap_timeout(policy.min_gap_timeout)),
                )
            })
            .collect();
        let mut stalled = Vec::new();
        let mut without_first_token = collections::BTreeSet::new();
        for (id, attempt) in self
            .attempts
            .iter_mut()
            .filter(|(_, attempt)| !attempt.is_stalled)
        {
            let timeouts = timeouts.get(&attempt.latency_key);
            let (first, gap) = timeouts
                .copied()
                .unwrap_or((policy.min_first_token_timeout, policy.min_gap_timeout));
            let (since, timeout) = match attempt.last_token_at {
                None => (attempt.sent_at, first),
                Some(last) => (last, gap),
            };
            if now.since(since) <= timeout {
                continue;
            }
            attempt.is_stalled = true;
            stalled.push((*id, attempt.upstream.clone()));
            if attempt.last_token_at.is_none() {
                without_first_token.insert(attempt.latency_key.clone());
            }
            if let Some(state) = self.upstreams.get_mut(&attempt.upstream)
                && state.eject_silent(now, policy.base_ejection, policy.max_ejection)
            {
                self.ejected.push(attempt.upstream.clone());
            }
        }
        for key in without_first_token {
            self.latencies.entry(key).or_default().add_stall();
        }
        stalled
    }

    /// Returns the upstreams that were ejected since the last call.
    pub fn take_ejected(&mut self) -> Vec<name::Name> {
        std::mem::take(&mut self.ejected)
    }

    /// Returns the 95th percentile of the time to a model's first token, or none without a sample.
    pub fn first_token_p95(&self, model: &name::Name) -> Option<time::Duration> {
        self.latencies.get(model)?.first_token_p95()
    }

    /// Returns the number of requests that this host has in flight at `upstream`.
    pub fn in_flight(&self, upstream: &name::Name) -> u32 {
        self.upstreams
            .get(upstream)
            .map_or(0, |state| state.local_in_flight)
    }

    fn end(&mut self, id: request::Id) -> Option<attempt::Attempt> {
        let attempt = self.attempts.remove(&id)?;
        if let Some(state) = self.upstreams.get_mut(&attempt.upstream) {
            state.record_end();
        }
        Some(attempt)
    }

    /// Returns the upstreams that can run the request. Ejected ones are left out up to the percentage that the policy
    /// allows.
    fn candidates(
        &self,
        now: clock::Instant,
        criteria: &super::Criteria<'_>,
    ) -> Vec<(&name::Name, &upstream::Upstream)> {
        let mut serving: Vec<_> = self
            .upstreams
            .iter()
            .filter(|(_, state)| state.can_serve(now, criteria, self.policy.max_report_age))
            .collect();
        let max_ejected = serving.len() * self.policy.max_ejected_percent / 100;
        let mut ejected: Vec<_> = serving
            .iter()
            .filter(|(_, state)| state.ejected_until() > now)
            .map(|(name, state)| (state.ejected_until(), *name))
            .collect();
        // When too many are ejected, those whose ejection ends first are candidates again.
        ejected.sort_unstable_by(|a, b| b.cmp(a));
        ejected.truncate(max_ejected);
        serving.retain(|(name, _)| !criteria.exclude.contains(name));
        let is_ejected = |name: &name::Name| ejected.iter().any(|(_, ejected)| *ejected == name);
        // A request that has failed at all other upstreams is sent to an ejected one rather than to none.
        let is_last_resort =
            !criteria.exclude.is_empty() && serving.iter().all(|(name, _)| is_ejected(name));
        if !is_last_resort {
            serving.retain(|(name, _)| !is_ejected(name));
        }
        serving
    }

    /// Returns the upstream with the lowest cost among two random ones and one with the longest cached prefix.
    fn lowest_cost<'a>(
        &'a self,
        criteria: &super::Criteria<'_>,
        free: &[(&'a name::Name, &'a upstream::Upstream)],
        random: &mut impl FnMut() -> u64,
    ) -> &'a name::Name {
        let first = index(random(), free.len());
        // The second differs from the first when there are at least two.
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
        let cost = |(name, state): &(&name::Name, &upstream::Upstream)| {
            state.cost(
                criteria.zone,
                self.affinity.cached_depth(name, criteria.prefixes),
            )
        };
        compared
            .into_iter()
            .min_by_key(cost)
            .map_or(free[first].0, |(name, _)| name)
    }
}

/// Maps a uniformly distributed number to a uniformly distributed index below `length`.
fn index(random: u64, length: usize) -> usize {
    let scaled = (u128::from(random) * length as u128) >> 64;
    scaled as usize
}
