/// The options that keep the sum over all hosts within rate and burst.
///
/// Each rule can be replaced by the naive one for comparison; the tests show that the sum is then exceeded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// A host's bucket has the held part of rate and burst. Naive: each host has all of both.
    pub is_split: bool,
    /// Tokens are taken before a request runs. Naive: they are counted when it has run.
    pub reserves: bool,
    /// A newly acquired shard is empty. Naive: it is full.
    pub starts_empty: bool,
    /// The tokens of a released shard are dropped. Naive: they stay with the host.
    pub drops_released: bool,
    /// Lent tokens are debited. Naive: the lender keeps them.
    pub debits_loans: bool,
    /// Lent tokens expire, and until then the lender's bucket is smaller. Naive: neither.
    pub expires_loans: bool,
    /// A transfer is credited once. Naive: each time that it arrives.
    pub credits_once: bool,
    /// A shard is not spent once its release is about to be sent. Naive: until the release is confirmed.
    pub stops_before_release: bool,
    /// A holder stops when its validity ends. Naive: when it sees another holder.
    pub ends_with_validity: bool,
    /// A claimer waits for the whole validity. Naive: it claims what others hold.
    pub waits_for_validity: bool,
    /// A claim counts once it is known to have taken effect. Naive: as soon as it is sent.
    pub confirms_claims: bool,
    /// The validity is counted from before the renewal was sent. Naive: from when its effect was seen.
    pub counts_from_sending: bool,
}

impl Options {
    /// All options in force.
    pub const GUARDED: Self = Self {
        is_split: true,
        reserves: true,
        starts_empty: true,
        drops_released: true,
        debits_loans: true,
        expires_loans: true,
        credits_once: true,
        stops_before_release: true,
        ends_with_validity: true,
        waits_for_validity: true,
        confirms_claims: true,
        counts_from_sending: true,
    };

    /// Each host has a bucket with the whole rate.
    pub const LOCAL: Self = Self {
        is_split: false,
        ..Self::GUARDED
    };

    /// Tokens are counted when a request has run.
    pub const AFTER_THE_FACT: Self = Self {
        reserves: false,
        ..Self::GUARDED
    };
}

impl Default for Options {
    fn default() -> Self {
        Self::GUARDED
    }
}
