/// The safeguards that keep the usage of all hosts together within rate and burst.
///
/// Each can be switched off for comparison. The second sentence of a field's description says what applies then; the
/// tests show that the hosts then exceed rate or burst.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// A host's bucket has the held share of rate and burst. Otherwise, each host has all of both.
    pub is_split: bool,
    /// Tokens are taken before a request runs. Otherwise, they are counted after it has run.
    pub reserves: bool,
    /// A newly acquired shard is empty. Otherwise, it is full.
    pub starts_empty: bool,
    /// The tokens of a released shard are dropped. Otherwise, they stay with the host.
    pub drops_released: bool,
    /// Lent tokens are debited. Otherwise, the lender keeps them.
    pub debits_loans: bool,
    /// Lent tokens expire, and until then the lender's bucket has a reduced capacity. Otherwise, neither.
    pub expires_loans: bool,
    /// A transfer is credited once. Otherwise, it is credited each time that it arrives.
    pub credits_once: bool,
    /// Spending stops before the release of a shard is sent. Otherwise, when the release is confirmed.
    pub stops_before_release: bool,
    /// A holder stops when its validity ends. Otherwise, when it observes another holder.
    pub ends_with_validity: bool,
    /// A claim waits for the whole validity. Otherwise, shards that others hold are claimed at once.
    pub waits_for_validity: bool,
    /// A claimed shard is held once the claim is known to have taken effect. Otherwise, as soon as it is sent.
    pub confirms_claims: bool,
    /// The validity starts before the renewal is sent. Otherwise, when its effect is observed.
    pub counts_from_sending: bool,
}

impl Options {
    /// All safeguards are on.
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

    /// Tokens are counted after a request has run, and none are reserved.
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
