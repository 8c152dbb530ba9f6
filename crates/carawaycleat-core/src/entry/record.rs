use crate::name;
use crate::request;
use crate::timeline;

/// An event for the timeline, before the timeline adds its timestamp.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Kind of the event.
    pub kind: timeline::Kind,
    /// Request that the event is about.
    pub request: Option<request::Id>,
    /// Workspace of the request, or of the tokens transferred.
    pub workspace: Option<name::Name>,
    /// Model that was requested.
    pub model: Option<name::Name>,
    /// Upstream that the event is about, or that runs the request.
    pub upstream: Option<name::Name>,
    /// Human-readable detail; empty if there is none.
    pub detail: String,
}

impl Record {
    /// Returns a record with a kind only; all other fields are empty.
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
