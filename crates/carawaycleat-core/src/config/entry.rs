use crate::resource;

/// A resource and the store revision of its last write.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Entry {
    /// The store revision of the last write.
    pub revision: u64,
    /// The resource.
    pub resource: resource::Resource,
}
