use crate::name;

/// A version of a model's weights.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The model that the weights belong to.
    pub model: name::Name,
    /// The accelerator memory that the weights take, in bytes.
    pub bytes: u64,
}

impl Version {
    pub(super) fn validate(&self) -> super::Result<()> {
        if self.bytes == 0 {
            return Err(super::Error::Field("bytes", "at least 1"));
        }
        Ok(())
    }
}
