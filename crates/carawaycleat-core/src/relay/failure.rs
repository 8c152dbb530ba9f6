/// How an attempt ended without a complete response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The upstream refused the connection, or reset it before a byte of the request had left: no process accepts requests
    /// at its address.
    Refused,
    /// No connection was made in time, so that nothing was sent. The upstream may only be silent.
    Unconnected,
    /// This host has as many connections to the upstream open as it may. That says nothing about the upstream.
    Unshared,
    /// This host could not send the request, for example for want of a descriptor. That says nothing about the upstream.
    Local,
    /// A byte of the request may have left, and no complete response has arrived.
    BrokenOff,
    /// Like [`Self::BrokenOff`], at the end of the time that the upstream was given for the request. That says nothing about
    /// the upstream.
    TimedOut,
}

impl Failure {
    /// Returns whether a byte of the request may have left.
    #[must_use]
    pub const fn may_have_sent(self) -> bool {
        matches!(self, Self::BrokenOff | Self::TimedOut)
    }

    /// Returns the value used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unconnected => "unconnected",
            Self::Unshared => "unshared",
            Self::Local => "local",
            Self::BrokenOff => "broken_off",
            Self::TimedOut => "timed_out",
        }
    }
}
