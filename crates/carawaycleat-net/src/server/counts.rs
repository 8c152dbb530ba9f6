/// The counters of a server since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connections accepted.
    pub accepted: u64,
    /// Connections that are open now.
    pub open: usize,
    /// Connections refused because too many were open.
    pub refused: u64,
    /// Requests refused because they were malformed, too long or too slow, and requests that were truncated.
    pub malformed: u64,
    /// Requests refused because too many were in progress.
    pub queue_full: u64,
    /// Requests passed to the handler.
    pub requests: u64,
}
