use std::collections;
use std::time;

use crate::clock;

/// A millionth of a token; a rate in tokens per second is a number of these per microsecond.
pub(super) const MICRO: i64 = 1_000_000;

/// Loans that end within the same 50 ms are kept as one.
const LOAN_STEP_US: u64 = 50_000;

/// The borrowed amounts that are kept apart; beyond that, they expire together.
const MAX_BORROWED: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Amount {
    until: clock::Instant,
    micros: i64,
}

/// The held part of a workspace's rate.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    rate: u64,
    burst: u64,
    /// Micro-tokens; negative when a request used more than it reserved.
    level: i64,
    /// What was filled in below one micro-token, in parts of the total number of shards.
    carry: u128,
    filled: clock::Instant,
    borrowed: collections::VecDeque<Amount>,
    lent: collections::VecDeque<Amount>,
}

impl Bucket {
    pub(super) fn new(now: clock::Instant, rate: u64, burst: u64) -> Self {
        Self {
            rate,
            burst,
            level: 0,
            carry: 0,
            filled: now,
            borrowed: collections::VecDeque::new(),
            lent: collections::VecDeque::new(),
        }
    }

    pub(super) fn burst(&self) -> u64 {
        self.burst
    }

    /// Returns the most micro-tokens that the bucket may hold.
    fn capacity(&self, held: u32, total: u32) -> i64 {
        let lent: i64 = self.lent.iter().map(|amount| amount.micros).sum();
        (part(self.burst, held, total) - lent).max(0)
    }

    pub(super) fn fill(&mut self, now: clock::Instant, held: u32, total: u32) {
        let micros = now.since(self.filled).as_micros();
        self.filled = self.filled.max(now);
        self.borrowed.retain(|amount| now < amount.until);
        self.lent.retain(|amount| now < amount.until);
        let parts = micros * u128::from(self.rate) * u128::from(held) + self.carry;
        let total_parts = u128::from(total.max(1));
        let gained = i64::try_from(parts / total_parts).unwrap_or(i64::MAX);
        self.carry = parts % total_parts;
        self.add(gained, held, total);
    }

    fn add(&mut self, micros: i64, held: u32, total: u32) {
        let level = self.level.saturating_add(micros);
        self.level = level.min(self.capacity(held, total).max(self.level));
    }

    pub(super) fn set(&mut self, rate: u64, burst: u64, held: u32, total: u32) {
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(self.capacity(held, total));
    }

    /// Follows a change of the held part. A part that is given up takes its tokens with it.
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
            self.level += part(self.burst, to.0, to.1) - part(self.burst, from.0, from.1);
        }
        self.carry = 0;
    }

    fn available(&self) -> i64 {
        let borrowed: i64 = self.borrowed.iter().map(|amount| amount.micros).sum();
        self.level.saturating_add(borrowed)
    }

    pub(super) fn has_tokens(&self) -> bool {
        self.available() > 0
    }

    /// Returns the tokens that are missing for `tokens`.
    pub(super) fn shortfall(&self, tokens: u64) -> u64 {
        let missing = micros(tokens).saturating_sub(self.available()).max(0);
        missing.unsigned_abs().div_ceil(MICRO.unsigned_abs())
    }

    /// Takes `tokens`, borrowed ones first because they expire.
    pub(super) fn take(&mut self, tokens: u64) -> bool {
        let mut rest = micros(tokens);
        if self.available() < rest {
            return false;
        }
        while let Some(first) = self.borrowed.front_mut() {
            let taken = rest.min(first.micros);
            first.micros -= taken;
            rest -= taken;
            if first.micros > 0 {
                break;
            }
            self.borrowed.pop_front();
        }
        self.level -= rest;
        true
    }

    pub(super) fn refund(&mut self, tokens: u64, held: u32, total: u32) {
        self.add(micros(tokens), held, total);
    }

    /// Takes `tokens` that were used, whether the bucket has them or not.
    pub(super) fn debit(&mut self, tokens: u64) {
        self.level = self.level.saturating_sub(micros(tokens));
    }

    /// Returns how long filling takes until `tokens` are there.
    ///
    /// When this host's part is too small for them, the time in which the whole rate gains what is missing is returned,
    /// since peers may lend.
    pub(super) fn wait(&self, tokens: u64, held: u32, total: u32) -> time::Duration {
        let missing = u128::from(
            micros(tokens)
                .saturating_sub(self.available())
                .max(0)
                .unsigned_abs(),
        );
        let is_local = held > 0 && micros(tokens) <= self.capacity(held, total);
        let (parts, rate) = match is_local {
            true => (u128::from(total), u128::from(self.rate) * u128::from(held)),
            false => (1, u128::from(self.rate)),
        };
        let micros = (missing * parts).div_ceil(rate.max(1));
        time::Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the whole tokens of the bucket's own level.
    pub(super) fn lendable(&self) -> u64 {
        u64::try_from(self.level / MICRO).unwrap_or(0)
    }

    pub(super) fn lend(&mut self, now: clock::Instant, tokens: u64, options: &super::Options) {
        if options.debits_loans {
            self.level -= micros(tokens);
        }
        if !options.expires_loans {
            return;
        }
        let end = (now + super::LOAN_DURATION).as_micros();
        let until = clock::Instant::from_micros(end.next_multiple_of(LOAN_STEP_US));
        match self.lent.back_mut() {
            Some(last) if last.until == until => last.micros += micros(tokens),
            _ => self.lent.push_back(Amount {
                until,
                micros: micros(tokens),
            }),
        }
    }

    pub(super) fn borrow(&mut self, until: clock::Instant, tokens: u64) {
        let amount = Amount {
            until,
            micros: micros(tokens),
        };
        let is_full = self.borrowed.len() >= MAX_BORROWED;
        match self.borrowed.back_mut() {
            Some(last) if is_full => {
                last.micros += amount.micros;
                last.until = last.until.min(until);
            }
            _ => self.borrowed.push_back(amount),
        }
    }
}

fn micros(tokens: u64) -> i64 {
    i64::try_from(tokens).map_or(i64::MAX, |tokens| tokens.saturating_mul(MICRO))
}

/// Returns the micro-tokens of `tokens` that belong to `held` of `total` shards.
fn part(tokens: u64, held: u32, total: u32) -> i64 {
    let all = u128::from(micros(tokens).unsigned_abs());
    let part = all * u128::from(held) / u128::from(total.max(1));
    i64::try_from(part).unwrap_or(i64::MAX)
}
