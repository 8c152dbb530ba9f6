use carawaycleat_core::entry;
use carawaycleat_core::name;
use carawaycleat_core::request;

/// A command of the reducer to the task that serves a request.
#[derive(Debug)]
pub(super) enum Message {
    /// Record the claim of the idempotency key.
    Claim(String),
    /// Send the request to an upstream.
    Dispatch(Dispatch),
    /// Abandon an attempt.
    Cancel(request::Id),
    /// End the complete response, with its number of tokens.
    Finish(u64),
    /// End the response with an error.
    Refuse(entry::Refusal),
}

/// The attempt to start.
#[derive(Debug)]
pub(super) struct Dispatch {
    pub(super) attempt: request::Id,
    pub(super) upstream: name::Name,
    pub(super) workspace: Option<name::Name>,
    pub(super) idempotent: bool,
    /// The position in the response from which the attempt resumes.
    pub(super) position: u64,
}

pub(super) type Sender = async_channel::Sender<Message>;
pub(super) type Receiver = async_channel::Receiver<Message>;
