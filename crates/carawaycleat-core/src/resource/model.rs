use crate::name;

/// A model that callers may request.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The version to serve, which is the name of a resource of kind `version`.
    pub version: name::Name,
    /// The group of upstreams on which the model may be loaded.
    pub group: name::Name,
}
