use crate::clock;
use crate::config;
use crate::freshness;
use crate::name;
use crate::outcome;
use crate::rate;
use crate::request;
use crate::routing;

/// An input of the [`Reducer`](super::Reducer).
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request arrived.
    Arrived(Box<super::Request>),
    /// The caller of a request disconnected.
    CallerDisconnected(request::Id),
    /// The claim of a request's idempotency key was granted or refused.
    ClaimResolved(request::Id, Result<(), super::Refusal>),
    /// An attempt at a request made progress. The identifier is that of the attempt.
    Attempt(request::Id, Progress),
    /// Changes in the store after the revision `since`, up to and including `through`.
    Changes {
        /// Revision before the first change.
        since: u64,
        /// Revision after the last change.
        through: u64,
        /// Changes in the order of their revisions.
        changes: Vec<config::Change>,
    },
    /// The complete contents of the store at a revision.
    Listing {
        /// Revision of the listing.
        revision: u64,
        /// Key-value pairs, each as the change that wrote it.
        pairs: Vec<config::Change>,
    },
    /// The store, queried at this time, had nothing newer than the cached configuration.
    StoreContact(clock::Instant),
    /// A peer responded to an exchange.
    PeerReported {
        /// Age and revision of the peer's cached configuration.
        report: freshness::Report,
        /// Tokens that the peer can lend, by workspace.
        offers: Vec<(name::Name, u64)>,
    },
    /// A sidecar sent a load report.
    SidecarReported(Box<routing::Report>),
    /// The platform's list of live and leaving hosts states whether the host of this upstream is leaving.
    UpstreamListed(name::Name, bool),
    /// The prefix cache of an engine changed: upstream, sequence number and change.
    CacheChanged(name::Name, u64, routing::cache::Event),
    /// A peer requested tokens of a workspace.
    TokensRequested {
        /// Identifier of the transfer that is sent in response.
        transfer: u128,
        /// Workspace that the tokens belong to.
        workspace: name::Name,
        /// Number of tokens that the peer needs.
        tokens: u64,
    },
    /// A request to a peer for tokens completed or failed.
    BorrowResolved {
        /// Time at which the request was sent.
        requested_at: clock::Instant,
        /// Identifier of the transfer; none when the peer did not respond.
        transfer: Option<u128>,
        /// Workspace that the tokens belong to.
        workspace: name::Name,
        /// Number of tokens lent; 0 when the peer did not respond.
        tokens: u64,
    },
    /// Result of the write of shards with this identifier.
    ShardsWritten(String, rate::Outcome),
    /// Records of shards that were read back from the store.
    ShardsRead(Vec<rate::Observation>),
    /// Periodic timer.
    Tick,
    /// The process is about to stop: it releases its shards, and serves further requests with borrowed tokens.
    ReleaseShards,
    /// The process stops: running requests continue to their end, and new ones are refused.
    Stop,
}

impl Event {
    /// Returns whether the event updates the age of the cached configuration. The reducer checks freshness after such
    /// an event, and before any other.
    pub(super) const fn updates_freshness(&self) -> bool {
        matches!(self, Self::StoreContact(_) | Self::PeerReported { .. })
    }
}

/// Progress of one attempt at a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The first byte is about to be sent to the upstream.
    Started,
    /// A token arrived.
    Token {
        /// Attempt named in the frame. It differs from the attempt that received it when responses were mixed up.
        frame_attempt: request::Id,
        /// Number of tokens before this one.
        position: u64,
    },
    /// The head of a response without tokens arrived, with the length of its body in bytes if declared.
    Head(Option<u64>),
    /// This many bytes of the body of a response without tokens arrived.
    Bytes(u64),
    /// The response ended.
    Ended {
        /// Attempt named in the frame.
        frame_attempt: request::Id,
        /// Length of the whole response, in tokens for a model and in bytes for a service.
        count: u64,
    },
    /// The attempt failed.
    Failed {
        /// Outcome reported by the sidecar, or unknown.
        outcome: outcome::Outcome,
        /// Reason of the failure.
        reason: outcome::Reason,
        /// Whether any byte of the request may have been sent.
        sent: bool,
        /// Human-readable description.
        message: String,
    },
}
