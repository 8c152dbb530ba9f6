use std::time;

use crate::key;
use crate::name;
use crate::relay::origin;

/// The API key of a request.
#[derive(Clone, Debug)]
pub enum Credential {
    /// No key.
    Absent,
    /// One key.
    Key(key::Digest),
    /// Several keys, so that the workspace is not known.
    Ambiguous,
}

/// A request as it arrived.
#[derive(Clone, Debug)]
pub struct Request {
    /// The identifier given by the caller.
    pub request_id: String,
    /// The `Host` header.
    pub host: String,
    /// The path without the query.
    pub path: String,
    /// The key.
    pub credential: Credential,
    /// The time for which the caller waits; none when it gives none.
    pub timeout: Option<time::Duration>,
    /// The model.
    pub model: Option<name::Name>,
    /// The adapter; none for the model alone.
    pub adapter: Option<name::Name>,
    /// The parts of the prompt that other requests may share, in order. The last part of a prompt, which belongs to the
    /// request or its session, is left out.
    pub prompt: Vec<name::Name>,
    /// A digest of the target and the body. A request that is sent again has the same one under another identifier.
    pub fingerprint: name::Name,
    /// The prompt tokens and the maximum of output tokens; none when the caller gives none.
    pub tokens: Option<(u64, u64)>,
    /// The stream that the caller goes on with; none for a new request.
    pub resumption: Option<origin::Resumption>,
    /// A random number that selects among the targets of a route.
    pub seed: u64,
}

impl Request {
    /// Returns the fingerprint of the request in a workspace, which differs from that of the same request in another one.
    #[must_use]
    pub fn fingerprint_in(&self, workspace: Option<&name::Name>) -> name::Name {
        let Some(workspace) = workspace else {
            return self.fingerprint.clone();
        };
        let combined = name::Name::parse(&format!("{}.{workspace}", self.fingerprint));
        // Only a workspace with a very long name does not fit; its requests are told apart by the digest alone.
        combined.unwrap_or_else(|_| self.fingerprint.clone())
    }

    /// Returns the cost in tokens, or `default` for a request without a token count.
    #[must_use]
    pub fn cost(&self, default: u64) -> u64 {
        self.tokens
            .map_or(default, |(prompt, output)| prompt.saturating_add(output))
    }
}
