//! The upstreams that a host prefers, so that its connections are used again.

use std::cmp;

use crate::relay::config;
use crate::relay::upstream;

/// The replicas of a model from which a host prefers some. With two, the less loaded one is always better.
const MIN_REPLICAS: usize = 3;
/// The replicas that a host prefers. Requests that may run once reuse a connection for 0.4 s only, so that the requests of a
/// host have to stay together.
const PREFERRED_REPLICAS: usize = 2;
/// By how much the load of a preferred replica may exceed the mean, as a fraction of its slots. Views are up to 0.35 s old, so
/// that smaller differences say little.
const MAX_EXTRA_LOAD: f64 = 0.15;

impl super::Selector<'_> {
    /// Returns those of the available upstreams that the host prefers, or all if these are clearly busier.
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
        if preferred.is_empty() {
            available
        } else {
            preferred
        }
    }

    /// Returns the preferred replicas that are not clearly busier than the others: those of the host's availability zone first.
    fn preferred_replicas<'a>(
        &self,
        available: &[&'a upstream::Upstream],
    ) -> Vec<&'a upstream::Upstream> {
        if available.len() < MIN_REPLICAS {
            return Vec::new();
        }
        let load = |upstream: &upstream::Upstream| upstream.load(self.slots(upstream));
        let sum: f64 = available.iter().map(|upstream| load(upstream)).sum();
        let max_load = sum / available.len() as f64 + MAX_EXTRA_LOAD;
        let mut ordered = available.to_vec();
        ordered.sort_by_key(|upstream| {
            let affinity = upstream.bound.map_or(0, |bound| bound.affinity);
            let is_remote = upstream.registration.zone != *self.zone;
            (is_remote, cmp::Reverse(affinity))
        });
        ordered.truncate(PREFERRED_REPLICAS);
        ordered.retain(|upstream| load(upstream) <= max_load);
        ordered
    }
}
