use crate::name;

/// What the coordinator needs to know of a service in order to divide the connections to its upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Spec {
    /// The service.
    pub service: name::Name,
    /// The connections that an upstream accepts from all hosts together.
    pub max_connections: usize,
    /// Whether its upstreams hold models.
    pub has_models: bool,
}
