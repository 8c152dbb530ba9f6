use crate::clock;
use crate::config;
use crate::freshness;
use crate::name;
use crate::outcome;
use crate::rate;
use crate::request;
use crate::routing;

/// Something that an entry host learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request has arrived.
    Arrived(Box<super::Arrival>),
    /// The caller of a request has gone away.
    CallerDisconnected(request::Id),
    /// The claim of a request's idempotency key has been settled.
    ClaimResolved(request::Id, Result<(), super::Refusal>),
    /// An attempt at a request has made progress.
    Attempt(request::Id, Progress),
    /// Changes of the store after the revision `since`, up to `through`.
    Changes {
        /// The revision that the changes begin after.
        since: u64,
        /// The revision that the changes lead to.
        through: u64,
        /// The changes.
        changes: Vec<config::Change>,
    },
    /// Everything in the store at a revision.
    Listing {
        /// The revision.
        revision: u64,
        /// The pairs.
        pairs: Vec<config::Change>,
    },
    /// The store, asked at this time, has nothing newer than the copy.
    StoreContact(clock::Instant),
    /// A peer has answered an exchange.
    PeerReported {
        /// The age and revision of the peer's copy.
        report: freshness::Report,
        /// The tokens that the peer can lend.
        offers: Vec<(name::Name, u64)>,
    },
    /// A sidecar has reported.
    SidecarReported(Box<routing::Load>),
    /// The host list says whether the host of an upstream is leaving.
    UpstreamListed(name::Name, bool),
    /// An engine's prefix cache has changed.
    CacheChanged(name::Name, u64, routing::Cache),
    /// A peer asks for tokens of a workspace.
    TokensRequested {
        /// The identifier that the transfer will have.
        transfer: u128,
        /// The workspace.
        workspace: name::Name,
        /// The tokens needed.
        tokens: u64,
    },
    /// A peer has answered a request for tokens.
    BorrowResolved {
        /// When the peer was asked.
        requested_at: clock::Instant,
        /// The identifier of the transfer; none when the peer has not answered.
        transfer: Option<u128>,
        /// The workspace.
        workspace: name::Name,
        /// The tokens lent.
        tokens: u64,
    },
    /// The result of a write of shards.
    ShardsWritten(String, rate::Answer),
    /// The records of shards that were read back.
    ShardsRead(Vec<rate::Observed>),
    /// Time has passed.
    Tick,
    /// The process is about to stop: its shards are released, and what it still serves uses borrowed tokens.
    ReleaseShards,
    /// The process is to stop: running requests end, and no new ones are taken.
    Stop,
}

impl Event {
    /// Returns whether the event tells how old the copy of the configuration is, and is checked after it is taken up.
    pub(super) const fn brings_contact(&self) -> bool {
        matches!(self, Self::StoreContact(_) | Self::PeerReported { .. })
    }
}

/// The progress of one attempt at a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The first byte is about to leave for the upstream.
    Started,
    /// A token arrived.
    Token {
        /// The attempt that the token claims to belong to.
        frame_attempt: request::Id,
        /// The number of tokens before it.
        position: u64,
    },
    /// The head of a service's answer arrived, with the length of its body where it is declared.
    Head(Option<u64>),
    /// A piece of a service's body arrived.
    Bytes(u64),
    /// The answer has ended.
    Ended {
        /// The attempt that the end claims to belong to.
        frame_attempt: request::Id,
        /// The length of the whole answer, in tokens or bytes.
        count: u64,
    },
    /// The attempt has failed.
    Failed {
        /// What the sidecar says about the execution, or unknown.
        outcome: outcome::Outcome,
        /// The reason.
        reason: outcome::Reason,
        /// Whether a byte of the request may have left.
        sent: bool,
        /// A sentence for people.
        message: String,
    },
}
