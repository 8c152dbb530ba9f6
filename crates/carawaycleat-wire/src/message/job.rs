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
    /// The sending entry host.
    pub host: name::Name,
    /// The incarnation of the entry host's process.
    pub incarnation: u64,
    /// The time of sending on the entry host's monotonic clock, in microseconds.
    pub sent_us: u64,
    /// The workspace that the request runs for; none on a public route.
    pub workspace: Option<name::Name>,
    /// The model, for a request to an engine.
    pub model: Option<name::Name>,
    /// The adapter for the model; none for the model itself.
    pub adapter: Option<name::Name>,
    /// The priority for the engine: 0 live, 1 short, 2 batch.
    pub priority: u8,
    /// Whether the operation may run more than once.
    pub idempotent: bool,
    /// The caller's idempotency key, prefixed with the workspace.
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
    /// The number of tokens that the caller has already received, for a resumed stream; 0 otherwise.
    pub resume_at: u64,
    /// The text of those tokens.
    pub resume_text: String,
    /// The time left until the deadline, in milliseconds.
    pub timeout_ms: u64,
}

/// A request to cancel a job.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Cancel {
    /// The identifier of the job.
    pub id: super::Id,
}
