use crate::name;

/// A host, or an upstream, that takes part in an assignment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The name.
    pub name: name::Name,
    /// The availability zone; none while it is not known.
    pub zone: Option<name::Name>,
}
