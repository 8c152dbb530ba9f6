//! What one host may send to upstreams that are cold after a start.

use std::collections;
use std::hash;
use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::time;

use crate::clock;
use crate::cold;
use crate::name;

/// The part of an interval in which a host without permits may send its request. It covers several ticks of a host.
const SLOT: time::Duration = time::Duration::from_millis(200);
/// The fraction of the requests that a cold upstream takes which hosts without permits send together. The phases of hosts
/// are not spread evenly, so that more of them may fall into one second.
const FALLBACK_FRACTION: f64 = 0.6;
/// The longest interval between the requests of a host without permits.
const MAX_INTERVAL: time::Duration = time::Duration::from_secs(3_600);
/// The maximum number of reports whose times are kept.
const MAX_REPORTS: usize = 256;

/// What this host may send to one upstream while that is cold.
#[derive(Clone, Debug, Default)]
pub(super) struct Gate {
    /// The end of the cold period.
    until: clock::Instant,
    /// The requests sent since this host learned of the upstream.
    pub(super) sent: u64,
    /// The value of [`Self::sent`] up to which the coordinator permits requests, and until when.
    ceiling: u64,
    ceiling_until: clock::Instant,
    fallback: Fallback,
    /// When this host may send the next request without a permit.
    next_fallback: clock::Instant,
}

/// The requests that a host sends without permits: one in each interval, at a phase that differs between hosts.
#[derive(Clone, Copy, Debug, Default)]
struct Fallback {
    /// From when and until when there are such requests.
    from: clock::Instant,
    until: clock::Instant,
    interval: time::Duration,
    phase: time::Duration,
}

impl Fallback {
    /// Returns the requests of a host to an upstream that takes `rate` requests per second.
    fn new(circumstances: &Circumstances<'_>, rate: f64, upstream: &name::Name) -> Self {
        let hosts = circumstances.hosts as f64;
        let seconds = hosts / (rate * FALLBACK_FRACTION).max(f64::MIN_POSITIVE);
        let interval = time::Duration::try_from_secs_f64(seconds).unwrap_or(MAX_INTERVAL);
        // Two requests in adjacent slots are at least the window apart.
        let interval = interval.clamp(cold::WINDOW, MAX_INTERVAL) + SLOT;
        let phase = digest(circumstances.host, upstream) % micros(interval);
        Self {
            from: circumstances.from,
            until: circumstances.until,
            interval,
            phase: time::Duration::from_micros(phase),
        }
    }

    fn includes(&self, now: clock::Instant) -> bool {
        if now < self.from || now >= self.until || self.interval.is_zero() {
            return false;
        }
        let position = (now + self.phase).as_micros() % micros(self.interval);
        position < micros(SLOT)
    }
}

impl Gate {
    /// Permits requests up to `ceiling` until `until`, in place of earlier permits.
    pub(super) fn permit(&mut self, ceiling: u64, until: clock::Instant) {
        self.ceiling = ceiling;
        self.ceiling_until = until;
    }

    /// Returns whether the upstream is cold.
    pub(super) fn is_cold(&self, now: clock::Instant) -> bool {
        now < self.until
    }

    fn has_permit(&self, now: clock::Instant) -> bool {
        self.sent < self.ceiling && now < self.ceiling_until
    }

    /// Returns whether another request may be sent.
    pub(super) fn may_send(&self, now: clock::Instant) -> bool {
        !self.is_cold(now)
            || self.has_permit(now)
            || now >= self.next_fallback && self.fallback.includes(now)
    }

    /// Records that a request was sent.
    pub(super) fn record_send(&mut self, now: clock::Instant) {
        if self.is_cold(now) && !self.has_permit(now) {
            self.next_fallback = now + self.fallback.interval.saturating_sub(SLOT);
        }
        self.sent += 1;
    }
}

/// The cold upstreams as this host knows them, and its exchange of reports and views about them with the coordinator.
#[derive(Clone, Debug, Default)]
pub(super) struct State {
    pub(super) starts: cold::Starts,
    /// When this host first did periodic work.
    began: Option<clock::Instant>,
    /// Identifies this process of the host; 0 before the first report.
    pub(super) process: u64,
    /// The fencing token of the last view with permits, and the number of the report that it responded to.
    pub(super) held: (u64, u64),
    /// The numbers and times of the reports to which a view with permits may still follow.
    reports: collections::VecDeque<(u64, clock::Instant)>,
    /// Until when the coordinator divides all requests, as its views have said.
    exclusive_until: clock::Instant,
}

impl State {
    /// Records that this host has made a report with this number.
    pub(super) fn record_report(&mut self, now: clock::Instant, number: u64) {
        if self.process == 0 {
            self.process = now.as_micros().max(1);
        }
        self.reports.push_back((number, now));
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
    }

    /// Records a view of the coordinator `epoch` in response to the report `number`. Returns until when its permits hold;
    /// none if they replace no earlier ones.
    pub(super) fn record_view(
        &mut self,
        now: clock::Instant,
        epoch: u64,
        number: u64,
        exclusive: time::Duration,
    ) -> Option<clock::Instant> {
        if (epoch, number) <= self.held {
            return None;
        }
        let index = self
            .reports
            .iter()
            .position(|(other, _)| *other == number)?;
        let (_, reported) = self.reports[index];
        self.reports.drain(..=index);
        self.held = (epoch, number);
        // Counted from now on, which is later than when the coordinator sent the view.
        if !exclusive.is_zero() {
            self.exclusive_until = self.exclusive_until.max(now + exclusive);
        }
        Some(reported + cold::PERMIT_LIFETIME)
    }

    /// Returns from when this host, one of `hosts`, may send requests without permits.
    pub(super) fn fallback_from(&mut self, now: clock::Instant, hosts: usize) -> clock::Instant {
        let began = *self.began.get_or_insert(now);
        // An earlier process of the host may just have received a view.
        self.exclusive_until
            .max(began + cold::fallback_delay(hosts))
    }
}

/// The circumstances of a host that determine its requests without permits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Circumstances<'a> {
    pub(super) host: &'a name::Name,
    /// The number of hosts.
    pub(super) hosts: usize,
    /// From when and until when the host may send requests without permits.
    pub(super) from: clock::Instant,
    pub(super) until: clock::Instant,
}

impl Circumstances<'_> {
    /// Brings the gate of an upstream in line with what is known of its start. Returns the end of the cold period and the
    /// requests per second that the upstream takes if it has become cold.
    pub(super) fn update(
        &self,
        now: clock::Instant,
        starts: &cold::Starts,
        id: &name::Name,
        gate: &mut Gate,
    ) -> Option<(clock::Instant, f64)> {
        let Some((limit, end)) = starts.get(id).filter(|(_, end)| now < *end) else {
            gate.until = clock::Instant::default();
            return None;
        };
        let was_cold = gate.is_cold(now);
        gate.until = end;
        gate.fallback = Fallback::new(self, limit.rate, id);
        (!was_cold).then_some((end, limit.rate))
    }
}

/// Returns the digest of a host and an upstream.
fn digest(host: &name::Name, upstream: &name::Name) -> u64 {
    let mut hasher = hash::DefaultHasher::new();
    (host, upstream).hash(&mut hasher);
    hasher.finish()
}

fn micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros())
        .unwrap_or(u64::MAX)
        .max(1)
}
