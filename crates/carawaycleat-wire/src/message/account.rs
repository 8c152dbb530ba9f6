use carawaycleat_core::name;

/// The memory account of an accelerator, in bytes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Account {
    /// The total memory of the accelerator.
    pub total: u64,
    /// The memory used by what is resident and by orders that may still take effect.
    pub committed: u64,
}

/// A model version or an adapter that an upstream is assigned to hold.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Holding {
    /// The model.
    pub model: name::Name,
    /// The version of the model's weights.
    pub version: name::Name,
    /// The adapter, or none for the model itself.
    pub adapter: Option<name::Name>,
    /// The memory that it needs, in bytes.
    pub bytes: u64,
}
