use crate::name;

/// The model and adapter that a request is queued for.
///
/// Requests for plain services have neither, and share one target.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Target {
    model: Option<name::Name>,
    adapter: Option<name::Name>,
}

impl Target {
    /// Returns whether `request` is queued for this target.
    pub(super) fn matches(&self, request: &super::Request) -> bool {
        self.model == request.model && self.adapter == request.adapter
    }
}

impl super::Policy {
    /// Returns the target of requests for `model` and `adapter`. In a FIFO queue all requests share one target, because
    /// each waits for all those before it.
    pub(super) fn target(self, model: Option<&name::Name>, adapter: Option<&name::Name>) -> Target {
        match self {
            Self::Fifo => Target::default(),
            Self::Fair => Target {
                model: model.cloned(),
                adapter: adapter.cloned(),
            },
        }
    }
}
