use crate::name;
use crate::request;
use crate::timeline;

/// Something to note in the timeline.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// What happened.
    pub kind: timeline::Kind,
    /// The request.
    pub request: Option<request::Id>,
    /// The workspace.
    pub workspace: Option<name::Name>,
    /// The model.
    pub model: Option<name::Name>,
    /// The upstream.
    pub upstream: Option<name::Name>,
    /// More about it, for people.
    pub detail: String,
}

impl Record {
    /// Returns a record without further fields.
    pub const fn new(kind: timeline::Kind) -> Self {
        Self {
            kind,
            request: None,
            workspace: None,
            model: None,
            upstream: None,
            detail: String::new(),
        }
    }

    /// Sets the upstream and returns the record.
    #[must_use]
    pub fn upstream(mut self, upstream: name::Name) -> Self {
        self.upstream = Some(upstream);
        self
    }

    /// Sets the detail and returns the record.
    #[must_use]
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }
}
