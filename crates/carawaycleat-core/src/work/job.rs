use super::estimator;
use crate::name;

/// What the length of a response depends on.
#[derive(Clone, Copy, Debug)]
pub struct Subject<'a> {
    /// The service.
    pub service: &'a name::Name,
    /// The route.
    pub route: &'a name::Name,
    /// The model; none for a service without models.
    pub model: Option<&'a name::Name>,
    /// The adapter; none for the model alone.
    pub adapter: Option<&'a name::Name>,
    /// The workspace; none for a request without a key.
    pub workspace: Option<&'a name::Name>,
}

/// The work of a request, whatever upstream does it.
#[derive(Clone, Copy, Debug)]
pub struct Job<'a> {
    /// The service.
    pub service: &'a name::Name,
    /// The model; none for a service without models.
    pub model: Option<&'a name::Name>,
    /// The tokens to read before the first event.
    pub prompt_tokens: f64,
    /// The events to come.
    pub events: estimator::Estimate,
}

impl<'a> Job<'a> {
    /// Returns what the speed of an upstream with this job depends on.
    #[must_use]
    pub const fn at(&self, upstream: &'a name::Name) -> Key<'a> {
        Key {
            service: self.service,
            model: self.model,
            upstream,
        }
    }
}

/// What the time for a prompt token and an event depends on.
#[derive(Clone, Copy, Debug)]
pub struct Key<'a> {
    /// The service.
    pub service: &'a name::Name,
    /// The model; none for a service without models.
    pub model: Option<&'a name::Name>,
    /// The upstream.
    pub upstream: &'a name::Name,
}
