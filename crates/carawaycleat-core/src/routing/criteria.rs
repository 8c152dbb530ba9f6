use crate::name;

/// What a request needs of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The model, or none for a plain service.
    pub model: Option<&'a name::Name>,
    /// The adapter on top of the model.
    pub adapter: Option<&'a name::Name>,
    /// The group of upstreams.
    pub group: &'a name::Name,
    /// The hashes of the prompt's prefixes, shortest first.
    pub prefixes: &'a [u64],
    /// The availability zone of this entry host.
    pub zone: &'a name::Name,
    /// The upstreams that already failed with this request.
    pub exclude: &'a [name::Name],
}
