use std::collections;
use std::time;

use crate::clock;
use crate::meter;
use crate::name;
use crate::relay;

/// The fraction of the local tokens that is divided equally, so that a host can serve at once when its demand begins.
const EQUAL_FRACTION: f64 = 0.35;
/// The highest share of a host, relative to an equal share.
const MAX_SHARE_FACTOR: f64 = 2.5;
/// The highest fraction of an allowance that hosts use without a request to the coordinator. The rest compensates for
/// demand that the shares do not predict.
const MAX_LOCAL_FRACTION: f64 = 0.6;
/// The fraction that is divided equally of the shares for the time without a coordinator.
const FALLBACK_EQUAL_FRACTION: f64 = 0.2;
/// The time constant of the average demand that these shares follow. It covers several requests of each host.
const FALLBACK_TIME_CONSTANT: time::Duration = time::Duration::from_secs(8);
/// The average rate, in tokens per second, from which the local tokens of a host cover several requests a second.
/// Smaller allowances stay mostly with the coordinator.
const USEFUL_LOCAL_RATE: f64 = 5_000.0;

/// A workspace's allowance and its division.
#[derive(Clone, Debug)]
struct Division {
    rate: u64,
    burst: u64,
    /// What the coordinator grants request by request.
    central: relay::Allowance,
    /// The share of the allowance that each host was given for the time without a coordinator.
    fallback_shares: collections::BTreeMap<name::Name, f64>,
}

impl Division {
    fn new(now: clock::Instant, rate: u64, burst: u64) -> Self {
        Self {
            rate,
            burst,
            central: relay::Allowance::new(now, rate, burst, 0.5),
            fallback_shares: collections::BTreeMap::new(),
        }
    }

    /// Returns the share of the allowance for reporting hosts: all but what silent hosts use without a coordinator.
    fn reporting_share<'a>(
        &self,
        silent: impl Iterator<Item = &'a name::Name>,
        equal_share: f64,
    ) -> f64 {
        let withheld: f64 = silent
            .map(|host| {
                self.fallback_shares
                    .get(host)
                    .copied()
                    .unwrap_or(equal_share)
            })
            .sum();
        (1.0 - withheld).max(0.0)
    }
}

/// The division of the workspaces' allowances among the hosts.
///
/// One part of each allowance is divided among the hosts in shares that follow their demand, and the coordinator grants
/// the rest request by request. A host that may serve requests but does not report uses the share that it was given for
/// the time without a coordinator, or an equal share, so that much is withheld for it.
#[derive(Clone, Debug)]
pub(super) struct Shares {
    /// The tokens requested by each workspace at each host.
    usage: meter::Meter<(name::Name, name::Name)>,
    /// The same, averaged over a longer time.
    long_term_usage: meter::Meter<(name::Name, name::Name)>,
    divisions: collections::BTreeMap<name::Name, Division>,
    /// The hosts that may serve requests.
    hosts: collections::BTreeSet<name::Name>,
}

impl Default for Shares {
    fn default() -> Self {
        Self {
            usage: meter::Meter::default(),
            long_term_usage: meter::Meter::with_time_constant(FALLBACK_TIME_CONSTANT),
            divisions: collections::BTreeMap::new(),
            hosts: collections::BTreeSet::new(),
        }
    }
}

impl Shares {
    pub(super) fn set_hosts(&mut self, hosts: Vec<name::Name>) {
        self.hosts = hosts.into_iter().collect();
    }

    /// Returns the hosts that may serve requests.
    pub(super) fn hosts(&self) -> impl Iterator<Item = &name::Name> {
        self.hosts.iter()
    }

    /// Returns the number of hosts that may serve requests.
    pub(super) fn host_count(&self) -> usize {
        self.hosts.len()
    }

    pub(super) fn configure(&mut self, now: clock::Instant, workspaces: Vec<relay::Workspace>) {
        let mut previous = std::mem::take(&mut self.divisions);
        for workspace in workspaces {
            let (rate, burst) = (workspace.rate, workspace.burst);
            let mut division = previous
                .remove(&workspace.name)
                .unwrap_or_else(|| Division::new(now, rate, burst));
            (division.rate, division.burst) = (rate, burst);
            self.divisions.insert(workspace.name, division);
        }
    }

    /// Resets what is granted request by request to a part of the burst, because another coordinator may just have
    /// granted it.
    pub(super) fn restart(&mut self, now: clock::Instant) {
        for division in self.divisions.values_mut() {
            *division = Division::new(now, division.rate, division.burst);
        }
    }

    pub(super) fn record_usage(
        &mut self,
        now: clock::Instant,
        host: &name::Name,
        usage: &[(name::Name, u64)],
    ) {
        for (workspace, tokens) in usage {
            let key = (workspace.clone(), host.clone());
            self.usage.add(now, &key, *tokens as f64);
            self.long_term_usage.add(now, &key, *tokens as f64);
        }
    }

    /// Returns the number of hosts to divide by: those that may serve requests, or those that report if they are more.
    fn divisor(&self, reporting: usize) -> f64 {
        self.hosts.len().max(reporting).max(1) as f64
    }

    /// Returns the fraction of an allowance that hosts use without a request to the coordinator.
    fn local_fraction(division: &Division, hosts: f64) -> f64 {
        (division.rate as f64 / (hosts * USEFUL_LOCAL_RATE)).min(MAX_LOCAL_FRACTION)
    }

    /// Grants tokens to requests in the order given, and returns how many requests of each workspace got theirs. After
    /// the first request of a workspace that gets none, its later ones get none either.
    pub(super) fn grant(
        &mut self,
        now: clock::Instant,
        token_requests: &[(name::Name, u64)],
        reporting: &[name::Name],
    ) -> Vec<(name::Name, u32)> {
        let hosts = self.divisor(reporting.len());
        let silent = self.hosts.iter().filter(|host| !reporting.contains(host));
        let silent: Vec<_> = silent.collect();
        let mut grants = collections::BTreeMap::new();
        let mut exhausted = collections::BTreeSet::new();
        for (workspace, tokens) in token_requests {
            let Some(division) = self.divisions.get_mut(workspace) else {
                continue;
            };
            let reporting_share = division.reporting_share(silent.iter().copied(), 1.0 / hosts);
            let share = (1.0 - Self::local_fraction(division, hosts)) * reporting_share;
            division
                .central
                .update(now, division.rate, division.burst, share);
            if !exhausted.contains(workspace) && division.central.take(now, *tokens).is_ok() {
                *grants.entry(workspace.clone()).or_insert(0) += 1;
            } else {
                exhausted.insert(workspace.clone());
            }
        }
        grants.into_iter().collect()
    }

    /// Returns the shares of `host` in all workspaces' allowances while the hosts `reporting` send reports, and records
    /// those for the time without a coordinator.
    pub(super) fn update_shares(
        &mut self,
        now: clock::Instant,
        host: &name::Name,
        reporting: &[name::Name],
    ) -> Vec<relay::Share> {
        let hosts = self.divisor(reporting.len());
        let equal_share = 1.0 / hosts;
        let silent = self.hosts.iter().filter(|host| !reporting.contains(host));
        let silent: Vec<_> = silent.collect();
        let mut shares = Vec::new();
        for (workspace, division) in &mut self.divisions {
            let reporting_share = division.reporting_share(silent.iter().copied(), equal_share);
            let demand_share = |usage: &meter::Meter<_>| {
                let rate = |host: &name::Name| usage.rate(now, &(workspace.clone(), host.clone()));
                let total: f64 = reporting.iter().map(rate).sum();
                if total > 0.0 {
                    reporting_share * rate(host) / total
                } else {
                    equal_share
                }
            };
            let share =
                EQUAL_FRACTION * equal_share + (1.0 - EQUAL_FRACTION) * demand_share(&self.usage);
            let with_coordinator =
                share.min(MAX_SHARE_FACTOR * equal_share) * Self::local_fraction(division, hosts);
            let long_term_share = demand_share(&self.long_term_usage);
            let without_coordinator = FALLBACK_EQUAL_FRACTION * equal_share
                + (1.0 - FALLBACK_EQUAL_FRACTION) * long_term_share;
            division
                .fallback_shares
                .insert(host.clone(), without_coordinator);
            shares.push(relay::Share {
                workspace: workspace.clone(),
                with_coordinator,
                without_coordinator,
            });
        }
        shares
    }
}
