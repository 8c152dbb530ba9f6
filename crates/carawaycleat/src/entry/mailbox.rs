use carawaycleat_core::entry;
use carawaycleat_core::name;
use carawaycleat_core::request;

/// What the reducer wants of the task that serves one request.
#[derive(Debug)]
pub(super) enum Message {
    /// Record the claim of the idempotency key.
    Claim(String),
    /// Send the request to an upstream.
    Dispatch(Dispatch),
    /// End the answer, which is complete.
    Finish(u64),
    /// End the answer with an error.
    Refuse(entry::Refusal),
}

/// An attempt to make.
#[derive(Debug)]
pub(super) struct Dispatch {
    pub(super) attempt: request::Id,
    pub(super) upstream: name::Name,
    pub(super) workspace: Option<name::Name>,
    pub(super) idempotent: bool,
    pub(super) position: u64,
}

pub(super) type Sender = async_channel::Sender<Message>;
pub(super) type Receiver = async_channel::Receiver<Message>;
