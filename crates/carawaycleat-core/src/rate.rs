//! Fleet-wide rate limits: shards of each rate, their holders, and the buckets of one host.
//!
//! A [`Holder`] decides which shards the host may spend, and a [`Ledger`] holds the host's bucket of each workspace.
//! The caller passes [`Holder::spendable`] to [`Ledger::set_held`] before each reservation and before it performs the
//! effects of [`Holder::tick`], so that a released or expired shard is never spent.

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

/// The shards that a rate is divided into by default.
pub const DEFAULT_SHARDS: u32 = 64;

/// The default validity of a shard without a renewal; it outlasts a store outage of an hour.
pub const DEFAULT_VALIDITY: time::Duration = time::Duration::from_secs(2 * 60 * 60);

/// The part of the validity in percent after which the holder stops; the rest covers differences in clock speed.
pub const SPENDABLE_PERCENT: u32 = 90;

/// The renewals in one validity: every 10 minutes of 2 hours.
pub const RENEWALS_PER_VALIDITY: u32 = 12;

/// The shards in one transaction; the store accepts up to 128 operations.
pub const MAX_PUTS: usize = 64;

/// The time after which a write without an answer counts as unknown.
pub const WRITE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// The time between two attempts to read records back.
pub const READ_RETRY_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The time after asking for which lent tokens can be spent.
///
/// Tokens are lent for a request that waits for them, so a round trip between regions is enough. The lender's bucket
/// stays smaller by the lent tokens for longer than that ([`LOAN_DURATION`]), so that the tokens of all hosts together never
/// exceed the burst; while it is full, it gains nothing.
pub const TRANSFER_VALIDITY: time::Duration = time::Duration::from_millis(200);

/// The time for which a lender's bucket is smaller by what it lent.
pub const LOAN_DURATION: time::Duration = time::Duration::from_millis(250);

/// The transfers remembered so that none is credited twice; beyond that, transfers are refused.
pub const MAX_TRANSFERS: usize = 4_096;
