use std::collections;
use std::time;

use crate::clock;
use crate::name;
use crate::relay;
use crate::relay::limit;

/// The time whose requests may be sent at once after a pause.
const BURST_TIME: time::Duration = time::Duration::from_millis(500);
/// The time whose requests are withheld at most after hosts sent more than they were permitted.
const MAX_DEBT_TIME: time::Duration = time::Duration::from_secs(2);
/// The time in which the weight of a host halves without requests.
const WEIGHT_HALF_LIFE: time::Duration = time::Duration::from_secs(2);
/// The amount by which the rounding offset of a host's share advances from one report to the next, as for
/// [`Reservations`](super::reservation::Reservations).
const ROUNDING_OFFSET_STEP: f64 = 0.618_034;

/// What is known of one host's requests to an upstream.
#[derive(Clone, Debug, Default)]
struct Account {
    /// The requests that the host had sent by its last report.
    sent: u64,
    /// The requests that its last view permitted.
    permitted: u32,
    /// The requests that wait at the host for an upstream of the service.
    waiting: u32,
    /// The moving sum of its requests.
    weight: f64,
}

/// An upstream that limits the requests per second of all hosts together.
#[derive(Clone, Debug)]
struct Upstream {
    rate: f64,
    named_at: clock::Instant,
    /// The requests that may be permitted now; negative after hosts sent more than they were permitted.
    level: f64,
    updated_at: clock::Instant,
    hosts: collections::HashMap<name::Name, Account>,
}

impl Upstream {
    /// Advances the level and the weights to `now`.
    fn advance(&mut self, now: clock::Instant) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let burst = (self.rate * BURST_TIME.as_secs_f64()).max(1.0);
        self.level = (self.level + elapsed * self.rate).min(burst);
        let factor = 0.5_f64.powf(elapsed / WEIGHT_HALF_LIFE.as_secs_f64());
        for account in self.hosts.values_mut() {
            account.weight *= factor;
        }
    }

    /// Returns the fraction of the level for a host: roughly in proportion to its requests. One more request is divided
    /// equally, so that a host without requests gets a share too.
    fn share(&self, host: &name::Name) -> f64 {
        let equal_share = 1.0 / self.hosts.len().max(1) as f64;
        let total: f64 = self.hosts.values().map(|account| account.weight).sum();
        let own = self.hosts.get(host).map_or(0.0, |account| account.weight);
        (own + equal_share) / (total + 1.0)
    }
}

/// The limits on requests that upstreams have named, and how the requests are divided among the hosts.
#[derive(Clone, Debug, Default)]
pub(super) struct Limits {
    upstreams: collections::BTreeMap<name::Name, Upstream>,
    /// When hosts last found an upstream without a limit.
    unlimited: collections::BTreeMap<name::Name, clock::Instant>,
}

impl Limits {
    /// Applies what a host has reported. Permits that it has not used are available again.
    pub(super) fn record_report(&mut self, now: clock::Instant, report: &relay::Report) {
        for known in &report.limits {
            let age = time::Duration::from_millis(known.age_ms);
            let named_at = before(now, age);
            let Some(rate) = known.rate else {
                self.record_unlimited(named_at, &known.upstream);
                continue;
            };
            let is_ended = self.unlimited.get(&known.upstream);
            if is_ended.is_some_and(|ended| *ended >= named_at) || age > limit::LIMIT_LIFETIME {
                continue;
            }
            let upstream = self
                .upstreams
                .entry(known.upstream.clone())
                .or_insert_with(|| Upstream {
                    rate,
                    named_at,
                    level: 1.0,
                    updated_at: now,
                    hosts: collections::HashMap::new(),
                });
            upstream.advance(now);
            if named_at >= upstream.named_at {
                upstream.named_at = named_at;
                upstream.rate = rate;
            }
            // What a host sent before its first report to this coordinator was permitted by another one.
            let account = upstream
                .hosts
                .entry(report.host.clone())
                .or_insert_with(|| Account {
                    sent: known.sent,
                    ..Account::default()
                });
            // A host counts from zero again when it has forgotten the limit.
            let sent = known.sent.checked_sub(account.sent).unwrap_or(known.sent);
            account.sent = known.sent;
            account.waiting = known.waiting;
            account.weight += sent as f64;
            upstream.level += f64::from(std::mem::take(&mut account.permitted)) - sent as f64;
            let max_debt = (rate * MAX_DEBT_TIME.as_secs_f64()).max(1.0);
            upstream.level = upstream.level.max(-max_debt);
        }
    }

    fn record_unlimited(&mut self, at: clock::Instant, id: &name::Name) {
        if self
            .upstreams
            .get(id)
            .is_some_and(|upstream| upstream.named_at <= at)
        {
            self.upstreams.remove(id);
        }
        let ended = self.unlimited.entry(id.clone()).or_default();
        *ended = at.max(*ended);
    }

    /// Removes hosts for which `keep` returns false, and limits that have not been named for a long time.
    pub(super) fn retain(&mut self, now: clock::Instant, keep: impl Fn(&name::Name) -> bool) {
        self.upstreams
            .retain(|_, upstream| now.since(upstream.named_at) <= limit::LIMIT_LIFETIME);
        self.unlimited
            .retain(|_, ended| now.since(*ended) <= limit::LIMIT_LIFETIME);
        for upstream in self.upstreams.values_mut() {
            upstream.hosts.retain(|host, _| keep(host));
        }
    }

    /// Returns the state of all limits for the log: of each upstream its rate, and how many requests may be permitted,
    /// are permitted, and wait; none when there is no limit.
    pub(super) fn summary(&self) -> Option<String> {
        let describe = |(id, upstream): (&name::Name, &Upstream)| {
            let accounts = upstream.hosts.values();
            let sums = accounts.fold((0, 0), |(permitted, waiting), account| {
                (
                    u64::from(account.permitted) + permitted,
                    u64::from(account.waiting) + waiting,
                )
            });
            let (rate, level, (permitted, waiting)) = (upstream.rate, upstream.level, sums);
            format!("{id}={rate:.1}/{level:.1}/{permitted}/{waiting}")
        };
        let summaries: Vec<_> = self.upstreams.iter().map(describe).collect();
        (!summaries.is_empty()).then(|| summaries.join(" "))
    }

    /// Returns the number of requests that may be permitted at an upstream now; none when it has no limit.
    pub(super) fn available(&self, id: &name::Name) -> Option<u32> {
        let upstream = self.upstreams.get(id)?;
        Some(upstream.level.max(0.0).floor() as u32)
    }

    /// Returns the requests per second that an upstream with a limit takes, and those that hosts sent to it lately.
    pub(super) fn rates(&self, id: &name::Name) -> Option<(f64, f64)> {
        let upstream = self.upstreams.get(id)?;
        let weight: f64 = upstream.hosts.values().map(|account| account.weight).sum();
        // The weight of a steady rate is the rate times the mean lifetime of a request's weight.
        let lifetime = WEIGHT_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        Some((upstream.rate, weight / lifetime))
    }

    /// Permits a host one request, for which a slot was reserved.
    pub(super) fn reserve(&mut self, host: &name::Name, id: &name::Name) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.level -= 1.0;
            let account = upstream.hosts.entry(host.clone()).or_default();
            account.permitted = account.permitted.saturating_add(1);
        }
    }

    /// Returns the requests that `host` may send to each upstream with a limit until its next view: those reserved for
    /// it, those that wait there, and a share of the rest.
    pub(super) fn permit(
        &mut self,
        now: clock::Instant,
        host: &name::Name,
        report_number: u64,
    ) -> Vec<relay::Permit> {
        let offset = (report_number as f64 * ROUNDING_OFFSET_STEP).fract();
        let permits = self.upstreams.iter_mut().map(|(id, upstream)| {
            upstream.advance(now);
            let available = upstream.level.max(0.0);
            let share = (available * upstream.share(host) + offset).floor();
            let account = upstream.hosts.entry(host.clone()).or_default();
            let more = share.max(f64::from(account.waiting)).min(available.floor());
            upstream.level -= more;
            account.permitted = account.permitted.saturating_add(more as u32);
            let age = now.since(upstream.named_at).as_millis();
            relay::Permit {
                upstream: id.clone(),
                rate: upstream.rate,
                age_ms: u64::try_from(age).unwrap_or(u64::MAX),
                requests: account.permitted,
            }
        });
        permits.collect()
    }
}

/// Returns the instant `age` before `now`.
fn before(now: clock::Instant, age: time::Duration) -> clock::Instant {
    let micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
    clock::Instant::from_micros(now.as_micros().saturating_sub(micros))
}
