/// An order to the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Order {
    /// The id; an order whose id was applied before has no effect.
    pub id: String,
    /// The fencing number.
    #[serde(default)]
    pub fencing: u64,
    /// What to do.
    pub kind: OrderKind,
    /// The model or adapter.
    #[serde(default)]
    pub name: String,
    /// The version of a model.
    #[serde(default)]
    pub version: String,
    /// The model of an adapter.
    #[serde(default)]
    pub model: String,
    /// The size in bytes.
    #[serde(default)]
    pub bytes: u64,
    /// The new role.
    #[serde(default)]
    pub role: Option<Role>,
}

/// The kind of an [`Order`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Loads a model.
    Load,
    /// Unloads a model.
    Unload,
    /// Loads an adapter of a loaded model.
    LoadAdapter,
    /// Unloads an adapter.
    UnloadAdapter,
    /// Changes the role.
    Role,
}

/// The part of the work that the engine does.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Only prefill.
    Prefill,
    /// Only decode.
    Decode,
    /// Both.
    #[default]
    Both,
}

/// The progress of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// The order has not landed yet.
    Accepted,
    /// The load or unload runs.
    Running,
    /// The order is applied.
    Done,
    /// The order was refused when it landed.
    Rejected,
}

/// A load that waits for the weight store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fetch {
    /// The order.
    pub order: String,
    /// The incarnation of the engine that asked; a later one ignores the answer.
    pub incarnation: u64,
    /// The name of the weights.
    pub name: String,
    /// The size in bytes.
    pub bytes: u64,
}
