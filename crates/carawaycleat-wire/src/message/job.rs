use carawaycleat_core::clock;
use carawaycleat_core::name;

/// A request that an entry host sends to a sidecar.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Job {
    /// The identifier of this attempt, unique over all attempts.
    pub id: super::Id,
    /// The identifier of the request, which all of its attempts have in common.
    pub request: super::Id,
    /// The sender's logical time.
    pub stamp: clock::Stamp,
    /// The entry host that sends it.
    pub host: name::Name,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// The time on its monotonic clock when it sent the job, in microseconds.
    pub sent_us: u64,
    /// The workspace that it runs for; none on a route open to all.
    pub workspace: Option<name::Name>,
    /// The model, for a request to an engine.
    pub model: Option<name::Name>,
    /// The adapter on top of the model.
    pub adapter: Option<name::Name>,
    /// The priority for the engine: 0 live, 1 short, 2 batch.
    pub priority: u8,
    /// Whether the operation may run more than once.
    pub idempotent: bool,
    /// The caller's idempotency key, with the workspace in front.
    pub claim: Option<String>,
    /// The HTTP method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The headers to forward; the caller's key is never among them.
    pub headers: Vec<(String, String)>,
    /// The body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// The number of tokens that the caller already has, for a stream that is resumed.
    pub resume_at: u64,
    /// The text of those tokens.
    pub resume_text: String,
    /// The time left until the deadline, in milliseconds.
    pub timeout_ms: u64,
}

/// A request that an entry host no longer wants.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Cancel {
    /// The identifier of the attempt.
    pub id: super::Id,
}
