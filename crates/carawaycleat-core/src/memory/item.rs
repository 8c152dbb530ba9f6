use crate::name;

/// The identity of a model version or of an adapter on top of one.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Id {
    /// The model.
    pub model: name::Name,
    /// The version of the model's weights.
    pub version: name::Name,
    /// The adapter, or none for the model itself.
    pub adapter: Option<name::Name>,
}

impl Id {
    /// Returns the identity of a model version.
    pub const fn model(model: name::Name, version: name::Name) -> Self {
        Self {
            model,
            version,
            adapter: None,
        }
    }

    /// Returns the identity of `adapter` on top of this model version.
    #[must_use]
    pub fn with_adapter(&self, adapter: name::Name) -> Self {
        Self {
            adapter: Some(adapter),
            ..self.clone()
        }
    }

    /// Returns the identity of the model version itself.
    #[must_use]
    pub fn base(&self) -> Self {
        Self::model(self.model.clone(), self.version.clone())
    }

    /// Returns whether this is an adapter on top of `model`.
    pub fn is_adapter_of(&self, model: &Self) -> bool {
        self.adapter.is_some()
            && model.adapter.is_none()
            && self.model == model.model
            && self.version == model.version
    }
}

/// A model version or adapter and its memory requirement.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Item {
    /// The identity.
    #[serde(flatten)]
    pub id: Id,
    /// The accelerator memory that it needs, in bytes.
    pub bytes: u64,
}

impl Item {
    /// Returns the item `id`, which needs `bytes` bytes.
    pub const fn new(id: Id, bytes: u64) -> Self {
        Self { id, bytes }
    }
}
