use std::time;

/// The rates of a site's weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Site {
    /// The models loaded a second when the store is busy.
    pub loads_per_second: f64,
    /// The model loads in flight that run at full speed.
    pub loads_in_flight: usize,
    /// The size of a model that the rate holds for, in bytes; other sizes take time in proportion.
    pub load_bytes: u64,
    /// The adapter loads in flight that run at full speed.
    pub adapters_in_flight: usize,
    /// The largest size that counts as an adapter, in bytes.
    pub adapter_bytes: u64,
    /// The shortest time of an adapter load at full speed.
    pub adapter_min: time::Duration,
    /// The longest time of an adapter load at full speed.
    pub adapter_max: time::Duration,
}

const GIGABYTE: u64 = 1_000_000_000;

impl Site {
    /// The weight store of the savannah site.
    pub const SAVANNAH: Self = Self {
        loads_per_second: 1.5,
        loads_in_flight: 7,
        load_bytes: 16 * GIGABYTE,
        adapters_in_flight: 55,
        adapter_bytes: GIGABYTE,
        adapter_min: time::Duration::from_millis(5),
        adapter_max: time::Duration::from_millis(10),
    };

    /// The weight store of the association site.
    pub const ASSOCIATION: Self = Self {
        loads_per_second: 3.0,
        loads_in_flight: 12,
        adapters_in_flight: 100,
        ..Self::SAVANNAH
    };

    /// Returns the time to load `bytes` of a model at full speed.
    pub fn model_time(&self, bytes: u64) -> time::Duration {
        #[expect(clippy::cast_precision_loss, reason = "a size need not be exact here")]
        let share = bytes as f64 / self.load_bytes.max(1) as f64;
        #[expect(clippy::cast_precision_loss, reason = "loads in flight are few")]
        let each = self.loads_in_flight as f64 / self.loads_per_second;
        time::Duration::try_from_secs_f64(share * each).unwrap_or(time::Duration::MAX)
    }

    /// Returns the time to load an adapter of `bytes` at full speed.
    pub fn adapter_time(&self, bytes: u64) -> time::Duration {
        #[expect(clippy::cast_precision_loss, reason = "a size need not be exact here")]
        let share = (bytes as f64 / self.adapter_bytes.max(1) as f64).min(1.0);
        self.adapter_min
            + self
                .adapter_max
                .saturating_sub(self.adapter_min)
                .mul_f64(share)
    }
}

impl Default for Site {
    fn default() -> Self {
        Self::SAVANNAH
    }
}
