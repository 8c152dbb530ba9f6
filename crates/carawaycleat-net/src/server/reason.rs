/// Why a request got no complete response from a handler.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The caller had disconnected before its handler was started, see [`crate::Server::cancel_on_disconnect`].
    GoneBeforeHandler,
    /// The caller disconnected while its handler ran.
    GoneDuringHandler,
    /// The caller disconnected during a streamed response.
    GoneDuringStream,
    /// A write to the connection failed, usually because the caller had closed it.
    WriteFailed,
    /// The caller took no bytes of the response for too long.
    WriteTimedOut,
    /// The body of the response ended early: its [`crate::Writer`] was dropped without [`crate::Writer::finish`].
    StreamAborted,
    /// The server ended before the response did.
    ServerAborted,
    /// The bytes of the request were discarded after the response to an earlier one, because the connection was about to
    /// be closed.
    Discarded,
    /// The connection ended in the middle of the request.
    Truncated,
    /// The request arrived too slowly. It is refused with status 408.
    TooSlow,
    /// The server refused the request or its connection, for example because of a limit.
    Refused {
        /// The status code of the response.
        status: u16,
        /// The error code in the body of the response.
        code: &'static str,
    },
}

impl Reason {
    /// Returns the name of the reason in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::GoneBeforeHandler => "gone_before_handler",
            Self::GoneDuringHandler => "gone_during_handler",
            Self::GoneDuringStream => "gone_during_stream",
            Self::WriteFailed => "write_failed",
            Self::WriteTimedOut => "write_timed_out",
            Self::StreamAborted => "stream_aborted",
            Self::ServerAborted => "server_aborted",
            Self::Discarded => "discarded",
            Self::Truncated => "truncated",
            Self::TooSlow => "too_slow",
            Self::Refused { code, .. } => code,
        }
    }
}
