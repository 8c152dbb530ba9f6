/// How an attempt ended without a complete response, as far as it concerns the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The upstream refused the request because it is leaving.
    Leaving,
    /// The upstream refused the request for another reason.
    Refused,
    /// The caller disconnected, or the attempt was no longer needed.
    Cancelled,
    /// The upstream responded with an error, or the connection was refused or lost.
    Error,
    /// The upstream did not accept the connection, or the request, in time. Nothing was run.
    Unconnected,
    /// The upstream made no progress within the timeout.
    Timeout,
    /// The response was truncated.
    Incomplete,
    /// The response belonged to another request.
    Mismatched,
}

impl Failure {
    /// Returns whether the failure is a fault of the upstream, for which it is ejected.
    pub const fn is_fault(self) -> bool {
        matches!(
            self,
            Self::Error | Self::Timeout | Self::Incomplete | Self::Mismatched
        )
    }
}
