/// A change of one key in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The value; none when the key was deleted.
    pub value: Option<Vec<u8>>,
    /// The store revision of the change; all changes of a transaction have the same one.
    pub revision: u64,
}
