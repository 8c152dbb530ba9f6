use crate::document;

/// How the rate of a workspace is divided between entry hosts. All hosts must have the same values.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct Rates {
    /// The number of shards into which each rate is divided.
    pub shards: u32,
    /// How long a claim of a shard is valid without renewal, in seconds.
    pub validity_s: u64,
}

impl Default for Rates {
    fn default() -> Self {
        Self {
            shards: 64,
            validity_s: 7_200,
        }
    }
}

/// Claims are renewed every 10 minutes. With a validity below twice that, one failed renewal would end the claim.
const MIN_VALIDITY_S: u64 = 1_200;

impl Rates {
    pub(super) fn read(table: &document::Table<'_>) -> Self {
        let default = Self::default();
        let shards = table.integer("shards", 1..=1_024, u64::from(default.shards));
        let rates = Self {
            shards: u32::try_from(shards).unwrap_or(default.shards),
            validity_s: table.integer("validity_s", MIN_VALIDITY_S..=86_400, default.validity_s),
        };
        table.finish();
        rates
    }
}
