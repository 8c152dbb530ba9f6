use crate::name;

/// The criteria by which an upstream is selected for a request.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The model, or none for a plain service.
    pub model: Option<&'a name::Name>,
    /// The adapter, or none for the model itself.
    pub adapter: Option<&'a name::Name>,
    /// The group that the upstream must belong to.
    pub group: &'a name::Name,
    /// The hashes of the prompt's prefixes, shortest first.
    pub prefixes: &'a [u64],
    /// The availability zone of this entry host, whose upstreams are preferred.
    pub zone: &'a name::Name,
    /// The upstreams at which the request has already failed.
    pub exclude: &'a [name::Name],
}
