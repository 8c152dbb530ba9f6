use std::time;

use crate::clock;
use crate::meter;
use crate::name;
use crate::relay;
use crate::relay::traffic;

/// The time constant of the rate that follows a rise of demand. Reports arrive each 0.2 to 0.35 s, and a tenfold rise takes
/// some seconds.
const RISE_TIME: time::Duration = time::Duration::from_millis(1_000);
/// The time constant of the rate that follows a fall of demand.
const FALL_TIME: time::Duration = time::Duration::from_millis(3_000);
/// The highest expected rate, relative to the faster of the two.
const MAX_TREND: f64 = 1.8;
/// The ratio of the faster rate to the slower one up to which demand counts as steady. Arrivals vary, and a report covers
/// those of a quarter of a second.
const STEADY_RATIO: f64 = 1.15;
/// The time constant of the mean time in a slot.
const SLOT_TIME_MEMORY: time::Duration = time::Duration::from_secs(8);
/// The time in a slot before any request of a service has completed, in seconds.
const DEFAULT_SLOT_TIME: f64 = 1.0;
/// The bounds of the mean time in a slot, in seconds.
const SLOT_TIMES: std::ops::RangeInclusive<f64> = 0.02..=20.0;
/// The number of completed requests of a model at which its own mean time counts as much as that of the service.
const PRIOR_COMPLETIONS: f64 = 2.0;
/// The tokens of a request, for reports of hosts that do not count requests.
const DEFAULT_TOKENS: f64 = 300.0;
/// The urgency of a request whose host does not report it.
const DEFAULT_URGENCY: f64 = 0.5;

type Key = (name::Name, name::Name);

/// What is known of the requests for one model.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    /// The requests that arrive per second.
    pub(super) arrivals: f64,
    /// The mean urgency of a request, from 0 to 1.
    pub(super) urgency: f64,
    /// The mean time of a request in a slot, in seconds.
    pub(super) slot_time: f64,
}

/// The arrivals, urgency and slot times of the requests for each model.
#[derive(Debug)]
pub(super) struct Traffic {
    rising: meter::Meter<Key>,
    falling: meter::Meter<Key>,
    urgency: meter::Meter<Key>,
    completed: meter::Meter<Key>,
    slot_time: meter::Meter<Key>,
    service_completed: meter::Meter<name::Name>,
    service_slot_time: meter::Meter<name::Name>,
}

impl Default for Traffic {
    fn default() -> Self {
        Self {
            rising: meter::Meter::with_time_constant(RISE_TIME),
            falling: meter::Meter::with_time_constant(FALL_TIME),
            urgency: meter::Meter::with_time_constant(FALL_TIME),
            completed: meter::Meter::with_time_constant(SLOT_TIME_MEMORY),
            slot_time: meter::Meter::with_time_constant(SLOT_TIME_MEMORY),
            service_completed: meter::Meter::with_time_constant(SLOT_TIME_MEMORY),
            service_slot_time: meter::Meter::with_time_constant(SLOT_TIME_MEMORY),
        }
    }
}

impl Traffic {
    /// Records what one host reports of a model, `key`.
    pub(super) fn record(&mut self, now: clock::Instant, key: &Key, demand: &relay::Demand) {
        let traffic = &demand.traffic;
        let (arrivals, urgency) = if traffic.arrivals == 0 && demand.tokens > 0 {
            let arrivals = (demand.tokens as f64 / DEFAULT_TOKENS).max(1.0);
            (arrivals, arrivals * DEFAULT_URGENCY)
        } else {
            let urgency = traffic.urgency as f64 / f64::from(traffic::MAX_URGENCY);
            (f64::from(traffic.arrivals), urgency)
        };
        if arrivals > 0.0 {
            self.rising.add(now, key, arrivals);
            self.falling.add(now, key, arrivals);
            self.urgency.add(now, key, urgency);
        }
        if traffic.completed > 0 {
            let (completed, seconds) = (
                f64::from(traffic.completed),
                traffic.slot_ms as f64 / 1_000.0,
            );
            self.completed.add(now, key, completed);
            self.slot_time.add(now, key, seconds);
            self.service_completed.add(now, &key.0, completed);
            self.service_slot_time.add(now, &key.0, seconds);
        }
    }

    /// Returns what is known of the requests for a model, with the arrivals that are expected after `lead` if their rate goes
    /// on rising. A rate rises within a second and falls within a few, so that a
    /// pause in the arrivals of a model takes no replica from it.
    pub(super) fn estimate(
        &self,
        now: clock::Instant,
        key: &Key,
        lead: time::Duration,
    ) -> Estimate {
        let (rising, falling) = (self.rising.rate(now, key), self.falling.rate(now, key));
        // While a rate rises evenly, each of the two is behind it by its time constant.
        let growth =
            (rising - falling * STEADY_RATIO).max(0.0) / (FALL_TIME - RISE_TIME).as_secs_f64();
        let trend = rising + growth * (RISE_TIME + lead).as_secs_f64();
        let service_completed = self.service_completed.rate(now, &key.0);
        let mean = if service_completed > 0.0 {
            self.service_slot_time.rate(now, &key.0) / service_completed
        } else {
            DEFAULT_SLOT_TIME
        };
        let memory = SLOT_TIME_MEMORY.as_secs_f64();
        let completed = self.completed.rate(now, key) * memory;
        let seconds = self.slot_time.rate(now, key) * memory;
        let slot_time = (seconds + mean * PRIOR_COMPLETIONS) / (completed + PRIOR_COMPLETIONS);
        let urgency = if falling > 0.0 {
            self.urgency.rate(now, key) / falling
        } else {
            DEFAULT_URGENCY
        };
        Estimate {
            arrivals: trend.min(rising * MAX_TREND).max(falling),
            urgency: urgency.clamp(0.01, 1.0),
            slot_time: slot_time.clamp(*SLOT_TIMES.start(), *SLOT_TIMES.end()),
        }
    }

    /// Removes the models without requests for `max_idle`.
    pub(super) fn remove_idle(&mut self, now: clock::Instant, max_idle: time::Duration) {
        for meter in [
            &mut self.rising,
            &mut self.falling,
            &mut self.urgency,
            &mut self.completed,
            &mut self.slot_time,
        ] {
            meter.remove_idle(now, max_idle);
        }
        self.service_completed.remove_idle(now, max_idle);
        self.service_slot_time.remove_idle(now, max_idle);
    }
}
