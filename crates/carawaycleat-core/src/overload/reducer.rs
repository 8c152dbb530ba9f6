use std::collections;
use std::time;

use crate::clock;
use crate::timeline;

/// The time over which the shortest delay of a timer counts. A single pause of the process delays only one timer.
const INTERVAL: time::Duration = time::Duration::from_millis(200);
/// The number of delays in an interval, at least.
const MIN_SAMPLES: u32 = 2;
/// The lateness above which a host is late and admits fewer requests.
const TARGET: time::Duration = time::Duration::from_millis(20);
/// The lateness up to which a late host can be on time again.
const CALM: time::Duration = time::Duration::from_millis(10);
/// The number of intervals in a row above the target after which a host is late.
const LATE_INTERVALS: u32 = 1;
/// The number of intervals in a row without need to refuse requests after which it is on time again.
const CALM_INTERVALS: u32 = 3;
/// The lateness at which the lowest rate is admitted.
const LONG_LATENESS: time::Duration = time::Duration::from_millis(400);
/// The time for which requests are admitted in advance.
const BURST: time::Duration = time::Duration::from_millis(100);
/// The factor on the admitted rate after an interval above the target.
const DECREASE: f64 = 0.9;
/// What the admitted rate gains after an interval within the target, as a fraction of the capacity.
const INCREASE: f64 = 0.05;
/// The lowest admitted rate at a long lateness, as a fraction of the capacity.
const MIN_ADMITTED: f64 = 0.1;
/// The lowest admitted rate at a short lateness, as a fraction of the capacity.
const MAX_FLOOR: f64 = 0.8;
/// The weight of the last interval in the measured capacity.
const CAPACITY_WEIGHT: f64 = 0.1;
/// The lowest admitted rate in requests per second.
const MIN_RATE: f64 = 2.0;
/// The highest part of the requests of one priority that is refused.
const MAX_REFUSED: f64 = 0.95;
/// The lowest admitted rate when shedding does not help, as a fraction of the capacity.
const UNHELPFUL_FLOOR: f64 = 0.9;
/// The time after which shedding must have reduced the lateness; otherwise only what exceeds the finished requests is shed.
const PROBATION: time::Duration = time::Duration::from_millis(3_000);
/// The part of the longest lateness that may remain after the probation.
const MAX_REMAINING: f64 = 0.75;
/// The weight of the last interval in the measured rates.
const WEIGHT: f64 = 0.4;
/// The shortest `Retry-After`.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(50);
/// The range over which the times of retries are spread, at least.
const MIN_RETRY_SPREAD: time::Duration = time::Duration::from_millis(100);
/// What is added to that range in proportion to the part of the requests that exceeds the admitted rate.
const EXCESS_RETRY_SPREAD: time::Duration = time::Duration::from_millis(1_500);

/// A period in which a host is late.
#[derive(Clone, Copy, Debug)]
struct Episode {
    since: clock::Instant,
    /// The longest lateness since then.
    longest_lateness: time::Duration,
    /// The admitted requests per second.
    rate: f64,
    /// The measured number of requests that the host can finish per second.
    capacity: f64,
    /// The requests admitted in the current interval.
    admitted: u64,
    refused: u64,
}

/// The state machine that decides which new requests a host serves while it is late.
#[derive(Debug, Default)]
pub struct Reducer {
    /// When the current interval began; none before the first delay.
    interval: Option<clock::Instant>,
    samples: u32,
    shortest_delay: time::Duration,
    /// The shortest delay in the last interval.
    lateness: time::Duration,
    /// The requests since the interval began, by priority.
    arrivals: collections::BTreeMap<u8, u64>,
    finished: u64,
    /// The requests that arrive per second.
    arrival_rate: f64,
    /// The same by priority, while the host is late.
    arrival_rates: collections::BTreeMap<u8, f64>,
    /// The requests that are finished per second.
    finished_rate: f64,
    /// The number of intervals in a row that call for another state.
    deviations: u32,
    episode: Option<Episode>,
}

impl Reducer {
    /// Returns whether the host is late.
    #[must_use]
    pub fn is_late(&self) -> bool {
        self.episode.is_some()
    }

    /// Records by how much a timer has run late. Returns the line about a change of the state.
    pub fn record_delay(
        &mut self,
        now: clock::Instant,
        delay: time::Duration,
    ) -> Option<timeline::Decision> {
        let Some(began) = self.interval else {
            self.interval = Some(now);
            return None;
        };
        self.shortest_delay = match self.samples {
            0 => delay,
            _ => self.shortest_delay.min(delay),
        };
        self.samples += 1;
        let span = now.since(began);
        if span < INTERVAL || self.samples < MIN_SAMPLES {
            return None;
        }
        self.lateness = self.shortest_delay;
        self.interval = Some(now);
        self.samples = 0;
        self.measure(span);
        self.adjust(now, span);
        self.change_state(now)
    }

    /// Records that a request has ended that was admitted.
    pub fn record_finished(&mut self) {
        self.finished += 1;
    }

    /// Decides about a new request of `priority`, of which 0 is the most urgent. `seed` is a random number.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may retry, if the request is refused.
    pub fn admit(
        &mut self,
        now: clock::Instant,
        priority: u8,
        seed: u64,
    ) -> Result<(), time::Duration> {
        *self.arrivals.entry(priority).or_default() += 1;
        let refused_part = self.refused_part(priority);
        let (choice, wait) = (seed as u32, (seed >> 32) as u32);
        let Some(episode) = &mut self.episode else {
            return Ok(());
        };
        let elapsed = now.since(self.interval.unwrap_or(now)) + BURST;
        let allowed = (episode.rate * elapsed.as_secs_f64()).max(1.0);
        if fraction(choice) >= refused_part && (episode.admitted as f64) < allowed {
            episode.admitted += 1;
            return Ok(());
        }
        episode.refused += 1;
        let excess = 1.0 - episode.rate / self.arrival_rate.max(episode.rate);
        let spread = MIN_RETRY_SPREAD + EXCESS_RETRY_SPREAD.mul_f64(excess);
        Err(MIN_RETRY_AFTER + spread.mul_f64(fraction(wait)))
    }

    /// Returns the part of the requests of `priority` that is refused: that of less urgent requests is refused first.
    fn refused_part(&self, priority: u8) -> f64 {
        let Some(episode) = &self.episode else {
            return 0.0;
        };
        let excess = self.arrival_rate - episode.rate;
        let Some(own) = self.arrival_rates.get(&priority) else {
            // The rates of the priorities are measured only while the host is late.
            return (excess / self.arrival_rate.max(MIN_RATE)).clamp(0.0, MAX_REFUSED);
        };
        let less_urgent: f64 = self
            .arrival_rates
            .range(priority.saturating_add(1)..)
            .map(|(_, rate)| rate)
            .sum();
        let own_excess = excess - less_urgent * MAX_REFUSED;
        (own_excess / own.max(MIN_RATE)).clamp(0.0, MAX_REFUSED)
    }

    /// Updates the rates after an interval of the length `span`.
    fn measure(&mut self, span: time::Duration) {
        let weight = 1.0 - (1.0 - WEIGHT).powf(intervals(span));
        let span = span.as_secs_f64();
        let average = |old: f64, count: u64| old + weight * (count as f64 / span - old);
        let arrived = self.arrivals.values().sum();
        self.arrival_rate = average(self.arrival_rate, arrived);
        self.finished_rate = average(self.finished_rate, std::mem::take(&mut self.finished));
        let mut arrivals = std::mem::take(&mut self.arrivals);
        if self.episode.is_none() {
            return;
        }
        for (priority, rate) in &mut self.arrival_rates {
            *rate = average(*rate, arrivals.remove(priority).unwrap_or(0));
        }
        for (priority, count) in arrivals {
            self.arrival_rates.insert(priority, count as f64 / span);
        }
    }

    /// Adjusts the admitted rate to the lateness.
    fn adjust(&mut self, now: clock::Instant, span: time::Duration) {
        let Some(episode) = &mut self.episode else {
            return;
        };
        let intervals = intervals(span);
        episode.capacity = if self.lateness > TARGET {
            let weight = 1.0 - (1.0 - CAPACITY_WEIGHT).powf(intervals);
            episode.capacity + weight * (self.finished_rate - episode.capacity)
        } else {
            // The processor could have done more.
            self.finished_rate.max(episode.capacity)
        };
        episode.longest_lateness = episode.longest_lateness.max(self.lateness);
        episode.admitted = 0;
        if self.lateness <= TARGET {
            episode.rate += episode.capacity.max(MIN_RATE) * INCREASE * intervals;
            return;
        }
        let helps = now.since(episode.since) < PROBATION
            || self.lateness < episode.longest_lateness.mul_f64(MAX_REMAINING);
        let least = if helps {
            headroom(self.lateness).min(MAX_FLOOR)
        } else {
            UNHELPFUL_FLOOR
        };
        let floor = (episode.capacity * least).max(MIN_RATE);
        episode.rate = (episode.rate * DECREASE.powf(intervals)).max(floor);
    }

    /// Begins or ends an episode when several intervals in a row call for it.
    fn change_state(&mut self, now: clock::Instant) -> Option<timeline::Decision> {
        let deviates = match &self.episode {
            None => self.lateness > TARGET,
            Some(episode) => self.lateness <= CALM && self.arrival_rate <= episode.rate,
        };
        self.deviations = if deviates { self.deviations + 1 } else { 0 };
        let needed = match &self.episode {
            None => LATE_INTERVALS,
            Some(_) => CALM_INTERVALS,
        };
        if self.deviations < needed {
            return None;
        }
        self.deviations = 0;
        let line = timeline::Decision::new("late")
            .with("lateness_ms", timeline::Value::millis(self.lateness))
            .with("arrivals", self.arrival_rate.round() as u64)
            .with("finished", self.finished_rate.round() as u64);
        if let Some(episode) = self.episode.take() {
            self.arrival_rates.clear();
            let time = timeline::Value::millis(now.since(episode.since));
            let line = line.with("state", "on_time").with("ms", time);
            return Some(line.with("refused", episode.refused));
        }
        let first = headroom(self.lateness);
        self.episode = Some(Episode {
            since: now,
            longest_lateness: self.lateness,
            rate: (self.finished_rate * first).max(MIN_RATE),
            capacity: self.finished_rate,
            admitted: 0,
            refused: 0,
        });
        Some(line.with("state", "late"))
    }
}

/// Returns the part of the processor that is left for new requests while a backlog of the length `lateness` is worked off.
fn headroom(lateness: time::Duration) -> f64 {
    let part = 1.0 - lateness.as_secs_f64() / LONG_LATENESS.as_secs_f64();
    part.max(MIN_ADMITTED)
}

/// Returns the length of `span` as a multiple of [`INTERVAL`].
fn intervals(span: time::Duration) -> f64 {
    span.as_secs_f64() / INTERVAL.as_secs_f64()
}

/// Returns a random number from 0 to less than 1.
fn fraction(random: u32) -> f64 {
    f64::from(random) / (f64::from(u32::MAX) + 1.0)
}
