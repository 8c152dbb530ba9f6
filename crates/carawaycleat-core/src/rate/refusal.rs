use std::time;

quick_error! {
    /// The reason why tokens cannot be reserved.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Refusal {
        /// The bucket has too few tokens for the given time.
        Limited(retry_after: time::Duration) {
            display("the rate is used up for {} ms", retry_after.as_millis())
        }
        /// The request needs more tokens than the burst of the workspace, so waiting does not help.
        ExceedsBurst(burst: u64) {
            display("the request needs more than the burst of {burst} tokens")
        }
        /// The workspace has no rate and therefore no tokens.
        NoRate {
            display("the workspace has no rate")
        }
    }
}
