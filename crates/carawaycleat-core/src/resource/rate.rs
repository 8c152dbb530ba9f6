use crate::name;

/// The rate limit of a workspace over all hosts together.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// The workspace that the rate limits.
    pub workspace: name::Name,
    /// The sustained rate, in tokens per second.
    pub tokens_per_second: u64,
    /// The maximum number of tokens that may be used at once after a pause.
    pub burst_tokens: u64,
}

/// The maximum of both values. It keeps a rate times a day of microseconds within 64 bits.
const MAX_TOKENS: u64 = 100_000_000;

impl Rate {
    pub(super) fn validate(&self) -> super::Result<()> {
        if !(1..=MAX_TOKENS).contains(&self.tokens_per_second) {
            return Err(super::Error::Field(
                "tokens_per_second",
                "from 1 to 100000000",
            ));
        }
        if !(1..=MAX_TOKENS).contains(&self.burst_tokens) {
            return Err(super::Error::Field("burst_tokens", "from 1 to 100000000"));
        }
        Ok(())
    }
}
