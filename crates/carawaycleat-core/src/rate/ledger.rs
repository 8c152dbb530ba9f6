use std::collections;

use crate::clock;
use crate::name;
use crate::resource;

use super::bucket;

/// The token buckets of all workspaces at one host, for the shards that it holds.
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
    /// The credited transfers, with the time until which their identifiers are kept.
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

    /// Sets the rates. The bucket of a new rate starts empty, and a lower burst caps the level of its bucket.
    ///
    /// If a workspace has two rates, the lower rate and the lower burst apply.
    pub fn set_rates<'a>(
        &mut self,
        now: clock::Instant,
        rates: impl IntoIterator<Item = &'a resource::Rate>,
    ) {
        let mut limits = collections::BTreeMap::new();
        for rate in rates {
            let limit = (rate.tokens_per_second, rate.burst_tokens);
            let known = limits.entry(rate.workspace.clone()).or_insert(limit);
            *known = (known.0.min(limit.0), known.1.min(limit.1));
        }
        let (held, total) = self.share();
        self.buckets
            .retain(|workspace, _| limits.contains_key(workspace));
        for (workspace, (rate, burst)) in limits {
            let new = || bucket::Bucket::new(now, rate, burst);
            let bucket = self.buckets.entry(workspace).or_insert_with(new);
            bucket.fill(now, held, total);
            bucket.set_rate(rate, burst, held, total);
        }
    }

    /// Sets the number of held shards of `total`, as returned by [`Holder::spendable`](super::Holder::spendable).
    ///
    /// An acquired shard is empty: the level does not change. A lost shard takes its share of the level with it.
    pub fn set_held(&mut self, now: clock::Instant, held: u32, total: u32) {
        if (held, total) == (self.held, self.total) {
            return;
        }
        let before = self.share();
        (self.held, self.total) = (held, total);
        let after = self.share();
        for bucket in self.buckets.values_mut() {
            bucket.fill(now, before.0, before.1);
            bucket.resize(before, after, &self.options);
        }
    }

    /// Returns the held shards and the total; the whole rate if it is not divided.
    fn share(&self) -> (u32, u32) {
        match self.options.is_split {
            true => (self.held, self.total),
            false => (1, 1),
        }
    }

    /// Returns the bucket of `workspace`, filled up to `now`.
    fn filled_bucket(
        &mut self,
        now: clock::Instant,
        workspace: &str,
    ) -> Option<&mut bucket::Bucket> {
        let (held, total) = self.share();
        let bucket = self.buckets.get_mut(workspace)?;
        bucket.fill(now, held, total);
        Some(bucket)
    }

    /// Takes `tokens` from the bucket of `workspace`.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the bucket has too few tokens, the burst is smaller than `tokens`, or the workspace has no
    /// rate.
    pub fn reserve(
        &mut self,
        now: clock::Instant,
        workspace: &name::Name,
        tokens: u64,
    ) -> Result<super::Reservation, super::Refusal> {
        let (held, total) = self.share();
        let reserves = self.options.reserves;
        let bucket = self
            .filled_bucket(now, workspace)
            .ok_or(super::Refusal::NoRate)?;
        if tokens > bucket.burst() {
            return Err(super::Refusal::ExceedsBurst(bucket.burst()));
        }
        let is_admitted = match reserves {
            true => bucket.take(tokens),
            false => bucket.has_tokens(),
        };
        if !is_admitted {
            return Err(super::Refusal::Limited(
                bucket.retry_after(tokens, held, total),
            ));
        }
        Ok(super::Reservation {
            workspace: workspace.clone(),
            tokens: if reserves { tokens } else { 0 },
        })
    }

    /// Settles a reservation of which `used` tokens were used.
    ///
    /// Unused tokens are refunded up to the held share of the burst. Tokens used beyond the reservation are debited.
    pub fn settle(&mut self, now: clock::Instant, reservation: super::Reservation, used: u64) {
        let (held, total) = self.share();
        let Some(bucket) = self.filled_bucket(now, &reservation.workspace) else {
            return;
        };
        match reservation.tokens.checked_sub(used) {
            Some(unused) => bucket.refund(unused, held, total),
            None => bucket.debit(used - reservation.tokens),
        }
    }

    /// Returns the number of tokens missing to reserve `tokens`, which can be requested from a peer.
    pub fn shortfall(&mut self, now: clock::Instant, workspace: &name::Name, tokens: u64) -> u64 {
        self.filled_bucket(now, workspace)
            .map_or(0, |b| b.shortfall(tokens))
    }

    /// Debits up to `tokens` and returns how many may be transferred. Borrowed tokens are not lent again.
    pub fn lend(&mut self, now: clock::Instant, workspace: &name::Name, tokens: u64) -> u64 {
        let options = self.options;
        let Some(bucket) = self.filled_bucket(now, workspace) else {
            return 0;
        };
        let lent = tokens.min(bucket.lendable());
        if lent > 0 {
            bucket.lend(now, lent, &options);
        }
        lent
    }

    /// Credits the transfer `id`, a response to a request sent at `requested_at`, and returns whether it was credited.
    ///
    /// A transfer is credited once, and only within [`TRANSFER_VALIDITY`](super::TRANSFER_VALIDITY) of
    /// `requested_at`, after which its tokens expire. Its identifier is kept until then.
    pub fn credit(
        &mut self,
        now: clock::Instant,
        requested_at: clock::Instant,
        id: u128,
        workspace: &name::Name,
        tokens: u64,
    ) -> bool {
        let options = self.options;
        let expires_at = match options.expires_loans {
            true => requested_at + super::TRANSFER_VALIDITY,
            false => clock::Instant::from_micros(u64::MAX),
        };
        self.credited.retain(|_, until| now < *until);
        if now >= expires_at || self.credited.len() >= super::MAX_TRANSFERS {
            return false;
        }
        if options.credits_once && self.credited.contains_key(&id) {
            return false;
        }
        self.credited.insert(id, expires_at);
        match self.filled_bucket(now, workspace) {
            Some(bucket) => bucket.borrow(expires_at, tokens),
            None => return false,
        }
        true
    }

    /// Returns the number of tokens that can be lent, for each workspace that has any.
    pub fn offers(&mut self, now: clock::Instant) -> Vec<(name::Name, u64)> {
        let (held, total) = self.share();
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
