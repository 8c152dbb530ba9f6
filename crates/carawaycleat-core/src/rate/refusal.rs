use std::time;

quick_error! {
    /// The reason why tokens cannot be reserved.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Refusal {
        /// The bucket has too few tokens now.
        Limited(retry_after: time::Duration) {
            display("the rate is used up for {} ms", retry_after.as_millis())
        }
        /// The request needs more tokens than the workspace may ever use at once.
        ExceedsBurst(burst: u64) {
            display("the request needs more than the burst of {burst} tokens")
        }
        /// The workspace has no rate, and so no tokens.
        NoRate {
            display("the workspace has no rate")
        }
    }
}
