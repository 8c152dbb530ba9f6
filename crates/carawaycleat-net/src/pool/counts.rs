/// The connections of a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Connections {
    /// Those that carry a request or are being made.
    pub in_use: usize,
    /// Those that are open without a request.
    pub idle: usize,
    /// Those made since the start.
    pub opened: u64,
    /// The requests that got none because of a limit.
    pub refused: u64,
}
