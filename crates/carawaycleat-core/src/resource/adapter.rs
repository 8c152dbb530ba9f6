use crate::name;

/// An adapter on top of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// The model that the adapter belongs to.
    pub model: name::Name,
    /// The accelerator memory that the adapter takes, in bytes.
    pub bytes: u64,
}

impl Adapter {
    pub(super) fn validate(&self) -> super::Result<()> {
        if self.bytes == 0 {
            return Err(super::Error::Field("bytes", "at least 1"));
        }
        Ok(())
    }
}
