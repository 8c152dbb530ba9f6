use crate::clock;

/// The state of one shard, as known to a holder.
#[derive(Clone, Debug, Default)]
pub(super) struct State {
    pub(super) record: Option<super::Shard>,
    /// The store revision of `record`; 0 if there is none.
    pub(super) revision: u64,
    /// When the record was first observed at this revision.
    pub(super) observed_at: clock::Instant,
    /// The time from which the shard may be spent; the loans of the previous holder have expired by then.
    pub(super) spendable_from: clock::Instant,
    /// The time until which the shard is held; none if it is not held.
    pub(super) held_until: Option<clock::Instant>,
    /// When the write that `held_until` results from was sent.
    pub(super) renewed_at: clock::Instant,
    /// Whether the outcome of a write is not known, so that the record must be read before the next write.
    pub(super) needs_read: bool,
}

impl State {
    pub(super) fn owner(&self) -> Option<&super::Owner> {
        self.record.as_ref()?.owner.as_ref()
    }

    /// Returns whether `owner` or an earlier process on its address holds the shard.
    pub(super) fn is_held_at(&self, owner: &super::Owner) -> bool {
        // A process that has been replaced on its address must not release or claim the shards of its successor.
        self.owner()
            .is_some_and(|o| o.address == owner.address && o.incarnation <= owner.incarnation)
    }

    pub(super) fn is_held(&self, now: clock::Instant) -> bool {
        self.held_until.is_some_and(|until| now < until)
    }

    pub(super) fn is_spendable(&self, now: clock::Instant) -> bool {
        self.is_held(now) && now >= self.spendable_from
    }

    /// Marks the shard as held until `until` because of a write that was sent at `sent`.
    pub(super) fn hold(
        &mut self,
        now: clock::Instant,
        sent: clock::Instant,
        until: clock::Instant,
    ) {
        if !self.is_held(now) {
            self.spendable_from = now + super::LOAN_DURATION;
        }
        self.renewed_at = sent;
        self.held_until = Some(until);
    }

    /// Returns whether `owner` may claim the shard: it is free, it was held by an earlier process on the same bound
    /// address, or it was not renewed for its validity. Without `waits`, any shard may be claimed.
    pub(super) fn is_claimable(
        &self,
        now: clock::Instant,
        owner: &super::Owner,
        waits: bool,
    ) -> bool {
        let Some(record) = &self.record else {
            return true;
        };
        record.owner.is_none()
            || self.is_held_at(owner)
            || !waits
            || now.since(self.observed_at) >= record.validity()
    }
}
