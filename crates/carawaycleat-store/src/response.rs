/// The answer to a [`Transaction`](super::Transaction).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// Whether all conditions held and the writes took effect.
    pub succeeded: bool,
    /// The revision of the store after the call.
    pub revision: u64,
    /// The keys that were read because a condition did not hold.
    pub found: Vec<super::Pair>,
}
