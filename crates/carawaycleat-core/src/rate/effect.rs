use crate::clock;

/// What a [`Holder`](super::Holder) wants done at the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// A transaction whose result goes to [`Holder::record_outcome`](super::Holder::record_outcome).
    Write(Write),
    /// A read of these shards, whose result goes to [`Holder::record_read`](super::Holder::record_read).
    Read(Vec<u32>),
}

/// The purpose of a [`Write`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operation {
    /// The shards become this host's.
    Claim,
    /// The shards stay this host's for another validity.
    Renew,
    /// The shards become free.
    Release,
}

/// A transaction that takes effect only when no record has changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// The operation identifier, which each record contains.
    pub id: String,
    /// The purpose.
    pub operation: Operation,
    /// The time before which the write was not sent.
    pub sent_at: clock::Instant,
    /// The records.
    pub puts: Vec<Put>,
}

/// A record to write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Put {
    /// The number of the shard.
    pub number: u32,
    /// The store revision that the record must have; 0 when there must be none.
    pub expected_revision: u64,
    /// The new record.
    pub shard: super::Shard,
}

/// The result of a [`Write`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The write took effect at this store revision.
    Written(u64),
    /// A record had changed, so the write did not take effect.
    Rejected,
    /// The write may have taken effect, or may still.
    Unknown,
}
