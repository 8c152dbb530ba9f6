use std::time;

/// The bounds and the policy of a [`Queue`](super::Queue).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The most requests that one workspace may have waiting.
    pub max_requests: usize,
    /// The most bytes that the waiting requests of one workspace may hold.
    pub max_bytes: usize,
    /// The tokens that a workspace of weight 1 may use in one round.
    pub quantum: u64,
    /// The time after which a waiting [`Batch`](super::Class::Batch) request counts as
    /// [`Short`](super::Class::Short).
    pub batch_aging: time::Duration,
    /// The order in which requests leave the queue.
    pub policy: super::Policy,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_requests: 256,
            max_bytes: 16 << 20,
            // About one interactive request, so that a round over a few workspaces stays short.
            quantum: 1_024,
            batch_aging: time::Duration::from_secs(30),
            policy: super::Policy::Fair,
        }
    }
}
