use crate::clock;

/// What a holder knows of one shard.
#[derive(Clone, Debug, Default)]
pub(super) struct State {
    pub(super) record: Option<super::Shard>,
    pub(super) revision: u64,
    /// When the record was first seen at this revision.
    pub(super) seen: clock::Instant,
    /// From when the shard may be spent; what the previous holder lent has expired by then.
    pub(super) from: clock::Instant,
    /// Until when the shard is held; none when it is not.
    pub(super) until: Option<clock::Instant>,
    /// When the write behind `until` was sent.
    pub(super) renewed: clock::Instant,
    /// Whether a write has an unknown result and the record must be read first.
    pub(super) is_unread: bool,
}

impl State {
    pub(super) fn owner(&self) -> Option<&super::Owner> {
        self.record.as_ref()?.owner.as_ref()
    }

    /// Returns whether this process or its predecessor on the same address holds the shard.
    pub(super) fn is_at(&self, owner: &super::Owner) -> bool {
        // A process that has been replaced on its address must not touch what its successor holds.
        self.owner()
            .is_some_and(|o| o.address == owner.address && o.incarnation <= owner.incarnation)
    }

    pub(super) fn is_held(&self, now: clock::Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    pub(super) fn is_spendable(&self, now: clock::Instant) -> bool {
        self.is_held(now) && now >= self.from
    }

    /// Marks the shard as held by a write that was sent at `sent`.
    pub(super) fn hold(
        &mut self,
        now: clock::Instant,
        sent: clock::Instant,
        until: clock::Instant,
    ) {
        if !self.is_held(now) {
            self.from = now + super::LOAN_DURATION;
        }
        self.renewed = sent;
        self.until = Some(until);
    }

    /// Returns whether one of the options of takeover lets `owner` claim the shard: it is free, it was held on the same
    /// bound address, or it was not renewed for its validity.
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
            || self.is_at(owner)
            || !waits
            || now.since(self.seen) >= record.validity()
    }
}
