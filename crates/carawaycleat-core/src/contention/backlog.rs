use std::collections;
use std::hash;
use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::time;

use crate::clock;
use crate::meter;

/// The weight of the latest request in the average time for which one occupies a slot.
const NEWEST_WEIGHT: f64 = 0.1;
/// The time for which a request occupies a slot, until one has ended.
const DEFAULT_SERVICE_TIME: time::Duration = time::Duration::from_millis(500);
/// The lowest rate that is assumed for a queue, in requests per second.
const MIN_RATE: f64 = 1.0;
/// The smallest part of the rate that is assumed to be left for requests that others overtake. Arrivals vary, so that some
/// slots become free while none waits that goes first.
const MIN_YIELDING_PART: f64 = 0.25;
/// The longest time from when a request is sent to its first event that is allowed for.
const MAX_LEAD: time::Duration = time::Duration::from_millis(500);
/// The time without arrivals after which the rates of a queue are forgotten.
const RETENTION: time::Duration = time::Duration::from_secs(60);
/// Callers return after a refusal when they are asked to wait for their remaining time divided by this at most.
const RETURN_PARTS: u32 = 3;

/// What this host may use of the upstreams that hold what the requests of a queue need.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Capacity {
    /// The upstreams.
    pub(crate) holders: u32,
    /// The requests that this host may have in progress there.
    pub(crate) concurrency: f64,
    /// The slots of these upstreams for all hosts.
    pub(crate) slots: f64,
    /// Whether one of them has a free slot for this host.
    pub(crate) has_free_slot: bool,
    /// The shortest average time to the first byte there.
    pub(crate) latency: Option<time::Duration>,
}

/// The state of a queue.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    /// The requests sent per second of late.
    pub(crate) send_rate: f64,
    /// The requests of this host that wait.
    pub(crate) own: u32,
    /// The requests of all hosts that compete with them; none if that is not known.
    pub(crate) competing: Option<u32>,
    /// The time until a further upstream holds what the requests need.
    pub(crate) ready_in: Option<time::Duration>,
}

/// How the queue of a request drains.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outlook {
    /// The requests sent per second.
    pub(crate) rate: f64,
    /// The requests per second that arrive.
    arrivals: f64,
    /// The time from when a request is sent until its response begins.
    pub(crate) lead: time::Duration,
    holders: u32,
    /// The time until a further upstream holds what the requests need.
    pub(crate) ready_in: Option<time::Duration>,
    /// Whether a holder has a free slot for this host.
    pub(crate) has_free_slot: bool,
}

impl Outlook {
    /// Returns how long a request waits that `ahead` others precede. `yields` means that most new requests precede it too.
    pub(crate) fn wait(&self, ahead: u32, yields: bool) -> time::Duration {
        let rate = if yields {
            (self.rate - self.arrivals).max(self.rate * MIN_YIELDING_PART)
        } else {
            self.rate
        };
        let wait = time::Duration::from_secs_f64(f64::from(ahead) / rate);
        let holders = f64::from(self.holders.max(1));
        match self.ready_in.filter(|ready_in| *ready_in < wait) {
            // From then on, the queue drains faster.
            Some(ready_in) => ready_in + (wait - ready_in).mul_f64(holders / (holders + 1.0)),
            None => wait,
        }
    }
}

/// Why a request was refused that no upstream can serve in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Verdict {
    /// The value in logs and metrics.
    pub(crate) cause: &'static str,
    /// The requests that precede it.
    pub(crate) ahead: u32,
    /// How long it would wait.
    pub(crate) wait: time::Duration,
}

/// What the time depends on after which the caller of a refused request should come back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Return<'a> {
    /// The time after which the request would have been served.
    pub(crate) wait: time::Duration,
    /// The requests per second that are served.
    pub(crate) rate: f64,
    /// The time that the caller has left.
    pub(crate) left: time::Duration,
    /// The shortest result.
    pub(crate) min: time::Duration,
    /// The longest result.
    pub(crate) max: time::Duration,
    /// What distinguishes the request from others.
    pub(crate) seed: &'a str,
}

/// The arrivals, the service times and the refusals of queues.
#[derive(Clone, Debug)]
pub(crate) struct Backlogs<K> {
    /// The average time for which a request occupies a slot, in seconds.
    service_times: collections::HashMap<K, f64>,
    arrivals: meter::Meter<K>,
    refusals: meter::Meter<K>,
}

impl<K> Default for Backlogs<K> {
    fn default() -> Self {
        Self {
            service_times: collections::HashMap::new(),
            arrivals: meter::Meter::default(),
            refusals: meter::Meter::default(),
        }
    }
}

impl<K: Eq + hash::Hash + Clone> Backlogs<K> {
    /// Records a new request.
    pub(crate) fn record_arrival(&mut self, now: clock::Instant, queue: &K) {
        self.arrivals.add(now, queue, 1.0);
    }

    /// Records how long a request occupied a slot.
    pub(crate) fn record_service(&mut self, queue: K, time: time::Duration) {
        let latest = time.as_secs_f64();
        let average = self.service_times.entry(queue).or_insert(latest);
        *average += NEWEST_WEIGHT * (latest - *average);
    }

    /// Returns how a queue drains. While slots were free, the requests sent per second were what arrived and not what the
    /// holders can serve, so the latter counts if it is more. Of that, this host gets the part that its requests have among
    /// those of all hosts. `general` is the queue whose service time counts until one request of this queue has ended.
    pub(crate) fn outlook(
        &self,
        now: clock::Instant,
        queue: &K,
        general: &K,
        capacity: Capacity,
        load: Load,
    ) -> Outlook {
        let known = |queue: &K| self.service_times.get(queue).copied();
        let service_time = known(queue).or_else(|| known(general));
        let service_time = service_time.unwrap_or(DEFAULT_SERVICE_TIME.as_secs_f64());
        let granted = load.competing.map_or(0.0, |competing| {
            // Requests may have arrived since the report that the coordinator counted.
            let own = f64::from(load.own.max(1));
            capacity.slots * own / f64::from(competing).max(own)
        });
        let served = capacity.concurrency.max(granted) / service_time.max(0.001);
        Outlook {
            rate: load.send_rate.max(served).max(MIN_RATE),
            arrivals: self.arrivals.rate(now, queue),
            lead: capacity.latency.unwrap_or_default().min(MAX_LEAD),
            holders: capacity.holders,
            ready_in: load.ready_in,
            has_free_slot: capacity.has_free_slot,
        }
    }

    /// Records a refusal, and returns the time after which its caller should come back: when the request would have been
    /// served, spread over the time in which the queue serves all that were refused of late.
    pub(crate) fn record_refusal(
        &mut self,
        now: clock::Instant,
        queue: &K,
        back: Return<'_>,
    ) -> time::Duration {
        self.refusals.add(now, queue, 1.0);
        let most = back.max.as_secs_f64();
        let refused = self.refusals.amount(now, queue);
        let spread = time::Duration::from_secs_f64((refused / back.rate).min(most));
        let max = (back.left / RETURN_PARTS).min(back.max).max(back.min);
        let latest = (back.wait + spread).clamp(back.min, max);
        // Nobody comes back sooner than in half of the longest time: each refusal costs the host processor time.
        let earliest = latest.saturating_sub(spread).min(back.wait);
        let earliest = earliest.max(latest / 2).max(back.min);
        let mut hasher = hash::DefaultHasher::new();
        back.seed.hash(&mut hasher);
        let position = hasher.finish() as f64 / u64::MAX as f64;
        earliest + (latest.saturating_sub(earliest)).mul_f64(position)
    }

    /// Forgets queues that are not used any more.
    pub(crate) fn forget(&mut self, now: clock::Instant) {
        self.arrivals.remove_idle(now, RETENTION);
        self.refusals.remove_idle(now, RETENTION);
    }
}
