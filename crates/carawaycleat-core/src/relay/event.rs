use crate::clock;
use crate::name;

/// The identifier of a request within its entry host.
pub type Id = u64;

/// What an upstream answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// Whether the upstream says that it did not run the request.
    pub not_run: bool,
    /// Whether a stream of events follows.
    pub streams: bool,
}

/// Something that an entry host learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request has arrived.
    Arrived(Id, Box<super::Arrival>),
    /// The caller of a request has gone away.
    CallerGone(Id),
    /// An attempt has brought the head of an answer; the whole answer, unless it streams.
    Answered(Id, u32, Answer),
    /// An attempt's stream has delivered events, the last one with this identifier.
    Progress(Id, u32, Option<u64>),
    /// An attempt's stream has ended in order.
    Ended(Id, u32),
    /// An attempt has failed.
    Failed {
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
    Configured(Box<super::Catalog>),
    /// The configuration was confirmed as current by a call sent at this time.
    Confirmed(clock::Instant),
    /// A call to the store failed.
    StoreFailed,
    /// An upstream has been seen.
    Seen(Box<super::Sighting>),
    /// The entry of an upstream has been removed.
    Removed(name::Name),
    /// The coordinator has answered.
    Viewed(Box<super::View>),
    /// The number of entry hosts is known.
    Hosts(usize),
    /// The process is to stop; requests without an answer by this time get a final one.
    Stopping(clock::Instant),
    /// Time has passed.
    Tick,
}
