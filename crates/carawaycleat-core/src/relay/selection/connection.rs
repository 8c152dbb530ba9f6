//! The upstreams that a host prefers, so that its connections are used again.

use std::cmp;

use crate::relay::config;
use crate::relay::upstream;

/// The replicas of a model from which a host prefers some. With two, the less loaded one is always better.
const MIN_REPLICAS: usize = 3;
/// The replicas that a host prefers. Requests that may run once reuse a connection for 0.4 s only, so that the requests of a
/// host have to stay together.
const PREFERRED_REPLICAS: usize = 2;
/// By how much the load of a preferred upstream may exceed the mean, as a fraction of its slots. Views are up to 0.35 s old, so
/// that smaller differences say little.
const MAX_EXTRA_LOAD: f64 = 0.15;

impl super::Selector<'_> {
    /// Returns those of the available upstreams that the host prefers, or all if these are clearly busier; of them those with an
    /// idle connection, if there are any that are not clearly busier.
    pub(super) fn narrow<'a>(
        &self,
        available: Vec<&'a upstream::Upstream>,
    ) -> Vec<&'a upstream::Upstream> {
        if self.service.balancing == config::Balancing::Requests {
            return available;
        }
        let preferred = if self.service.engine.is_some() {
            self.preferred_replicas(&available)
        } else {
            let is_own = |upstream: &&upstream::Upstream| {
                let bound = upstream.bound;
                bound.is_some_and(|bound| bound.is_own)
            };
            available.iter().copied().filter(is_own).collect()
        };
        let candidates = if preferred.is_empty() {
            self.without_busy(available)
        } else {
            preferred
        };
        let max_load = self.max_load(&candidates);
        let is_connected = |upstream: &&upstream::Upstream| {
            upstream.has_idle_connection(self.now) && self.load_of(upstream) <= max_load
        };
        let connected: Vec<_> = candidates.iter().copied().filter(is_connected).collect();
        if connected.is_empty() {
            candidates
        } else {
            connected
        }
    }

    /// Returns the upstreams that are not clearly busier than the others; all of them where there are few.
    fn without_busy<'a>(
        &self,
        mut upstreams: Vec<&'a upstream::Upstream>,
    ) -> Vec<&'a upstream::Upstream> {
        if upstreams.len() >= MIN_REPLICAS && self.service.engine.is_some() {
            let max_load = self.max_load(&upstreams);
            upstreams.retain(|upstream| self.load_of(upstream) <= max_load);
        }
        upstreams
    }

    fn load_of(&self, upstream: &upstream::Upstream) -> f64 {
        upstream.load(self.slots(upstream))
    }

    /// Returns the load from which an upstream is clearly busier than the others.
    fn max_load(&self, upstreams: &[&upstream::Upstream]) -> f64 {
        let sum: f64 = upstreams
            .iter()
            .map(|upstream| self.load_of(upstream))
            .sum();
        sum / upstreams.len().max(1) as f64 + MAX_EXTRA_LOAD
    }

    /// Returns the preferred replicas that are not clearly busier than the others: those of the host's availability zone first.
    fn preferred_replicas<'a>(
        &self,
        available: &[&'a upstream::Upstream],
    ) -> Vec<&'a upstream::Upstream> {
        if available.len() < MIN_REPLICAS {
            return Vec::new();
        }
        let max_load = self.max_load(available);
        let mut ordered = available.to_vec();
        ordered.sort_by_key(|upstream| {
            let affinity = upstream.bound.map_or(0, |bound| bound.affinity);
            let is_remote = upstream.registration.zone != *self.zone;
            (is_remote, cmp::Reverse(affinity))
        });
        ordered.truncate(PREFERRED_REPLICAS);
        ordered.retain(|upstream| self.load_of(upstream) <= max_load);
        ordered
    }
}
