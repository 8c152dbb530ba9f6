/// A key of the store with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pair {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision at which the key was created.
    pub create_revision: u64,
    /// The revision of the last write to the key.
    pub mod_revision: u64,
    /// The lease that the key is bound to; 0 for none.
    pub lease: i64,
}
