//! Fleet-wide rate limits, divided into shards that the hosts hold.
//!
//! A [`Holder`] decides which shards the host may spend, and a [`Ledger`] holds the host's token bucket of each
//! workspace. The caller passes [`Holder::spendable`] to [`Ledger::set_held`] before each reservation and before it
//! performs the effects of [`Holder::tick`], so that a released or expired shard is never spent.

mod bucket;
mod effect;
mod holder;
mod ledger;
mod options;
mod owner;
mod refusal;
mod reservation;
mod shard;
mod state;

use std::time;

pub use effect::Effect;
pub use effect::Operation;
pub use effect::Outcome;
pub use effect::Put;
pub use effect::Write;
pub use holder::Holder;
pub use ledger::Ledger;
pub use options::Options;
pub use owner::Owner;
pub use refusal::Refusal;
pub use reservation::Reservation;
pub use shard::Observation;
pub use shard::Shard;
pub use shard::shard_key;

/// The default number of shards that a rate is divided into.
pub const DEFAULT_SHARDS: u32 = 64;

/// The default time for which a shard stays held without a renewal; it outlasts a store outage of an hour.
pub const DEFAULT_VALIDITY: time::Duration = time::Duration::from_secs(2 * 60 * 60);

/// The percentage of the validity for which the holder may spend; the rest covers differences in clock speed.
pub const SPENDABLE_PERCENT: u32 = 90;

/// The number of renewals in one validity: with the default of 2 hours, one every 10 minutes.
pub const RENEWALS_PER_VALIDITY: u32 = 12;

/// The largest number of shards in one transaction; the store accepts up to 128 operations.
pub const MAX_PUTS: usize = 64;

/// The time after which the outcome of a write without a response counts as unknown.
pub const WRITE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// The time between two attempts to read records back.
pub const READ_RETRY_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The time from the request for tokens within which the lent tokens can be spent.
///
/// Tokens are lent for a request that waits for them, so a round trip between regions is enough. The capacity of the
/// lender's bucket is reduced by the lent tokens for longer than that ([`LOAN_DURATION`]), so that the tokens of all
/// hosts together never exceed the burst; a bucket that has reached its reduced capacity gains no tokens.
pub const TRANSFER_VALIDITY: time::Duration = time::Duration::from_millis(200);

/// The time for which the capacity of the lender's bucket is reduced by the lent tokens.
pub const LOAN_DURATION: time::Duration = time::Duration::from_millis(250);

/// The largest number of transfers that are remembered so that none is credited twice; further ones are rejected.
pub const MAX_TRANSFERS: usize = 4_096;
