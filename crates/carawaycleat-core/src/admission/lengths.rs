/// The number of queued requests of each class.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct Lengths {
    /// The number of class `live`.
    pub live: usize,
    /// The number of class `short`.
    pub short: usize,
    /// The number of class `batch`.
    pub batch: usize,
}
