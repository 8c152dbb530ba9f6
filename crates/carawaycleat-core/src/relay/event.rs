use crate::clock;
use crate::name;

/// The identifier of a request within its entry host.
pub type Id = u64;

/// What an upstream answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// Whether the upstream says that it did not run the request.
    pub not_run: bool,
    /// Whether a stream of events follows.
    pub is_stream: bool,
}

/// Something that an entry host learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request has arrived.
    Arrived(Id, Box<super::Request>),
    /// The caller of a request has gone away.
    CallerDisconnected(Id),
    /// An attempt has brought the head of an answer; the whole answer, unless it streams.
    Responded(Id, u32, Response),
    /// An attempt's stream has delivered events, the last one with this identifier.
    StreamProgress(Id, u32, Option<u64>),
    /// An attempt's stream has ended in order.
    StreamEnded(Id, u32),
    /// An attempt has failed.
    AttemptFailed {
        /// The request.
        request: Id,
        /// The attempt.
        attempt: u32,
        /// Whether a byte of the request may have left.
        sent: bool,
        /// Whether the upstream did not accept a connection.
        unreachable: bool,
    },
    /// A configuration has been read.
    Configured(Box<super::Config>),
    /// The configuration was confirmed as current by a call sent at this time.
    ConfigConfirmed(clock::Instant),
    /// A call to the store failed.
    StoreFailed,
    /// An upstream has been seen.
    UpstreamUpdated(Box<super::Registration>),
    /// The entry of an upstream has been removed.
    UpstreamRemoved(name::Name),
    /// The coordinator has answered.
    ViewReceived(Box<super::View>),
    /// The number of entry hosts is known.
    HostsChanged(usize),
    /// The process is to stop; requests without an answer by this time get a final one.
    Stopping(clock::Instant),
    /// Time has passed.
    Tick,
}
