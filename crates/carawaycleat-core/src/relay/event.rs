use std::time;

use crate::balance;
use crate::clock;
use crate::name;
use crate::quarantine;
use crate::revision;

/// Identifies a request within its entry host.
pub type Id = u64;

/// The head of an upstream's response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// Whether the upstream says that it did not run the request.
    pub not_run: bool,
    /// Whether a stream of events follows.
    pub is_stream: bool,
    /// The requests per second that the upstream takes from all hosts together; none when it names no limit.
    pub request_limit: Option<f64>,
    /// The time for which the upstream wants no further request from this host; none when it names no time.
    pub pause: Option<time::Duration>,
}

/// An input of the [`Reducer`](super::Reducer).
#[derive(Clone, Debug)]
pub enum Event {
    /// A request has arrived.
    Arrived(Id, Box<super::Request>),
    /// The caller of a request has disconnected.
    CallerDisconnected(Id),
    /// The head of the response to an attempt has arrived; the whole response, unless it is a stream.
    Responded(Id, u32, Response),
    /// Events of an attempt's stream have arrived, the last one with this identifier, if any.
    StreamProgress(Id, u32, Option<u64>),
    /// Events of an attempt's stream have arrived, but the caller does not take them, so that nothing more is read. Ends
    /// with the next [`Event::StreamProgress`] of the request.
    CallerBlocked(Id),
    /// An attempt's stream is complete.
    StreamEnded(Id, u32),
    /// The first byte of an attempt that was sent beside another one has left. Not reported for other attempts.
    AttemptSent(Id, u32),
    /// A new connection is about to be made for an attempt. Until [`Reducer::begin_send`](super::Reducer::begin_send), the
    /// attempt has certainly not run.
    AttemptConnecting(Id, u32),
    /// An attempt has failed.
    AttemptFailed {
        /// The request.
        request: Id,
        /// The attempt.
        attempt: u32,
        /// How it ended.
        failure: super::Failure,
    },
    /// The store was read in this era, and what was read follows.
    StoreRead {
        /// The number of times that the store has been restored from an older copy; 0 when it does not say.
        era: u64,
        /// The version of the configuration that hosts have recorded as the lowest one of the era; none if there is no
        /// record.
        required_version: Option<u64>,
    },
    /// The store has a record that the software versions are complete again after its restoration to this era.
    RestorationSettled(u64),
    /// The store has a configuration of this version.
    ConfigStored {
        /// The version.
        version: u64,
        /// The revision at which it was written.
        revision: revision::Revision,
    },
    /// A configuration has been read from the store.
    Configured(Box<super::Config>),
    /// All changes of the store were read by a call sent at this time.
    ConfigConfirmed(clock::Instant),
    /// A call to the store failed.
    StoreFailed,
    /// The registration of an upstream has been written.
    UpstreamUpdated(Box<super::Registration>),
    /// An upstream has said in a response that it leaves.
    UpstreamLeaving {
        /// The upstream.
        upstream: name::Name,
        /// The start of its process when the request was sent; none when that is not known.
        started: Option<u64>,
    },
    /// An upstream has said in a response for how long it is still cold after a start.
    UpstreamCold {
        /// The upstream.
        upstream: name::Name,
        /// The start of its process when the request was sent; none when that is not known.
        started: Option<u64>,
        /// The time left.
        remaining: time::Duration,
    },
    /// An operator has evacuated an availability zone.
    ZoneEvacuated(name::Name),
    /// The evacuation of an availability zone has ended.
    EvacuationEnded(name::Name),
    /// The registration of an upstream has been removed from the store.
    UpstreamRemoved(name::Name),
    /// An upstream has been probed after responses from it broke off.
    UpstreamProbed {
        /// The upstream.
        upstream: name::Name,
        /// The result.
        probe: super::Probe,
    },
    /// A host has observed the crash of an upstream.
    CrashReported(Box<quarantine::Crash>),
    /// The coordinator has responded to a report.
    ViewReceived(Box<super::View>),
    /// The records of streams of all hosts; none when the store could not be read. The store's record of versions has been
    /// read for the same request, and was passed on before as [`Event::VersionsStored`].
    StreamsRead(Option<Vec<super::StreamRecord>>),
    /// The store's record of the software versions in service; empty when there is none.
    VersionsStored(Vec<super::Origin>),
    /// The number of entry hosts has changed.
    HostsChanged(usize),
    /// A registered entry host has changed.
    HostChanged(balance::Change),
    /// The process stops: requests without a response by this time are refused.
    Stopping(clock::Instant),
    /// Triggers the periodic work.
    Tick,
    /// What had arrived by the last tick has been passed on, so that the limits which it found reached take effect.
    LimitsDue,
}
