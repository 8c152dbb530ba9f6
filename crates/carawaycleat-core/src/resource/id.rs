use std::fmt;

use crate::name;

/// The kind and name that identify a resource.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Id {
    /// The kind.
    pub kind: super::Kind,
    /// The name, unique within the kind.
    pub name: name::Name,
}

impl Id {
    /// Returns the identifier of the resource `name` of `kind`.
    pub const fn new(kind: super::Kind, name: name::Name) -> Self {
        Self { kind, name }
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}
