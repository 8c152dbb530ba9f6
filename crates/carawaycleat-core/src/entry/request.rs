use crate::key;
use crate::name;
use crate::outcome;
use crate::rate;
use crate::request;
use crate::resource;
use crate::stream;

/// A request that has not ended.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) arrival: super::Arrival,
    pub(super) target: resource::Target,
    pub(super) group: name::Name,
    pub(super) grant: Option<key::Grant>,
    pub(super) idempotent: bool,
    pub(super) stage: Stage,
    pub(super) reservation: Option<rate::Reservation>,
    pub(super) is_claimed: bool,
    pub(super) cursor: stream::Cursor,
    /// Whether the caller has the head of a service's answer.
    pub(super) has_head: bool,
    pub(super) attempt: Option<Attempt>,
    pub(super) attempts: u32,
    pub(super) earlier: outcome::Outcome,
    pub(super) excluded: Vec<name::Name>,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// It waits for tokens.
    Tokens,
    /// Its idempotency key is being claimed.
    Claim,
    /// It waits for an upstream.
    Queue,
    /// An attempt is running.
    Running,
}

/// A running attempt at a request.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) id: request::Id,
    pub(super) upstream: name::Name,
    pub(super) sent: bool,
}

impl Request {
    pub(super) fn workspace(&self) -> Option<&name::Name> {
        self.grant.as_ref().map(|grant| &grant.workspace)
    }

    pub(super) fn is_model(&self) -> bool {
        self.target == resource::Target::Models
    }

    /// Returns the idempotency key with the workspace in front, which keeps the keys of workspaces apart.
    pub(super) fn claim_key(&self) -> String {
        let workspace = self
            .workspace()
            .map_or(super::OPEN_WORKSPACE, name::Name::as_str);
        let key = self.arrival.idempotency_key.as_deref().unwrap_or_default();
        format!("{workspace}/{key}")
    }

    /// Returns what is known about the execution when the request ends now without an answer.
    ///
    /// A running attempt counts before the sidecar says that it has started, because the job may be on its way.
    pub(super) fn outcome(&self) -> outcome::Outcome {
        if self.attempt.is_some() || self.cursor.position() > 0 {
            return outcome::Outcome::Unknown;
        }
        self.earlier
    }

    /// Returns how much of the answer the caller has: tokens or body bytes, and at least 1 after a head.
    pub(super) fn delivered(&self) -> u64 {
        self.cursor.position().max(u64::from(self.has_head))
    }

    /// Returns the tokens that the request has used so far.
    pub(super) fn used(&self) -> u64 {
        if self.attempts == 0 || self.outcome() == outcome::Outcome::NotRun {
            return 0;
        }
        let generated = if self.is_model() {
            self.cursor.position()
        } else {
            0
        };
        self.arrival.prompt_tokens.saturating_add(generated)
    }
}
