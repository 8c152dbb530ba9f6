use crate::name;
use crate::resource;

/// The prefix of all keys in the store.
pub const PREFIX: &str = "/carawaycleat/v1/";

/// The prefix of the keys of resources.
pub const RESOURCE_PREFIX: &str = "/carawaycleat/v1/resource/";

/// The stored form of a resource.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Record {
    /// The operation identifier of the last write. It shows whether a write took effect whose response was lost.
    pub operation: String,
    /// The resource.
    pub resource: resource::Resource,
}

impl Record {
    pub(super) fn decode(id: &resource::Id, value: &[u8]) -> Result<Self, String> {
        let record: Self = serde_json::from_slice(value).map_err(|error| error.to_string())?;
        if record.resource.kind() != id.kind {
            return Err(super::Error::Kind(id.clone(), record.resource.kind()).to_string());
        }
        record.resource.validate().map_err(|e| e.to_string())?;
        Ok(record)
    }
}

/// Returns the store key of the resource `id`.
pub fn key(id: &resource::Id) -> String {
    format!("{RESOURCE_PREFIX}{}/{}", id.kind, id.name)
}

/// Returns the identifier of the resource at a store key, or none for keys of other records.
pub(super) fn parse_key(key: &str) -> Option<Result<resource::Id, String>> {
    let rest = key.strip_prefix(RESOURCE_PREFIX)?;
    let Some((kind, name)) = rest.split_once('/') else {
        return Some(Err("the key has no kind and name".to_owned()));
    };
    let kind = kind.parse::<resource::Kind>().map_err(|e| e.to_string());
    let name = name::Name::parse(name).map_err(|e| e.to_string());
    Some(kind.and_then(|kind| Ok(resource::Id::new(kind, name?))))
}
