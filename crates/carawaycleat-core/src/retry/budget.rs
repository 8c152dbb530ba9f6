use crate::clock;

const SLOTS: usize = 10;
const SLOT_MICROS: u64 = 1_000_000;

/// A bound on retries as a fraction of the requests of the last ten seconds.
///
/// Without it, upstreams that fail because of overload would get up to three times the load.
#[derive(Clone, Debug)]
pub struct Budget {
    percent: u64,
    minimum: u64,
    slots: [Slot; SLOTS],
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    second: u64,
    requests: u64,
    retries: u64,
}

impl Default for Budget {
    /// Returns a budget of 20% and at least 10 retries in ten seconds, so that a quiet host can retry at all.
    fn default() -> Self {
        Self::new(20, 10)
    }
}

impl Budget {
    /// Returns a budget of `percent` of the requests, and `minimum` retries beside.
    pub const fn new(percent: u64, minimum: u64) -> Self {
        Self {
            percent,
            minimum,
            slots: [Slot {
                second: 0,
                requests: 0,
                retries: 0,
            }; SLOTS],
        }
    }

    /// Sets the retries that are allowed beside the fraction of the requests.
    pub const fn set_minimum(&mut self, minimum: u64) {
        self.minimum = minimum;
    }

    /// Counts a request that is sent for the first time.
    pub const fn record_request(&mut self, now: clock::Instant) {
        self.slot(now).requests += 1;
    }

    /// Returns the retries that are left.
    #[must_use]
    pub fn remaining(&self, now: clock::Instant) -> u64 {
        let second = now.as_micros() / SLOT_MICROS;
        let recent = self
            .slots
            .iter()
            .filter(|slot| slot.second + SLOTS as u64 > second);
        let (requests, retries) = recent.fold((0, 0), |(requests, retries), slot| {
            (requests + slot.requests, retries + slot.retries)
        });
        (self.minimum + requests * self.percent / 100).saturating_sub(retries)
    }

    /// Takes one retry, and returns whether there was one left.
    pub fn take(&mut self, now: clock::Instant) -> bool {
        let is_left = self.remaining(now) > 0;
        if is_left {
            self.slot(now).retries += 1;
        }
        is_left
    }

    const fn slot(&mut self, now: clock::Instant) -> &mut Slot {
        let second = now.as_micros() / SLOT_MICROS;
        let slot = &mut self.slots[(second % SLOTS as u64) as usize];
        if slot.second != second {
            *slot = Slot {
                second,
                requests: 0,
                retries: 0,
            };
        }
        slot
    }
}
