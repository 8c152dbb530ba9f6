use std::collections;

use crate::clock;
use crate::flow;
use crate::name;
use crate::relay;

/// The part of the shares that is divided evenly, so that a host whose demand begins can serve at once.
const EVEN_PART: f64 = 0.35;
/// The most that a host gets, relative to an even part.
const MAX_FACTOR: f64 = 2.5;
/// The most of an allowance that hosts use without asking. The rest balances what the shares foresee badly.
const MAX_LOCAL: f64 = 0.6;
/// The tokens a second that a host's part must have on average to be of use: several requests a second. Smaller
/// allowances are kept together.
const LOCAL_RATE: f64 = 5_000.0;

/// A workspace's allowance as it is divided.
#[derive(Clone, Debug)]
struct Entry {
    rate: u64,
    burst: u64,
    /// The part that no host may use without asking.
    central: relay::Allowance,
}

/// The division of the workspaces' allowances among the hosts.
///
/// A part of each allowance is given to the hosts in shares that follow their demand, and the rest is granted request
/// by request. A host that may serve but does not report uses an even part of the whole by itself, so as much is kept
/// back for it.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    usage: flow::Flow<(name::Name, name::Name)>,
    entries: collections::BTreeMap<name::Name, Entry>,
    /// The hosts that may serve.
    hosts: collections::BTreeSet<name::Name>,
}

impl Shares {
    pub(super) fn set_hosts(&mut self, hosts: Vec<name::Name>) {
        self.hosts = hosts.into_iter().collect();
    }

    /// Returns the number of hosts that may serve.
    pub(super) fn hosts(&self) -> usize {
        self.hosts.len()
    }

    pub(super) fn configure(&mut self, now: clock::Instant, workspaces: Vec<relay::Workspace>) {
        let mut before = std::mem::take(&mut self.entries);
        for workspace in workspaces {
            let (rate, burst) = (workspace.rate, workspace.burst);
            let central = before
                .remove(&workspace.name)
                .map(|entry| entry.central)
                .unwrap_or_else(|| relay::Allowance::new(now, rate, burst, 0.5));
            let entry = Entry {
                rate,
                burst,
                central,
            };
            self.entries.insert(workspace.name, entry);
        }
    }

    /// Empties what is granted request by request, because another coordinator may just have granted it.
    pub(super) fn restart(&mut self, now: clock::Instant) {
        for entry in self.entries.values_mut() {
            entry.central = relay::Allowance::new(now, entry.rate, entry.burst, 0.5);
        }
    }

    pub(super) fn record(
        &mut self,
        now: clock::Instant,
        host: &name::Name,
        usage: &[(name::Name, u64)],
    ) {
        for (workspace, tokens) in usage {
            let key = (workspace.clone(), host.clone());
            self.usage.add(now, &key, *tokens as f64);
        }
    }

    fn count(&self, reporting: usize) -> f64 {
        self.hosts.len().max(reporting).max(1) as f64
    }

    /// Returns the part of an allowance that hosts use without asking.
    fn local(entry: &Entry, hosts: f64) -> f64 {
        (entry.rate as f64 / (hosts * LOCAL_RATE)).min(MAX_LOCAL)
    }

    /// Grants the tokens of requests in their order, and returns how many requests of each workspace have them.
    pub(super) fn grant(
        &mut self,
        now: clock::Instant,
        wants: &[(name::Name, u64)],
        reporting: usize,
    ) -> Vec<(name::Name, u32)> {
        let hosts = self.count(reporting);
        let heard = reporting as f64 / hosts;
        let mut grants = collections::BTreeMap::new();
        let mut exhausted = collections::BTreeSet::new();
        for (workspace, tokens) in wants {
            let Some(entry) = self.entries.get_mut(workspace) else {
                continue;
            };
            let share = (1.0 - Self::local(entry, hosts)) * heard;
            entry.central.set(now, entry.rate, entry.burst, share);
            if !exhausted.contains(workspace) && entry.central.take(now, *tokens).is_ok() {
                *grants.entry(workspace.clone()).or_insert(0) += 1;
            } else {
                exhausted.insert(workspace.clone());
            }
        }
        grants.into_iter().collect()
    }

    /// Returns the parts that `host` uses without asking, when `reporting` hosts are heard.
    pub(super) fn of(
        &self,
        now: clock::Instant,
        host: &name::Name,
        reporting: &[name::Name],
    ) -> Vec<(name::Name, f64)> {
        let hosts = self.count(reporting.len());
        let even = 1.0 / hosts;
        let heard = reporting.len() as f64 / hosts;
        let part = |(workspace, entry): (&name::Name, &Entry)| {
            let rate = |host: &name::Name| {
                let key = (workspace.clone(), host.clone());
                self.usage.rate(now, &key)
            };
            let total: f64 = reporting.iter().map(rate).sum();
            let proportional = if total > 0.0 {
                heard * rate(host) / total
            } else {
                even
            };
            let share = EVEN_PART * even + (1.0 - EVEN_PART) * proportional;
            let share = share.min(MAX_FACTOR * even) * Self::local(entry, hosts);
            (workspace.clone(), share)
        };
        self.entries.iter().map(part).collect()
    }
}
