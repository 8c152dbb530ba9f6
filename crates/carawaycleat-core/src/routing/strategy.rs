/// How one of several candidates is chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Strategy {
    /// The cheaper of two random candidates and one that holds the request's prefix.
    ///
    /// Two random candidates keep hosts that see the same reports from all choosing the same upstream.
    #[default]
    Cost,
    /// Each candidate in turn; a baseline.
    RoundRobin,
    /// The candidate with the least load in its last report; a baseline.
    LeastReported,
}
