use std::collections;
use std::time;

use crate::clock;
use crate::meter;
use crate::name;
use crate::relay;

/// The part of the shares that is divided evenly, so that a host whose demand begins can serve at once.
const EVEN_PART: f64 = 0.35;
/// The most that a host gets, relative to an even part.
const MAX_FACTOR: f64 = 2.5;
/// The most of an allowance that hosts use without asking. The rest balances what the shares foresee badly.
const MAX_LOCAL: f64 = 0.6;
/// The part of the shares for the time without a coordinator that is divided evenly.
const EVEN_PART_ALONE: f64 = 0.2;
/// The time over which the demand is averaged that these shares follow: several requests of each host.
const ALONE_MEMORY: time::Duration = time::Duration::from_secs(8);
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
    /// The part that each host was told to use while it does not hear the coordinator.
    alone: collections::BTreeMap<name::Name, f64>,
}

impl Entry {
    fn new(now: clock::Instant, rate: u64, burst: u64) -> Self {
        Self {
            rate,
            burst,
            central: relay::Allowance::new(now, rate, burst, 0.5),
            alone: collections::BTreeMap::new(),
        }
    }

    /// Returns the part of the allowance that is left beside what silent hosts use.
    fn heard<'a>(&self, silent: impl Iterator<Item = &'a name::Name>, even: f64) -> f64 {
        let kept: f64 = silent
            .map(|host| self.alone.get(host).copied().unwrap_or(even))
            .sum();
        (1.0 - kept).max(0.0)
    }
}

/// The division of the workspaces' allowances among the hosts.
///
/// A part of each allowance is given to the hosts in shares that follow their demand, and the rest is granted request
/// by request. A host that may serve but does not report uses the part that it was given for this case, or an even part,
/// so as much is kept back for it.
#[derive(Clone, Debug)]
pub(super) struct Shares {
    usage: meter::Meter<(name::Name, name::Name)>,
    lasting_usage: meter::Meter<(name::Name, name::Name)>,
    entries: collections::BTreeMap<name::Name, Entry>,
    /// The hosts that may serve.
    hosts: collections::BTreeSet<name::Name>,
}

impl Default for Shares {
    fn default() -> Self {
        Self {
            usage: meter::Meter::default(),
            lasting_usage: meter::Meter::with_time_constant(ALONE_MEMORY),
            entries: collections::BTreeMap::new(),
            hosts: collections::BTreeSet::new(),
        }
    }
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
            let mut entry = before
                .remove(&workspace.name)
                .unwrap_or_else(|| Entry::new(now, rate, burst));
            (entry.rate, entry.burst) = (rate, burst);
            self.entries.insert(workspace.name, entry);
        }
    }

    /// Empties what is granted request by request, because another coordinator may just have granted it.
    pub(super) fn restart(&mut self, now: clock::Instant) {
        for entry in self.entries.values_mut() {
            *entry = Entry::new(now, entry.rate, entry.burst);
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
            self.lasting_usage.add(now, &key, *tokens as f64);
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
        reporting: &[name::Name],
    ) -> Vec<(name::Name, u32)> {
        let hosts = self.count(reporting.len());
        let silent = self.hosts.iter().filter(|host| !reporting.contains(host));
        let silent: Vec<_> = silent.collect();
        let mut grants = collections::BTreeMap::new();
        let mut exhausted = collections::BTreeSet::new();
        for (workspace, tokens) in wants {
            let Some(entry) = self.entries.get_mut(workspace) else {
                continue;
            };
            let heard = entry.heard(silent.iter().copied(), 1.0 / hosts);
            let share = (1.0 - Self::local(entry, hosts)) * heard;
            entry.central.update(now, entry.rate, entry.burst, share);
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
        &mut self,
        now: clock::Instant,
        host: &name::Name,
        reporting: &[name::Name],
    ) -> Vec<relay::Share> {
        let hosts = self.count(reporting.len());
        let even = 1.0 / hosts;
        let silent = self.hosts.iter().filter(|host| !reporting.contains(host));
        let silent: Vec<_> = silent.collect();
        let mut shares = Vec::new();
        for (workspace, entry) in &mut self.entries {
            let heard = entry.heard(silent.iter().copied(), even);
            let part = |usage: &meter::Meter<_>| {
                let rate = |host: &name::Name| usage.rate(now, &(workspace.clone(), host.clone()));
                let total: f64 = reporting.iter().map(rate).sum();
                if total > 0.0 {
                    heard * rate(host) / total
                } else {
                    even
                }
            };
            let local = EVEN_PART * even + (1.0 - EVEN_PART) * part(&self.usage);
            let local = local.min(MAX_FACTOR * even) * Self::local(entry, hosts);
            let lasting = part(&self.lasting_usage);
            let alone = EVEN_PART_ALONE * even + (1.0 - EVEN_PART_ALONE) * lasting;
            entry.alone.insert(host.clone(), alone);
            shares.push(relay::Share {
                workspace: workspace.clone(),
                with_coordinator: local,
                without_coordinator: alone,
            });
        }
        shares
    }
}
