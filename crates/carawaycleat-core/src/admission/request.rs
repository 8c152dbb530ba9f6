use crate::clock;
use crate::name;
use crate::request;

/// A request that waits for an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The request.
    pub id: request::Id,
    /// The workspace that it runs for.
    pub workspace: name::Name,
    /// The model, or none for a plain service.
    pub model: Option<name::Name>,
    /// The adapter on top of the model.
    pub adapter: Option<name::Name>,
    /// The class.
    pub class: super::Class,
    /// The reserved tokens.
    pub tokens: u64,
    /// The memory that the request holds while it waits, in bytes.
    pub bytes: usize,
    /// The point in time after which the answer is of no use.
    pub deadline: clock::Instant,
}
