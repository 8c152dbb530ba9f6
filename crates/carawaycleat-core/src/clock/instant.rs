use std::ops;
use std::time;

/// A point on a process's monotonic clock, in microseconds since an arbitrary origin.
///
/// Instants of different processes cannot be compared.
///
/// # Examples
///
/// ```
/// use std::time;
///
/// use carawaycleat_core::clock;
///
/// let start = clock::Instant::from_micros(1_000);
/// let later = start + time::Duration::from_millis(2);
/// assert_eq!(later.since(start), time::Duration::from_millis(2));
/// assert_eq!(start.since(later), time::Duration::ZERO);
/// assert_eq!(later - time::Duration::from_millis(2), start);
/// assert_eq!(start - time::Duration::from_secs(1), clock::Instant::default());
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Instant(u64);

impl Instant {
    /// Returns the instant `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the instant `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero when `earlier` is later.
    pub const fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<time::Duration> for Instant {
    type Output = Self;

    fn add(self, duration: time::Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl ops::Sub<time::Duration> for Instant {
    type Output = Self;

    fn sub(self, duration: time::Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}
