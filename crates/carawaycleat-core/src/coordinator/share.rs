use std::collections;

use crate::clock;
use crate::flow;
use crate::name;

/// The part of an allowance that is divided evenly, so that a host whose demand begins can serve at once.
const EVEN_PART: f64 = 0.35;
/// The most that a host gets, relative to an even part. A host that has lost the coordinator uses an even part while
/// the others keep what they were given, so the sum stays close to the whole.
const MAX_FACTOR: f64 = 2.5;

/// The division of the workspaces' allowances among the hosts.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    usage: flow::Flow<(name::Name, name::Name)>,
    workspaces: collections::BTreeSet<name::Name>,
}

impl Shares {
    pub(super) fn record(
        &mut self,
        now: clock::Instant,
        host: &name::Name,
        usage: &[(name::Name, u64)],
    ) {
        for (workspace, tokens) in usage {
            let key = (workspace.clone(), host.clone());
            self.usage.add(now, &key, *tokens as f64);
            self.workspaces.insert(workspace.clone());
        }
    }

    /// Returns the parts of `host` when `hosts` are there.
    pub(super) fn of(
        &self,
        now: clock::Instant,
        host: &name::Name,
        hosts: &[name::Name],
    ) -> Vec<(name::Name, f64)> {
        let even = 1.0 / hosts.len().max(1) as f64;
        let part = |workspace: &name::Name| {
            let rate = |host: &name::Name| {
                let key = (workspace.clone(), host.clone());
                self.usage.rate(now, &key)
            };
            let total: f64 = hosts.iter().map(rate).sum();
            let proportional = if total > 0.0 {
                rate(host) / total
            } else {
                even
            };
            let share = EVEN_PART * even + (1.0 - EVEN_PART) * proportional;
            (workspace.clone(), share.min(MAX_FACTOR * even))
        };
        self.workspaces.iter().map(part).collect()
    }
}
