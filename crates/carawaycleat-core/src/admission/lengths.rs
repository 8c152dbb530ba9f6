/// The numbers of waiting requests of each class.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct Lengths {
    /// Of class `live`.
    pub live: usize,
    /// Of class `short`.
    pub short: usize,
    /// Of class `batch`.
    pub batch: usize,
}
