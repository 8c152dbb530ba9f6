use super::order;

/// The state that the engine reports.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Report {
    /// The number of the engine's start.
    pub incarnation: u64,
    /// The highest fencing number seen.
    pub fencing: u64,
    /// When the state was so, in milliseconds of the engine's clock; over HTTP, since the Unix epoch.
    pub taken_at_ms: u64,
    /// The memory for models and adapters.
    pub memory_bytes: u64,
    /// The memory in use, loads and unloads in progress included.
    pub used_bytes: u64,
    /// The role.
    pub role: order::Role,
    /// The models.
    pub models: Vec<Resident>,
    /// The adapters.
    pub adapters: Vec<Resident>,
    /// The running requests.
    pub running: usize,
    /// The waiting requests.
    pub waiting: usize,
    /// The orders of this incarnation.
    pub orders: Vec<OrderReport>,
    /// The number of the last cache event.
    pub cache_seq: u64,
}

/// A model or adapter in memory.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Resident {
    /// The name.
    pub name: String,
    /// The version of a model.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub version: String,
    /// The model of an adapter.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub model: String,
    /// The size in bytes.
    pub bytes: u64,
    /// The state.
    pub state: ResidentState,
}

/// The state of a [`Resident`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ResidentState {
    /// The load runs.
    Loading,
    /// Requests can use it.
    Loaded,
    /// No new request can use it; its memory is not free yet.
    Unloading,
}

/// The state of an order in a [`Report`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct OrderReport {
    /// The order's id.
    pub id: String,
    /// Its state.
    pub state: order::OrderState,
}
