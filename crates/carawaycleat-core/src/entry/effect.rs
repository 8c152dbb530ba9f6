use crate::name;
use crate::outcome;
use crate::rate;
use crate::request;

/// Something that an entry host is to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Count what an accepted request asks of a model, for the placement.
    CountDemand {
        /// The model.
        model: name::Name,
        /// The adapter on top of it.
        adapter: Option<name::Name>,
        /// The tokens reserved.
        tokens: u64,
    },
    /// Record the claim of a request's idempotency key, and answer with [`Event::ClaimResolved`](super::Event::ClaimResolved).
    Claim {
        /// The request.
        request: request::Id,
        /// The idempotency key with the workspace in front.
        key: String,
    },
    /// Settle the claim of a request that has ended: delete it if the request did not run, and complete it if it ran.
    ResolveClaim {
        /// The request.
        request: request::Id,
        /// What is known about its execution.
        outcome: outcome::Outcome,
    },
    /// Send a request to an upstream.
    Dispatch {
        /// The request.
        request: request::Id,
        /// The identifier of this attempt.
        attempt: request::Id,
        /// The upstream.
        upstream: name::Name,
        /// The workspace that it runs for.
        workspace: Option<name::Name>,
        /// Whether it may run more than once.
        idempotent: bool,
        /// The number of tokens that the caller already has.
        position: u64,
    },
    /// Pass what the last event brought on to the caller.
    Deliver(request::Id),
    /// End the caller's answer, which is complete.
    Finish {
        /// The request.
        request: request::Id,
        /// The tokens generated, or the length of a service's body.
        count: u64,
    },
    /// End the caller's answer with an error.
    Refuse(request::Id, super::Refusal),
    /// Stop an attempt whose answer is no longer wanted.
    Cancel {
        /// The attempt.
        attempt: request::Id,
        /// The upstream that runs it.
        upstream: name::Name,
    },
    /// Ask a peer for tokens.
    Borrow {
        /// The peer.
        host: name::Name,
        /// The workspace.
        workspace: name::Name,
        /// The tokens needed.
        tokens: u64,
    },
    /// Send a transfer to the peer that asked.
    Lend {
        /// The identifier of the transfer.
        transfer: u128,
        /// The workspace.
        workspace: name::Name,
        /// The tokens lent; they are debited already.
        tokens: u64,
    },
    /// Fetch what is missing from a peer that has a higher revision.
    Fetch {
        /// The peer.
        host: name::Name,
        /// The revision that is applied here.
        since: u64,
    },
    /// Write or read shards in the store.
    Shards(rate::Effect),
    /// Count tokens of a workspace's rate.
    CountTokens {
        /// The workspace.
        workspace: name::Name,
        /// Where they went.
        flow: super::Flow,
        /// The tokens.
        tokens: u64,
    },
    /// Count a decision about another attempt after a failure.
    CountRetry(super::Decision),
    /// Note something in the timeline.
    Record(super::Record),
    /// All requests have ended and all shards are released: the process can exit.
    Exit,
}
