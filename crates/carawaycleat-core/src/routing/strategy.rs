/// How one of several candidates is selected.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Strategy {
    /// The candidate with the lowest cost among two random ones and one whose cache has the request's prefix.
    ///
    /// Random candidates keep hosts that have received the same reports from all selecting the same upstream.
    #[default]
    Cost,
    /// Each candidate in turn. A baseline for comparisons.
    RoundRobin,
    /// The candidate with the lowest load in its last report. A baseline for comparisons.
    LeastReportedLoad,
}
