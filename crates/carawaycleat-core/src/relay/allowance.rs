use std::time;

use crate::clock;

/// A token bucket for one entry host's share of a workspace's allowance.
///
/// The shares of all hosts add up to the whole, so the fleet keeps to the rate without a call for each request.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::clock;
/// use carawaycleat_core::relay;
///
/// let now = clock::Instant::from_millis(0);
/// let mut allowance = relay::Allowance::new(now, 1_000, 1_000, 0.5);
/// assert!(allowance.take(now, 100).is_ok());
/// assert!(allowance.take(now, 10_000).is_err());
/// ```
#[derive(Clone, Debug)]
pub struct Allowance {
    /// The tokens per second of the whole allowance; 0 means no limit.
    rate: f64,
    /// The burst of the whole allowance in tokens.
    burst: f64,
    /// The share of rate and burst, between 0 and 1.
    share: f64,
    /// The available tokens as of `refilled`.
    level: f64,
    /// The tokens reserved for refused callers whose `Retry-After` has not passed yet.
    reserved: f64,
    refilled: clock::Instant,
}

/// The fraction of the capacity that is available at the start. A restarted process does not know what its predecessor
/// used.
const INITIAL_LEVEL: f64 = 0.5;

impl Allowance {
    /// Returns an allowance for the share `share` of `rate` tokens per second and of `burst` tokens.
    #[must_use]
    pub fn new(now: clock::Instant, rate: u64, burst: u64, share: f64) -> Self {
        let mut allowance = Self {
            rate: 0.0,
            burst: 0.0,
            share,
            level: 0.0,
            reserved: 0.0,
            refilled: now,
        };
        allowance.update(now, rate, burst, share);
        allowance.level = allowance.capacity() * INITIAL_LEVEL;
        allowance
    }

    /// Changes the rate, the burst and the share.
    pub fn update(&mut self, now: clock::Instant, rate: u64, burst: u64, share: f64) {
        self.refill(now);
        // Token counts are far below 2^52, so the conversion is exact.
        self.rate = rate as f64;
        self.burst = burst as f64;
        self.share = share.clamp(0.0, 1.0);
        self.level = self.level.min(self.capacity());
    }

    /// Returns the maximum level in tokens.
    fn capacity(&self) -> f64 {
        // Hosts with a small share still admit single large requests.
        (self.burst * self.share).max(1.0)
    }

    /// Adds the tokens gained since the last call.
    fn refill(&mut self, now: clock::Instant) {
        let elapsed = now.since(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        let gained = elapsed * self.rate * self.share;
        self.level = (self.level + gained).min(self.capacity());
        self.reserved = (self.reserved - gained).max(0.0);
    }

    /// Takes `tokens`. A request larger than the capacity passes when the bucket is full and leaves the level negative
    /// until it is refilled: it would never pass otherwise.
    ///
    /// # Errors
    ///
    /// Returns the time after which the request would pass, and reserves its tokens.
    pub fn take(&mut self, now: clock::Instant, tokens: u64) -> Result<(), time::Duration> {
        if self.rate <= 0.0 {
            return Ok(());
        }
        self.refill(now);
        let tokens = tokens as f64;
        let needed = tokens.min(self.capacity());
        if self.level >= needed {
            self.level -= tokens;
            return Ok(());
        }
        Err(self.reserve(needed, tokens))
    }

    /// Reserves the tokens of a request that got none elsewhere, and returns the time after which it would pass here.
    pub fn retry_after(&mut self, now: clock::Instant, tokens: u64) -> time::Duration {
        self.refill(now);
        let tokens = tokens as f64;
        self.reserve(tokens.min(self.capacity()), tokens)
    }

    /// Reserves tokens for a refused caller and returns its `Retry-After`. Later callers get later times, so that they
    /// do not return all at once.
    fn reserve(&mut self, needed: f64, tokens: f64) -> time::Duration {
        let missing = (needed - self.level + self.reserved).max(0.0);
        let seconds = missing / (self.rate * self.share).max(1.0);
        self.reserved += tokens;
        time::Duration::from_secs_f64(seconds.min(60.0))
    }

    /// Returns the available tokens; negative after a large request.
    pub fn level(&mut self, now: clock::Instant) -> f64 {
        self.refill(now);
        self.level
    }

    /// Returns the tokens of a request that did not run.
    pub fn refund(&mut self, tokens: u64) {
        self.level = (self.level + tokens as f64).min(self.capacity());
    }
}
