use crate::name;

/// What requests wait for: a model and adapter, or none of both for all others.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Target {
    model: Option<name::Name>,
    adapter: Option<name::Name>,
}

impl Target {
    /// Returns whether `request` waits for this.
    pub(super) fn is_of(&self, request: &super::Request) -> bool {
        self.model == request.model && self.adapter == request.adapter
    }
}

impl super::Policy {
    /// Returns what the requests for `model` and `adapter` wait for. In one common line each waits for all.
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
