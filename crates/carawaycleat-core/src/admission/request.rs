use crate::clock;
use crate::name;
use crate::request;

/// A request in the queue for an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The identifier.
    pub id: request::Id,
    /// The workspace that the request runs for.
    pub workspace: name::Name,
    /// The model, or none for a plain service.
    pub model: Option<name::Name>,
    /// The adapter, or none for the model itself.
    pub adapter: Option<name::Name>,
    /// The urgency.
    pub class: super::Class,
    /// The number of tokens reserved for the request.
    pub tokens: u64,
    /// The memory that the request takes while it is queued, in bytes.
    pub bytes: usize,
    /// The time after which the response is of no use to the caller.
    pub deadline: clock::Instant,
}
