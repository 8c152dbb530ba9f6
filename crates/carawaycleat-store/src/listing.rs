/// Pairs of the store at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// The revision of the store when the pairs were read.
    pub revision: u64,
    /// The pairs, in ascending order of keys.
    pub pairs: Vec<super::Pair>,
}
