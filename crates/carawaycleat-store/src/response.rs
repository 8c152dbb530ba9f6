/// The result of a [`Transaction`](super::Transaction).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// Whether all conditions held and the writes took effect.
    pub succeeded: bool,
    /// The revision of the store after the transaction.
    pub revision: u64,
    /// The pairs that were read because a condition did not hold; empty if all held.
    pub found: Vec<super::Pair>,
}
