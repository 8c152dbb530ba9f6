use crate::clock;
use crate::name;

/// A request that this host has sent to an upstream.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) upstream: name::Name,
    /// The model, or the group of a plain service.
    pub(super) kind: name::Name,
    pub(super) sent: clock::Instant,
    /// When the last token arrived; none before the first.
    pub(super) last_token: Option<clock::Instant>,
    pub(super) is_stalled: bool,
}
