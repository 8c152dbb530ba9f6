/// A change of one key, received by a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The changed key.
    pub key: String,
    /// The new value; none when the key was deleted.
    pub value: Option<Vec<u8>>,
    /// The revision of the change.
    pub revision: u64,
}
