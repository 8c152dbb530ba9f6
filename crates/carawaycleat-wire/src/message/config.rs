/// A request for what changed in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Fetch {
    /// The revision that the asking host has; 0 for none.
    pub since: u64,
}

/// The answer to a [`Fetch`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Update {
    /// The revision that the pairs lead to.
    pub revision: u64,
    /// Whether the pairs are everything rather than what changed.
    pub whole: bool,
    /// The pairs, in the order of their revisions.
    pub pairs: Vec<Pair>,
}

/// A key of the store with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Pair {
    /// The key.
    pub key: String,
    /// The value; none when the key was deleted.
    pub value: Option<serde_bytes::ByteBuf>,
    /// The revision of the last change.
    pub revision: u64,
}
