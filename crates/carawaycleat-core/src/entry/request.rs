use crate::admission;
use crate::clock;
use crate::key;
use crate::name;
use crate::request;

/// An incoming request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifier assigned by the entry host.
    pub id: request::Id,
    /// Digest of the API key; none if the request has no key.
    pub key_digest: Option<key::Digest>,
    /// Name of the matching route.
    pub route: name::Name,
    /// HTTP method.
    pub method: String,
    /// Requested model; none for a request to a service.
    pub model: Option<name::Name>,
    /// Requested adapter of the model.
    pub adapter: Option<name::Name>,
    /// Scheduling class.
    pub class: admission::Class,
    /// Number of tokens that are used as soon as the request starts.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate; 0 for a service.
    pub max_tokens: u64,
    /// Memory that the request holds while it waits, in bytes.
    pub bytes: usize,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: Vec<u64>,
    /// Idempotency key sent by the caller.
    pub idempotency_key: Option<String>,
    /// Time by which the response must be complete.
    pub deadline: clock::Instant,
}

impl Request {
    /// Returns the number of tokens to reserve: those of the prompt plus the maximum to generate.
    pub fn cost(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.max_tokens)
    }
}
