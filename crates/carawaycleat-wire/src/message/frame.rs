use carawaycleat_core::clock;
use carawaycleat_core::outcome;

/// A part of the response to a [`Job`](super::Job).
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Frame {
    /// The identifier of the job that the part responds to.
    pub job: super::Id,
    /// The part.
    pub part: Part,
    /// The sidecar's logical time; sent with the last part of a response.
    pub stamp: Option<clock::Stamp>,
}

impl Frame {
    /// Returns a frame with `part` of the response to `job`.
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

/// The content of a [`Frame`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub enum Part {
    /// The first byte is about to be sent to the upstream; from now on the request may have run.
    Started {
        /// The sidecar's logical time.
        stamp: clock::Stamp,
    },
    /// A token of a model's response.
    Token {
        /// The number of tokens that precede this one.
        position: u64,
        /// The text.
        text: String,
    },
    /// The status and headers of a service's response.
    Head {
        /// The HTTP status code.
        status: u16,
        /// The headers.
        headers: Vec<(String, String)>,
    },
    /// A piece of the body of a service's response.
    Body(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The response is complete.
    End {
        /// The number of tokens, or of body bytes for a service.
        count: u64,
    },
    /// The request failed.
    Fail {
        /// What is known about its execution.
        outcome: outcome::Outcome,
        /// The reason for the failure.
        reason: outcome::Reason,
        /// A description for people.
        message: String,
    },
}
