use std::time;

use crate::clock;

/// The part of a workspace's allowance that one entry host may use.
///
/// The parts of all hosts add up to the whole, so the fleet keeps to the rate without a call for each request.
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
    rate: f64,
    burst: f64,
    share: f64,
    level: f64,
    /// The tokens of refused callers that were told when to come back and are not due yet.
    promised: f64,
    filled: clock::Instant,
}

/// The part of the burst that a process starts with. A process that is restarted has forgotten what the one before
/// it used.
const FIRST_LEVEL: f64 = 0.5;

impl Allowance {
    /// Returns the part `share` of `rate` tokens a second and of `burst`.
    #[must_use]
    pub fn new(now: clock::Instant, rate: u64, burst: u64, share: f64) -> Self {
        let mut allowance = Self {
            rate: 0.0,
            burst: 0.0,
            share,
            level: 0.0,
            promised: 0.0,
            filled: now,
        };
        allowance.update(now, rate, burst, share);
        allowance.level = allowance.capacity() * FIRST_LEVEL;
        allowance
    }

    /// Follows a change of the whole or of the part.
    pub fn update(&mut self, now: clock::Instant, rate: u64, burst: u64, share: f64) {
        self.fill(now);
        // A token count is far below 2^52.
        self.rate = rate as f64;
        self.burst = burst as f64;
        self.share = share.clamp(0.0, 1.0);
        self.level = self.level.min(self.capacity());
    }

    fn capacity(&self) -> f64 {
        // A host with a small part still lets single large requests pass.
        (self.burst * self.share).max(1.0)
    }

    fn fill(&mut self, now: clock::Instant) {
        let elapsed = now.since(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        let gained = elapsed * self.rate * self.share;
        self.level = (self.level + gained).min(self.capacity());
        self.promised = (self.promised - gained).max(0.0);
    }

    /// Takes `tokens`. A request may take more than there is as long as the level is above zero, and the level then
    /// stays negative until it is refilled: a request larger than the capacity would never pass otherwise.
    ///
    /// # Errors
    ///
    /// Returns the time after which the request would pass.
    pub fn take(&mut self, now: clock::Instant, tokens: u64) -> Result<(), time::Duration> {
        if self.rate <= 0.0 {
            return Ok(());
        }
        self.fill(now);
        let tokens = tokens as f64;
        let needed = tokens.min(self.capacity());
        if self.level >= needed {
            self.level -= tokens;
            return Ok(());
        }
        Err(self.promise(needed, tokens))
    }

    /// Returns the time after which a request that got no tokens elsewhere would pass here.
    pub fn retry_after(&mut self, now: clock::Instant, tokens: u64) -> time::Duration {
        self.fill(now);
        let tokens = tokens as f64;
        self.promise(tokens.min(self.capacity()), tokens)
    }

    /// Callers that are refused one after the other come back one after the other.
    fn promise(&mut self, needed: f64, tokens: f64) -> time::Duration {
        let missing = (needed - self.level + self.promised).max(0.0);
        let seconds = missing / (self.rate * self.share).max(1.0);
        self.promised += tokens;
        time::Duration::from_secs_f64(seconds.min(60.0))
    }

    /// Returns the tokens that there are; negative after a large request.
    pub fn level(&mut self, now: clock::Instant) -> f64 {
        self.fill(now);
        self.level
    }

    /// Gives back the tokens of a request that did not run.
    pub fn refund(&mut self, tokens: u64) {
        self.level = (self.level + tokens as f64).min(self.capacity());
    }
}
