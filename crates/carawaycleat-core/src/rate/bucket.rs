use std::collections;
use std::time;

use crate::clock;

/// The number of micro-tokens in a token. A rate in tokens per second equals its micro-tokens per microsecond.
pub(super) const MICROS_PER_TOKEN: i64 = 1_000_000;

/// Loans that end within the same 50 ms are kept as one entry.
const LOAN_GRANULARITY_US: u64 = 50_000;

/// The largest number of borrowed amounts with separate expiry; further ones are merged into the last.
const MAX_BORROWED: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Loan {
    expires_at: clock::Instant,
    micros: i64,
}

/// A token bucket with the held share of a workspace's rate and burst.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    /// Tokens per second of the whole rate, over all shards.
    rate: u64,
    /// Tokens of the whole burst, over all shards.
    burst: u64,
    /// Micro-tokens; negative when a request used more than it reserved.
    level: i64,
    /// The gained fraction of a micro-token: a numerator over the total number of shards.
    remainder: u128,
    filled_at: clock::Instant,
    borrowed: collections::VecDeque<Loan>,
    lent: collections::VecDeque<Loan>,
}

impl Bucket {
    pub(super) fn new(now: clock::Instant, rate: u64, burst: u64) -> Self {
        Self {
            rate,
            burst,
            level: 0,
            remainder: 0,
            filled_at: now,
            borrowed: collections::VecDeque::new(),
            lent: collections::VecDeque::new(),
        }
    }

    pub(super) fn burst(&self) -> u64 {
        self.burst
    }

    /// Returns the largest number of micro-tokens that the bucket may hold: its share of the burst less the loans.
    fn capacity(&self, held: u32, total: u32) -> i64 {
        let lent: i64 = self.lent.iter().map(|loan| loan.micros).sum();
        (share(self.burst, held, total) - lent).max(0)
    }

    pub(super) fn fill(&mut self, now: clock::Instant, held: u32, total: u32) {
        let elapsed_us = now.since(self.filled_at).as_micros();
        self.filled_at = self.filled_at.max(now);
        self.borrowed.retain(|loan| now < loan.expires_at);
        self.lent.retain(|loan| now < loan.expires_at);
        let numerator = elapsed_us * u128::from(self.rate) * u128::from(held) + self.remainder;
        let denominator = u128::from(total.max(1));
        let gained = i64::try_from(numerator / denominator).unwrap_or(i64::MAX);
        self.remainder = numerator % denominator;
        self.add(gained, held, total);
    }

    fn add(&mut self, micros: i64, held: u32, total: u32) {
        let level = self.level.saturating_add(micros);
        self.level = level.min(self.capacity(held, total).max(self.level));
    }

    pub(super) fn set_rate(&mut self, rate: u64, burst: u64, held: u32, total: u32) {
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(self.capacity(held, total));
    }

    /// Applies a change of the held share. A released share takes its part of the level with it.
    pub(super) fn resize(&mut self, from: (u32, u32), to: (u32, u32), options: &super::Options) {
        let before = u128::from(from.0) * u128::from(to.1.max(1));
        let after = u128::from(to.0) * u128::from(from.1.max(1));
        if after < before {
            if options.drops_released {
                let level = u128::try_from(self.level.max(0)).unwrap_or(0) * after / before;
                let kept = i64::try_from(level).unwrap_or(i64::MAX);
                self.level = self.level.min(kept).min(self.capacity(to.0, to.1));
            }
        } else if !options.starts_empty {
            self.level += share(self.burst, to.0, to.1) - share(self.burst, from.0, from.1);
        }
        self.remainder = 0;
    }

    /// Returns the micro-tokens that can be taken, borrowed ones included.
    fn available(&self) -> i64 {
        let borrowed: i64 = self.borrowed.iter().map(|loan| loan.micros).sum();
        self.level.saturating_add(borrowed)
    }

    pub(super) fn has_tokens(&self) -> bool {
        self.available() > 0
    }

    /// Returns the number of tokens missing to take `tokens`, rounded up.
    pub(super) fn shortfall(&self, tokens: u64) -> u64 {
        let missing = micros(tokens).saturating_sub(self.available()).max(0);
        missing
            .unsigned_abs()
            .div_ceil(MICROS_PER_TOKEN.unsigned_abs())
    }

    /// Takes `tokens` if they are available, borrowed ones first because they expire.
    pub(super) fn take(&mut self, tokens: u64) -> bool {
        let mut remaining = micros(tokens);
        if self.available() < remaining {
            return false;
        }
        while let Some(first) = self.borrowed.front_mut() {
            let taken = remaining.min(first.micros);
            first.micros -= taken;
            remaining -= taken;
            if first.micros > 0 {
                break;
            }
            self.borrowed.pop_front();
        }
        self.level -= remaining;
        true
    }

    pub(super) fn refund(&mut self, tokens: u64, held: u32, total: u32) {
        self.add(micros(tokens), held, total);
    }

    /// Subtracts `tokens` that were used beyond the reservation; the level may become negative.
    pub(super) fn debit(&mut self, tokens: u64) {
        self.level = self.level.saturating_sub(micros(tokens));
    }

    /// Returns the time until the bucket has gained `tokens`.
    ///
    /// If they exceed the capacity of this bucket, returns the time in which the whole rate gains the missing tokens,
    /// since peers may lend.
    pub(super) fn retry_after(&self, tokens: u64, held: u32, total: u32) -> time::Duration {
        let missing = u128::from(
            micros(tokens)
                .saturating_sub(self.available())
                .max(0)
                .unsigned_abs(),
        );
        let is_local = held > 0 && micros(tokens) <= self.capacity(held, total);
        let (denominator, rate) = match is_local {
            true => (u128::from(total), u128::from(self.rate) * u128::from(held)),
            false => (1, u128::from(self.rate)),
        };
        let micros = (missing * denominator).div_ceil(rate.max(1));
        time::Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the number of whole tokens in the bucket, borrowed ones excluded.
    pub(super) fn lendable(&self) -> u64 {
        u64::try_from(self.level / MICROS_PER_TOKEN).unwrap_or(0)
    }

    pub(super) fn lend(&mut self, now: clock::Instant, tokens: u64, options: &super::Options) {
        if options.debits_loans {
            self.level -= micros(tokens);
        }
        if !options.expires_loans {
            return;
        }
        let end = (now + super::LOAN_DURATION).as_micros();
        let expires_at = clock::Instant::from_micros(end.next_multiple_of(LOAN_GRANULARITY_US));
        match self.lent.back_mut() {
            Some(last) if last.expires_at == expires_at => last.micros += micros(tokens),
            _ => self.lent.push_back(Loan {
                expires_at,
                micros: micros(tokens),
            }),
        }
    }

    pub(super) fn borrow(&mut self, expires_at: clock::Instant, tokens: u64) {
        let loan = Loan {
            expires_at,
            micros: micros(tokens),
        };
        let is_full = self.borrowed.len() >= MAX_BORROWED;
        match self.borrowed.back_mut() {
            Some(last) if is_full => {
                last.micros += loan.micros;
                last.expires_at = last.expires_at.min(expires_at);
            }
            _ => self.borrowed.push_back(loan),
        }
    }
}

fn micros(tokens: u64) -> i64 {
    i64::try_from(tokens).map_or(i64::MAX, |tokens| tokens.saturating_mul(MICROS_PER_TOKEN))
}

/// Returns the share of `tokens` that `held` of `total` shards have, in micro-tokens.
fn share(tokens: u64, held: u32, total: u32) -> i64 {
    let micros = u128::from(micros(tokens).unsigned_abs());
    let share = micros * u128::from(held) / u128::from(total.max(1));
    i64::try_from(share).unwrap_or(i64::MAX)
}
