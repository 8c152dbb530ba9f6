use carawaycleat_core::clock;
use carawaycleat_core::outcome;

/// A part of the answer to a [`Job`](super::Job).
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Frame {
    /// The identifier of the request that the part belongs to.
    pub job: super::Id,
    /// The part.
    pub part: Part,
    /// The sidecar's logical time, with the last part of an answer.
    pub stamp: Option<clock::Stamp>,
}

impl Frame {
    /// Returns the frame with `part` of the answer to `job`.
    pub const fn new(job: super::Id, part: Part) -> Self {
        Self {
            job,
            part,
            stamp: None,
        }
    }

    /// Sets the sidecar's logical time and returns the frame.
    #[must_use]
    pub fn with_stamp(mut self, stamp: clock::Stamp) -> Self {
        self.stamp = Some(stamp);
        self
    }
}

/// What a [`Frame`] carries.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub enum Part {
    /// The first byte is about to leave for the upstream; from here on the request may have run.
    Started {
        /// The sidecar's logical time.
        stamp: clock::Stamp,
    },
    /// A token of a model's answer.
    Token {
        /// The number of tokens before this one.
        position: u64,
        /// The text.
        text: String,
    },
    /// The status and headers of a service's answer.
    Head {
        /// The HTTP status code.
        status: u16,
        /// The headers.
        headers: Vec<(String, String)>,
    },
    /// A piece of a service's body.
    Body(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The answer is complete.
    End {
        /// The number of tokens, or of body bytes for a service.
        count: u64,
    },
    /// The request failed.
    Fail {
        /// What is known about its execution.
        outcome: outcome::Outcome,
        /// The reason.
        reason: outcome::Reason,
        /// A sentence for people.
        message: String,
    },
}
