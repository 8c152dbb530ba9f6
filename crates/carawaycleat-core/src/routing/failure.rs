/// How an attempt ended without a complete answer, as far as it concerns the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The upstream refused the request because it is leaving.
    Leaving,
    /// The upstream refused the request for another reason.
    Refused,
    /// The caller gave up, or the attempt was not needed any more.
    Cancelled,
    /// The connection could not be made or broke.
    Error,
    /// There was no progress in time.
    Timeout,
    /// The answer was cut short.
    Incomplete,
    /// The answer belonged to another request.
    Mismatched,
}

impl Failure {
    /// Returns whether the failure counts against the upstream.
    pub const fn is_fault(self) -> bool {
        matches!(
            self,
            Self::Error | Self::Timeout | Self::Incomplete | Self::Mismatched
        )
    }
}
