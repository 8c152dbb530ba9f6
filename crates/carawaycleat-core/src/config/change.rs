/// A change of one key of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The value; none when the key was deleted.
    pub value: Option<Vec<u8>>,
    /// The store revision of the change. Changes of one transaction have the same revision.
    pub revision: u64,
}
