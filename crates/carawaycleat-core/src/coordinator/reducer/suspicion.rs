//! Upstreams that several hosts suspect of having failed.

use std::collections;

use crate::clock;
use crate::name;

/// One in this many hosts must suspect an upstream before all hosts avoid it. A host suspects the upstreams that it has
/// ejected, unless they have only been silent for a short time.
const SUSPICION_DIVISOR: usize = 8;
/// The minimum number of hosts that must suspect an upstream before all hosts avoid it.
const MIN_SUSPECTING_HOSTS: usize = 2;

impl super::Reducer {
    /// Returns whether enough hosts get no responses from an upstream for all of them to avoid it.
    pub(in crate::coordinator) fn is_suspect(&self, id: &name::Name) -> bool {
        self.suspects.contains(id)
    }

    /// Finds the upstreams that enough hosts get no responses from.
    pub(super) fn find_suspects(&mut self, now: clock::Instant) {
        let fresh = self
            .hosts
            .values()
            .filter(|host| now.since(host.received_at) < super::MAX_REPORT_AGE);
        let mut counts = collections::HashMap::<&name::Name, usize>::new();
        let mut hosts = 0;
        for host in fresh {
            hosts += 1;
            for id in &host.report.suspects {
                *counts.entry(id).or_default() += 1;
            }
        }
        // In a large fleet most hosts send few requests to any one upstream, so few of them notice a failure.
        let threshold = (hosts / SUSPICION_DIVISOR)
            .max(MIN_SUSPECTING_HOSTS)
            .min(hosts);
        let suspects = counts
            .into_iter()
            .filter(|(_, count)| *count >= threshold.max(1));
        self.suspects = suspects.map(|(id, _)| id.clone()).collect();
    }
}
