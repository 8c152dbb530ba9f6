use std::collections;
use std::time;

use crate::clock;
use crate::name;
use crate::relay;
use crate::work;

/// The shortest time for which the sums over all hosts are kept.
const MIN_REFRESH: time::Duration = time::Duration::from_millis(50);
/// The time by which they are kept longer for each host, so that the sums cost the coordinator about the same in a large fleet.
const REFRESH_PER_HOST: time::Duration = time::Duration::from_millis(1);
/// The fraction of reported work that counts however old the report is, because hosts go on sending.
const FLOOR: f64 = 0.5;

/// The remaining work of upstreams, as hosts report it.
#[derive(Debug, Default)]
pub(super) struct Remaining {
    hosts: collections::HashMap<name::Name, Host>,
    /// The sums over all hosts.
    totals: collections::HashMap<name::Name, work::Load>,
    summed: Option<clock::Instant>,
}

#[derive(Debug)]
struct Host {
    received: clock::Instant,
    loads: collections::HashMap<name::Name, work::Load>,
}

impl Host {
    /// Returns the work of the host at an upstream, counted down since its report.
    fn load(&self, now: clock::Instant, upstream: &name::Name) -> Option<work::Load> {
        let load = self.loads.get(upstream)?;
        Some(counted_down(*load, now, self.received))
    }
}

fn counted_down(load: work::Load, now: clock::Instant, since: clock::Instant) -> work::Load {
    load.after(now.since(since).as_secs_f64() * 1_000.0, FLOOR)
}

impl Remaining {
    /// Records the report of a host, which replaces its last one.
    pub(super) fn record_report(&mut self, now: clock::Instant, report: &relay::Report) {
        if report.work.is_empty() {
            self.hosts.remove(&report.host);
            return;
        }
        let requests: collections::HashMap<_, _> = report
            .running
            .iter()
            .map(|(upstream, count)| (upstream, *count))
            .collect();
        let load = |(upstream, prompt_ms, work_ms): &(name::Name, u32, u32)| {
            let load = work::Load {
                prompt_ms: f64::from(*prompt_ms),
                work_ms: f64::from(*work_ms),
                requests: f64::from(requests.get(upstream).copied().unwrap_or(1)),
            };
            (upstream.clone(), load)
        };
        let host = Host {
            received: now,
            loads: report.work.iter().map(load).collect(),
        };
        self.hosts.insert(report.host.clone(), host);
    }

    /// Removes all hosts for which `keep` returns false.
    pub(super) fn retain_hosts(&mut self, keep: impl Fn(&name::Name) -> bool) {
        self.hosts.retain(|host, _| keep(host));
    }

    /// Sums the work over all hosts, unless that was done recently.
    pub(super) fn refresh(&mut self, now: clock::Instant) {
        let hosts = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        let interval = MIN_REFRESH.max(REFRESH_PER_HOST.saturating_mul(hosts));
        if self
            .summed
            .is_some_and(|summed| now.since(summed) < interval)
        {
            return;
        }
        self.summed = Some(now);
        self.totals.clear();
        for host in self.hosts.values() {
            for (upstream, load) in &host.loads {
                let load = counted_down(*load, now, host.received);
                match self.totals.get_mut(upstream) {
                    Some(total) => *total = *total + load,
                    None => {
                        self.totals.insert(upstream.clone(), load);
                    }
                }
            }
        }
    }

    /// Returns the time for the unread prompts of the other hosts at an upstream, and for the whole of their work, in milliseconds.
    pub(super) fn others(
        &self,
        now: clock::Instant,
        host: &name::Name,
        upstream: &name::Name,
    ) -> (u32, u32) {
        let Some(total) = self.totals.get(upstream) else {
            return (0, 0);
        };
        let own = self
            .hosts
            .get(host)
            .and_then(|host| host.load(now, upstream));
        let own = own.unwrap_or_default();
        let rounded = |ms: f64| ms.max(0.0).round() as u32;
        (
            rounded(total.prompt_ms - own.prompt_ms),
            rounded(total.work_ms - own.work_ms),
        )
    }
}
