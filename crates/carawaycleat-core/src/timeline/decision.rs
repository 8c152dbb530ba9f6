use crate::name;

/// A decision about a request, or a change of a process's state, with the inputs that led to it.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::timeline;
///
/// let decision = timeline::Decision::new("refused")
///     .with_request("4f1c")
///     .with("reason", "no_upstream")
///     .with("waited_ms", 120_u64);
/// assert_eq!(decision.fields.len(), 2);
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// The name of the decision or change.
    pub event: &'static str,
    /// The request's identifier as the caller gave it.
    pub request: Option<String>,
    /// The upstream, workspace or service that it concerns.
    pub subject: Option<name::Name>,
    /// The inputs with their ages or versions, and the outcome.
    pub fields: Vec<(&'static str, super::Value)>,
}

impl Decision {
    /// Returns a decision without further fields.
    #[must_use]
    pub const fn new(event: &'static str) -> Self {
        Self {
            event,
            request: None,
            subject: None,
            fields: Vec::new(),
        }
    }

    /// Sets the request and returns the decision.
    #[must_use]
    pub fn with_request(mut self, request: impl Into<String>) -> Self {
        self.request = Some(request.into());
        self
    }

    /// Sets the subject and returns the decision.
    #[must_use]
    pub fn with_subject(mut self, subject: impl Into<Option<name::Name>>) -> Self {
        self.subject = subject.into();
        self
    }

    /// Adds a field and returns the decision.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<super::Value>) -> Self {
        self.fields.push((name, value.into()));
        self
    }

    /// Adds a field if there is a value, and returns the decision.
    #[must_use]
    pub fn with_some(self, name: &'static str, value: Option<impl Into<super::Value>>) -> Self {
        match value {
            Some(value) => self.with(name, value),
            None => self,
        }
    }
}
