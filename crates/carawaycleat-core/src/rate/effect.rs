use crate::clock;

/// A store operation that a [`Holder`](super::Holder) requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// A transaction whose result goes to [`Holder::record_outcome`](super::Holder::record_outcome).
    Write(Write),
    /// A read of these shards, whose result goes to [`Holder::record_read`](super::Holder::record_read).
    Read(Vec<u32>),
}

/// The kind of a [`Write`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Makes this process the owner of the shards.
    Claim,
    /// Extends the ownership of the shards by another validity.
    Renew,
    /// Makes the shards free.
    Release,
}

/// A transaction that takes effect only if none of its records has changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// The identifier of the operation, which is stored in each record.
    pub id: String,
    /// The kind of operation.
    pub operation: Operation,
    /// The time at which the write was created; it is sent no earlier.
    pub sent_at: clock::Instant,
    /// The records.
    pub puts: Vec<Put>,
}

/// A record to write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Put {
    /// The number of the shard.
    pub number: u32,
    /// The store revision that the record must have; 0 if there must be no record.
    pub expected_revision: u64,
    /// The new record.
    pub shard: super::Shard,
}

/// The outcome of a [`Write`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The write took effect at this store revision.
    Written(u64),
    /// The write did not take effect, for instance because a record had changed.
    Rejected,
    /// The write may have taken effect, or may still take effect.
    Unknown,
}
