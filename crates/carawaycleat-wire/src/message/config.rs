/// A request for the changes of the configuration since a revision.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Fetch {
    /// The revision of the requesting host's cached configuration; 0 for none.
    pub since: u64,
}

/// The response to a [`Fetch`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Update {
    /// The revision of the configuration after the pairs have been applied.
    pub revision: u64,
    /// Whether the pairs are the complete configuration instead of the changes.
    pub whole: bool,
    /// The pairs, in ascending order of revision.
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
