use std::time;

/// The default of the lowest rate in bytes per second. A large body takes seconds on a slow link that requests share.
const DEFAULT_MIN_RATE: u32 = 128 * 1024;

/// How slowly a body may arrive.
///
/// A limit on the time of the whole body would be a limit on its length, which depends on the rate of the link.
///
/// # Examples
///
/// ```
/// use std::time;
///
/// use carawaycleat_net as net;
///
/// let pace = net::Pace { max_silence: time::Duration::from_secs(1), min_rate: 1_000 };
/// let elapsed = time::Duration::from_millis(1_500);
/// assert_eq!(pace.patience(elapsed, 0), None);
/// assert_eq!(pace.patience(elapsed, 1_000), Some(time::Duration::from_millis(500)));
/// assert_eq!(pace.patience(elapsed, 9_000), Some(time::Duration::from_secs(1)));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pace {
    /// How long nothing may arrive.
    pub max_silence: time::Duration,
    /// The lowest rate in bytes per second, counted from [`Pace::max_silence`] after the start.
    pub min_rate: u32,
}

impl Pace {
    /// Returns a pace with a lowest rate of 128 KiB a second.
    #[must_use]
    pub fn new(max_silence: time::Duration) -> Self {
        Self {
            max_silence,
            min_rate: DEFAULT_MIN_RATE,
        }
    }

    /// Returns how long to wait for the next bytes when `received` bytes have arrived within `elapsed`; none if the body
    /// arrives too slowly.
    #[must_use]
    pub fn patience(&self, elapsed: time::Duration, received: usize) -> Option<time::Duration> {
        let seconds = received as f64 / f64::from(self.min_rate.max(1));
        let allowed = self.max_silence + time::Duration::from_secs_f64(seconds);
        let left = allowed.checked_sub(elapsed)?;
        (!left.is_zero()).then(|| left.min(self.max_silence))
    }
}
