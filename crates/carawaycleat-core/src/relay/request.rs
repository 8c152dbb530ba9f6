use std::time;

use crate::key;
use crate::name;

/// The key that came with a request.
#[derive(Clone, Debug)]
pub enum Credential {
    /// No key.
    Absent,
    /// One key.
    Key(key::Digest),
    /// Several keys; which one the caller means cannot be told.
    Ambiguous,
}

/// A request as it arrived.
#[derive(Clone, Debug)]
pub struct Request {
    /// The identifier that the caller gave.
    pub request_id: String,
    /// The host that the request names.
    pub host: String,
    /// The path without the query.
    pub path: String,
    /// The key.
    pub credential: Credential,
    /// The time that the caller will wait, where it says so.
    pub timeout: Option<time::Duration>,
    /// The model.
    pub model: Option<name::Name>,
    /// The adapter on top of the model.
    pub adapter: Option<name::Name>,
    /// The prompt tokens and the most tokens of the answer.
    pub tokens: Option<(u64, u64)>,
    /// A random number that decides between the targets of a route.
    pub seed: u64,
}

impl Request {
    /// Returns the tokens that the request counts for, or `plain` when it has no count.
    #[must_use]
    pub fn cost(&self, plain: u64) -> u64 {
        self.tokens
            .map_or(plain, |(prompt, output)| prompt.saturating_add(output))
    }
}
