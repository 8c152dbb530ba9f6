use crate::admission;
use crate::clock;
use crate::key;
use crate::name;
use crate::request;

/// A request as it arrives from a caller.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The identifier that the entry host gave it.
    pub id: request::Id,
    /// The digest of the key that came with it.
    pub key_digest: Option<key::Digest>,
    /// The name of the route.
    pub route: name::Name,
    /// The HTTP method.
    pub method: String,
    /// The model, for a request to an engine.
    pub model: Option<name::Name>,
    /// The adapter on top of the model.
    pub adapter: Option<name::Name>,
    /// The class.
    pub class: admission::Class,
    /// The tokens that count when the request starts.
    pub prompt_tokens: u64,
    /// The most tokens that may be generated; 0 for a service.
    pub max_tokens: u64,
    /// The memory that the request holds while it waits, in bytes.
    pub bytes: usize,
    /// The hashes of the prompt's prefixes, shortest first.
    pub prefixes: Vec<u64>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// The point in time after which the answer is of no use.
    pub deadline: clock::Instant,
}

impl Arrival {
    /// Returns the tokens to reserve.
    pub fn cost(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.max_tokens)
    }
}
