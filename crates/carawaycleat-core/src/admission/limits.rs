use std::time;

/// The limits and the scheduling policy of a [`Queue`](super::Queue).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The maximum number of queued requests per workspace.
    pub max_requests: usize,
    /// The maximum number of bytes that the queued requests of one workspace hold.
    pub max_bytes: usize,
    /// The number of tokens that a workspace of weight 1 may use in one scheduling round.
    pub quantum: u64,
    /// The time in the queue after which a [`Batch`](super::Class::Batch) request counts as
    /// [`Short`](super::Class::Short).
    pub batch_aging: time::Duration,
    /// The order in which requests are taken from the queue.
    pub policy: super::Policy,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_requests: 256,
            max_bytes: 16 << 20,
            // About one interactive request, which keeps a round over a few workspaces short.
            quantum: 1_024,
            batch_aging: time::Duration::from_secs(30),
            policy: super::Policy::Fair,
        }
    }
}
