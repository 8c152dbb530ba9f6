use std::time;

/// The record of a shard in the store, at [`shard_key`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Shard {
    /// The holder; none when the shard is free.
    pub owner: Option<super::Owner>,
    /// The number of this write of the record, from 1.
    pub sequence: u64,
    /// The time without a renewal after which another process may claim the shard, in milliseconds.
    pub validity_ms: u64,
    /// The operation identifier of the write.
    pub operation: String,
}

impl Shard {
    /// Returns the time without a renewal after which another process may claim the shard.
    pub const fn validity(&self) -> time::Duration {
        time::Duration::from_millis(self.validity_ms)
    }

    /// Returns the time from before the renewal was sent for which the holder may spend.
    pub fn spendable_for(&self) -> time::Duration {
        let millis = u128::from(self.validity_ms) * u128::from(super::SPENDABLE_PERCENT) / 100;
        time::Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }
}

/// A shard's record as read from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Observation {
    /// The number of the shard.
    pub number: u32,
    /// The record; none when there is none yet.
    pub shard: Option<Shard>,
    /// The store revision of the record's last change; 0 when there is no record.
    pub revision: u64,
}

/// Returns the store key of shard `number`.
pub fn shard_key(number: u32) -> String {
    format!("{}share/{number}", crate::config::PREFIX)
}
