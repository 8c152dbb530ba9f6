/// A kind of call to the key-value service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Call {
    /// A read.
    Range,
    /// A transaction.
    Transaction,
    /// The grant, renewal or revocation of a lease.
    Lease,
    /// The start of a watch.
    Watch,
}

impl Call {
    /// All values.
    pub const ALL: [Self; 4] = [Self::Range, Self::Transaction, Self::Lease, Self::Watch];

    /// Returns the value of the label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Range => "range",
            Self::Transaction => "transaction",
            Self::Lease => "lease",
            Self::Watch => "watch",
        }
    }
}
