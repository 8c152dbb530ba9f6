use crate::clock;
use crate::name;

/// An event in the timeline.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::clock;
/// use carawaycleat_core::name;
/// use carawaycleat_core::timeline;
///
/// let mut clock = clock::Hybrid::new(name::Name::parse("entry-1").expect("a valid name"));
/// let event = timeline::Event::new(clock.tick(1_000), timeline::Kind::Refused)
///     .with_request("4f1c")
///     .with_detail("rate_limited");
/// assert_eq!(event.host.as_str(), "entry-1");
/// ```
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Event {
    /// The time at which the event was recorded, comparable across hosts.
    pub stamp: clock::Stamp,
    /// The host that recorded the event.
    pub host: name::Name,
    /// What happened.
    pub kind: super::Kind,
    /// The request, by its identifier.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// The workspace.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<name::Name>,
    /// The model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<name::Name>,
    /// The upstream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<name::Name>,
    /// A reason, number or revision. It must not contain text from callers.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

/// The largest length of a detail or request identifier in bytes; it bounds the memory of a ring.
const MAX_DETAIL_BYTES: usize = 256;

/// The scheme that precedes a caller's key in the `Authorization` header.
const SCHEME: &str = "bearer";

const REDACTED: &str = "[redacted]";

impl Event {
    /// Returns an event of `kind` at `stamp`, recorded by the host of the stamp.
    pub fn new(stamp: clock::Stamp, kind: super::Kind) -> Self {
        Self {
            host: stamp.host.clone(),
            stamp,
            kind,
            request: None,
            workspace: None,
            model: None,
            upstream: None,
            detail: String::new(),
        }
    }

    /// Sets the request and returns the event.
    #[must_use]
    pub fn with_request(mut self, request: impl Into<String>) -> Self {
        self.request = Some(request.into());
        self
    }

    /// Sets the workspace and returns the event.
    #[must_use]
    pub fn with_workspace(mut self, workspace: name::Name) -> Self {
        self.workspace = Some(workspace);
        self
    }

    /// Sets the model and returns the event.
    #[must_use]
    pub fn with_model(mut self, model: name::Name) -> Self {
        self.model = Some(model);
        self
    }

    /// Sets the upstream and returns the event.
    #[must_use]
    pub fn with_upstream(mut self, upstream: name::Name) -> Self {
        self.upstream = Some(upstream);
        self
    }

    /// Sets the detail and returns the event.
    #[must_use]
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Redacts credentials in the texts and shortens them.
    ///
    /// Events contain no key of a caller by construction. This also covers an error message of a library that quotes an
    /// `Authorization` header.
    pub(super) fn sanitize(&mut self) {
        redact(&mut self.detail);
        if let Some(request) = &mut self.request {
            redact(request);
        }
    }
}

fn redact(text: &mut String) {
    // Unlike Unicode lowercasing, this preserves byte positions.
    if let Some(start) = text.to_ascii_lowercase().find(SCHEME) {
        text.truncate(start + SCHEME.len());
        text.push(' ');
        text.push_str(REDACTED);
    }
    text.truncate(text.floor_char_boundary(MAX_DETAIL_BYTES));
}
