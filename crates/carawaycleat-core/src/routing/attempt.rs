use crate::clock;
use crate::name;

/// An attempt of this host that is in flight at an upstream.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) upstream: name::Name,
    /// The key of the latency samples: the model, or the group of a plain service.
    pub(super) latency_key: name::Name,
    pub(super) sent_at: clock::Instant,
    /// When the last token arrived; none before the first.
    pub(super) last_token_at: Option<clock::Instant>,
    pub(super) is_stalled: bool,
}
