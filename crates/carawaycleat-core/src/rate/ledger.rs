use std::collections;

use crate::clock;
use crate::name;
use crate::resource;

use super::bucket;

/// The buckets of all workspaces at one host, for the held part of the shards.
///
/// A workspace without a rate resource has no tokens: its requests are refused with
/// [`Refusal::NoRate`](super::Refusal::NoRate), so that a deleted rate does not lift the limit.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::{clock, name, rate, resource};
///
/// let workspace = name::Name::parse("team").expect("a valid name");
/// let team = resource::Rate { workspace: workspace.clone(), tokens_per_second: 100, burst_tokens: 200 };
/// let mut ledger = rate::Ledger::new();
/// ledger.set_rates(clock::Instant::from_millis(0), [&team]);
/// ledger.set_held(clock::Instant::from_millis(0), 32, 64);
///
/// let now = clock::Instant::from_millis(1_000);
/// let reservation = ledger.reserve(now, &workspace, 50).expect("half of the rate for a second");
/// assert!(ledger.reserve(now, &workspace, 1).is_err());
/// ledger.settle(now, reservation, 20);
/// assert!(ledger.reserve(now, &workspace, 30).is_ok());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    options: super::Options,
    held: u32,
    total: u32,
    buckets: collections::BTreeMap<name::Name, bucket::Bucket>,
    credited: collections::HashMap<u128, clock::Instant>,
}

impl Ledger {
    /// Returns a ledger without rates and shards.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the options and returns the ledger.
    #[must_use]
    pub fn options(mut self, options: super::Options) -> Self {
        self.options = options;
        self
    }

    /// Sets the rates. A bucket of a new rate starts empty, and a lower burst caps the level.
    ///
    /// Of two rates for one workspace, the lower number of each kind applies.
    pub fn set_rates<'a>(
        &mut self,
        now: clock::Instant,
        rates: impl IntoIterator<Item = &'a resource::Rate>,
    ) {
        let mut wanted = collections::BTreeMap::new();
        for rate in rates {
            let new = (rate.tokens_per_second, rate.burst_tokens);
            let known = wanted.entry(rate.workspace.clone()).or_insert(new);
            *known = (known.0.min(new.0), known.1.min(new.1));
        }
        let (held, total) = self.part();
        self.buckets
            .retain(|workspace, _| wanted.contains_key(workspace));
        for (workspace, (rate, burst)) in wanted {
            let new = || bucket::Bucket::new(now, rate, burst);
            let bucket = self.buckets.entry(workspace).or_insert_with(new);
            bucket.fill(now, held, total);
            bucket.set(rate, burst, held, total);
        }
    }

    /// Sets the number of held shards of `total`, as [`Holder::spendable`](super::Holder::spendable) has it.
    ///
    /// An acquired shard is empty: the level does not change. A lost shard takes its part of the level with it.
    pub fn set_held(&mut self, now: clock::Instant, held: u32, total: u32) {
        if (held, total) == (self.held, self.total) {
            return;
        }
        let before = self.part();
        (self.held, self.total) = (held, total);
        let after = self.part();
        for bucket in self.buckets.values_mut() {
            bucket.fill(now, before.0, before.1);
            bucket.resize(before, after, &self.options);
        }
    }

    fn part(&self) -> (u32, u32) {
        match self.options.is_split {
            true => (self.held, self.total),
            false => (1, 1),
        }
    }

    fn filled(&mut self, now: clock::Instant, workspace: &str) -> Option<&mut bucket::Bucket> {
        let (held, total) = self.part();
        let bucket = self.buckets.get_mut(workspace)?;
        bucket.fill(now, held, total);
        Some(bucket)
    }

    /// Takes `tokens` from the bucket of `workspace`.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the bucket has too few, the fleet's burst is smaller than `tokens`, or the workspace has
    /// no rate.
    pub fn reserve(
        &mut self,
        now: clock::Instant,
        workspace: &name::Name,
        tokens: u64,
    ) -> Result<super::Reservation, super::Refusal> {
        let (held, total) = self.part();
        let reserves = self.options.reserves;
        let bucket = self.filled(now, workspace).ok_or(super::Refusal::NoRate)?;
        if tokens > bucket.burst() {
            return Err(super::Refusal::ExceedsBurst(bucket.burst()));
        }
        let is_admitted = match reserves {
            true => bucket.take(tokens),
            false => bucket.has_tokens(),
        };
        if !is_admitted {
            return Err(super::Refusal::Limited(bucket.wait(tokens, held, total)));
        }
        Ok(super::Reservation {
            workspace: workspace.clone(),
            tokens: if reserves { tokens } else { 0 },
        })
    }

    /// Settles a reservation of which `used` tokens were used.
    ///
    /// The rest is refunded up to the held part of the burst. Tokens used beyond the reservation are debited.
    pub fn settle(&mut self, now: clock::Instant, reservation: super::Reservation, used: u64) {
        let (held, total) = self.part();
        let Some(bucket) = self.filled(now, &reservation.workspace) else {
            return;
        };
        match reservation.tokens.checked_sub(used) {
            Some(rest) => bucket.refund(rest, held, total),
            None => bucket.debit(used - reservation.tokens),
        }
    }

    /// Returns the tokens that are missing to reserve `tokens`, for which a peer can be asked.
    pub fn shortfall(&mut self, now: clock::Instant, workspace: &name::Name, tokens: u64) -> u64 {
        self.filled(now, workspace)
            .map_or(0, |b| b.shortfall(tokens))
    }

    /// Debits up to `tokens` and returns how many a transfer may carry. Borrowed tokens are not lent on.
    pub fn lend(&mut self, now: clock::Instant, workspace: &name::Name, tokens: u64) -> u64 {
        let options = self.options;
        let Some(bucket) = self.filled(now, workspace) else {
            return 0;
        };
        let lent = tokens.min(bucket.lendable());
        if lent > 0 {
            bucket.lend(now, lent, &options);
        }
        lent
    }

    /// Credits the transfer `id` that answers a request sent at `asked`, and returns whether it was credited.
    ///
    /// A transfer is credited once, and only within [`TRANSFER_VALIDITY`](super::TRANSFER_VALIDITY) of `asked`, after
    /// which its tokens expire. Its identifier is kept until then.
    pub fn credit(
        &mut self,
        now: clock::Instant,
        asked: clock::Instant,
        id: u128,
        workspace: &name::Name,
        tokens: u64,
    ) -> bool {
        let options = self.options;
        let end = match options.expires_loans {
            true => asked + super::TRANSFER_VALIDITY,
            false => clock::Instant::from_micros(u64::MAX),
        };
        self.credited.retain(|_, until| now < *until);
        if now >= end || self.credited.len() >= super::MAX_TRANSFERS {
            return false;
        }
        if options.credits_once && self.credited.contains_key(&id) {
            return false;
        }
        self.credited.insert(id, end);
        match self.filled(now, workspace) {
            Some(bucket) => bucket.borrow(end, tokens),
            None => return false,
        }
        true
    }

    /// Returns the tokens of each workspace that can be lent.
    pub fn offers(&mut self, now: clock::Instant) -> Vec<(name::Name, u64)> {
        let (held, total) = self.part();
        let mut offers = Vec::new();
        for (workspace, bucket) in &mut self.buckets {
            bucket.fill(now, held, total);
            if bucket.lendable() > 0 {
                offers.push((workspace.clone(), bucket.lendable()));
            }
        }
        offers
    }
}
