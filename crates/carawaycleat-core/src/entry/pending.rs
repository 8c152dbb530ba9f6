use crate::clock;
use crate::key;
use crate::name;
use crate::outcome;
use crate::rate;
use crate::request;
use crate::resource;
use crate::retry;
use crate::stream;

/// State of a request that has not ended.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) request: super::Request,
    pub(super) target: resource::Target,
    pub(super) group: name::Name,
    pub(super) grant: Option<key::Grant>,
    pub(super) idempotent: bool,
    pub(super) stage: Stage,
    pub(super) reservation: Option<rate::Reservation>,
    /// Whether the idempotency key was claimed.
    pub(super) is_claimed: bool,
    pub(super) cursor: stream::Cursor,
    /// Whether the caller received the head of a response without tokens.
    pub(super) has_head: bool,
    /// Running attempts, oldest first. There are two while the earlier one is silent.
    pub(super) running: Vec<Attempt>,
    /// Number of attempts, including the running ones.
    pub(super) attempts: u32,
    /// Outcome of the ended attempts taken together.
    pub(super) earlier_outcome: outcome::Outcome,
    /// Number of ended attempts that did not run.
    pub(super) rejections: u32,
    /// When the last attempt failed; none before that.
    pub(super) failed_at: Option<clock::Instant>,
    /// Upstreams at which an attempt failed.
    pub(super) excluded: Vec<name::Name>,
}

/// Stage of a request on its way to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// Waits for tokens.
    Tokens,
    /// Waits for the claim of its idempotency key.
    Claim,
    /// Waits for an upstream.
    Queue,
    /// Waits for the retry budget.
    Budget,
    /// Runs at an upstream.
    Running,
}

/// A running attempt at a request.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) id: request::Id,
    pub(super) upstream: name::Name,
    /// Whether any byte of the request may have been sent.
    pub(super) sent: bool,
    /// Whether it has made no progress for longer than the timeout.
    pub(super) is_silent: bool,
}

impl Pending {
    pub(super) fn workspace(&self) -> Option<&name::Name> {
        self.grant.as_ref().map(|grant| &grant.workspace)
    }

    pub(super) fn is_model(&self) -> bool {
        self.target == resource::Target::Models
    }

    /// Returns the idempotency key prefixed with the workspace, so that equal keys of two workspaces do not collide.
    pub(super) fn claim_key(&self) -> String {
        let workspace = self
            .workspace()
            .map_or(super::OPEN_WORKSPACE, name::Name::as_str);
        let key = self.request.idempotency_key.as_deref().unwrap_or_default();
        format!("{workspace}/{key}")
    }

    /// Returns the outcome of the request if it ends now without a complete response.
    ///
    /// A running attempt makes it unknown even before the sidecar confirms the start, because the job may be in
    /// transit.
    pub(super) fn outcome(&self) -> outcome::Outcome {
        if !self.running.is_empty() || self.cursor.position() > 0 {
            return outcome::Outcome::Unknown;
        }
        self.earlier_outcome
    }

    /// Returns whether another attempt may begin beside the running one: that one is silent, and neither running the
    /// request twice nor starting its response anew would harm.
    pub(super) fn permits_second_attempt(&self) -> bool {
        let is_continuable = self.delivered() == 0 || self.is_model();
        let is_alone = matches!(&self.running[..], [running] if running.is_silent);
        is_alone
            && self.idempotent
            && is_continuable
            && retry::permits_attempt(self.counted_attempts())
    }

    /// Returns whether the caller has received a part of the response, which another upstream can go on with.
    pub(super) fn is_begun(&self) -> bool {
        self.delivered() > 0 && self.is_model()
    }

    /// Returns the number of attempts that count towards the maximum. Those at which no upstream ran the request do not
    /// count once its response has begun.
    pub(super) fn counted_attempts(&self) -> u32 {
        match self.is_begun() {
            true => self.attempts.saturating_sub(self.rejections),
            false => self.attempts,
        }
    }

    /// Returns the running attempt `id`.
    pub(super) fn attempt_mut(&mut self, id: request::Id) -> Option<&mut Attempt> {
        self.running.iter_mut().find(|attempt| attempt.id == id)
    }

    /// Returns how much of the response the caller received, in tokens or body bytes, and at least 1 after a head.
    pub(super) fn delivered(&self) -> u64 {
        self.cursor.position().max(u64::from(self.has_head))
    }

    /// Returns the number of tokens used so far.
    pub(super) fn used(&self) -> u64 {
        if self.attempts == 0 || self.outcome() == outcome::Outcome::NotRun {
            return 0;
        }
        let generated = if self.is_model() {
            self.cursor.position()
        } else {
            0
        };
        self.request.prompt_tokens.saturating_add(generated)
    }
}
