use std::time;

/// The record of a shard in the store, at [`shard_key`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Shard {
    /// The process that holds the shard; none if it is free.
    pub owner: Option<super::Owner>,
    /// The number of writes of this record so far, from 1.
    pub sequence: u64,
    /// The time without a renewal after which another process may claim the shard, in milliseconds.
    pub validity_ms: u64,
    /// The identifier of the operation that wrote the record.
    pub operation: String,
}

impl Shard {
    /// Returns the time without a renewal after which another process may claim the shard.
    pub const fn validity(&self) -> time::Duration {
        time::Duration::from_millis(self.validity_ms)
    }

    /// Returns the time for which the holder may spend, counted from before it sent the renewal.
    pub fn spendable_for(&self) -> time::Duration {
        let millis = u128::from(self.validity_ms) * u128::from(super::SPENDABLE_PERCENT) / 100;
        time::Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }
}

/// A shard's record as read from the store, with its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Observation {
    /// The number of the shard.
    pub number: u32,
    /// The record; none if it does not exist yet.
    pub shard: Option<Shard>,
    /// The store revision of the record's last change; 0 if there is no record.
    pub revision: u64,
}

/// Returns the store key of shard `number`.
pub fn shard_key(number: u32) -> String {
    format!("{}share/{number}", crate::config::PREFIX)
}
