use std::collections;

/// The calls that the store has seen, refused ones included.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Counts {
    /// The calls by path.
    pub calls: collections::BTreeMap<String, u64>,
    /// The calls that may write.
    pub writes: u64,
    /// The calls that only read, watches included.
    pub reads: u64,
    /// The calls refused for the rate.
    pub limited: u64,
    /// The writes that took effect and whose answer was lost.
    pub lost_answers: u64,
    /// The open watches.
    pub watches: u64,
}
