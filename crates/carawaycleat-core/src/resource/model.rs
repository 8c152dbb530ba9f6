use crate::name;

/// A model that callers may name.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The version to serve; a resource of kind `version`.
    pub version: name::Name,
    /// The group of upstreams that may hold the model.
    pub group: name::Name,
}
