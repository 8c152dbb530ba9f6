/// Keys of the store at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// The revision of the store at the time of the call.
    pub revision: u64,
    /// The keys, in ascending order.
    pub pairs: Vec<super::Pair>,
}
