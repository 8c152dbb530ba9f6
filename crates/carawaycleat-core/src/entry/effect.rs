use crate::name;
use crate::outcome;
use crate::rate;
use crate::request;

/// An action that the [`Reducer`](super::Reducer) requests of the daemon.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Count the demand of an accepted request on a model, as input to the placement.
    CountDemand {
        /// Requested model.
        model: name::Name,
        /// Requested adapter of the model.
        adapter: Option<name::Name>,
        /// Number of tokens reserved.
        tokens: u64,
    },
    /// Record the claim of a request's idempotency key in the store, and report the result with
    /// [`Event::ClaimResolved`](super::Event::ClaimResolved).
    Claim {
        /// Identifier of the request.
        request: request::Id,
        /// Idempotency key, prefixed with the workspace.
        key: String,
    },
    /// Update the claim of a request that ended: delete it if the request did not run, complete it if it ran, and leave
    /// it as it is if that is unknown.
    ResolveClaim {
        /// Identifier of the request.
        request: request::Id,
        /// Outcome of the request.
        outcome: outcome::Outcome,
    },
    /// Send a request to an upstream.
    Dispatch {
        /// Identifier of the request.
        request: request::Id,
        /// Identifier of this attempt.
        attempt: request::Id,
        /// Upstream to send it to.
        upstream: name::Name,
        /// Workspace that the request runs for; none on an open route.
        workspace: Option<name::Name>,
        /// Whether the request may run more than once.
        idempotent: bool,
        /// Number of tokens that the caller already received.
        position: u64,
    },
    /// Forward the part of the response that came with the current event to the caller.
    Deliver(request::Id),
    /// End the caller's response, which is complete.
    Finish {
        /// Identifier of the request.
        request: request::Id,
        /// Number of tokens generated, or the length of a service's body in bytes.
        count: u64,
    },
    /// End the caller's response with an error.
    Refuse(request::Id, super::Refusal),
    /// Cancel an attempt whose response is no longer needed.
    Cancel {
        /// Identifier of the request.
        request: request::Id,
        /// Identifier of the attempt.
        attempt: request::Id,
        /// Upstream that runs the attempt.
        upstream: name::Name,
    },
    /// Request tokens from a peer.
    Borrow {
        /// Host name of the peer.
        host: name::Name,
        /// Workspace that the tokens belong to.
        workspace: name::Name,
        /// Number of tokens needed.
        tokens: u64,
    },
    /// Send a transfer of tokens to the peer that requested them.
    Lend {
        /// Identifier of the transfer.
        transfer: u128,
        /// Workspace that the tokens belong to.
        workspace: name::Name,
        /// Number of tokens lent, which are already debited here.
        tokens: u64,
    },
    /// Fetch the missing changes from a peer that has a higher revision.
    Fetch {
        /// Host name of the peer.
        host: name::Name,
        /// Revision applied at this host.
        since: u64,
    },
    /// Write or read shards in the store.
    Shards(rate::Effect),
    /// Count tokens of a workspace's rate in the metrics.
    CountTokens {
        /// Workspace that the tokens belong to.
        workspace: name::Name,
        /// Why the number of available tokens changed.
        flow: super::Flow,
        /// Number of tokens.
        tokens: u64,
    },
    /// Count a retry decision in the metrics.
    CountRetry(super::Decision),
    /// Record an event in the timeline.
    Record(super::Record),
    /// Exit the process: all requests have ended and all shards are released.
    Exit,
}
