/// What an [`Order`] asks the engine to do.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Load the item.
    Load,
    /// Unload the item.
    Unload,
    /// Raise the engine's fencing number and change nothing else.
    ///
    /// The engine protocol has no order of its own for this: it is sent as the unload of an item that is never
    /// resident.
    Fence,
}

/// An order to an engine.
///
/// The engine applies each order once per incarnation, however often it is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Order {
    /// The identifier, unique over all incarnations of the sidecar.
    pub id: u64,
    /// The fencing number.
    pub fencing: u64,
    /// What is to be done.
    pub kind: Kind,
    /// The item.
    pub item: super::Item,
}

/// The engine's answer to an order.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Response {
    /// The engine will apply the order (202).
    Accepted,
    /// The fencing number is older than the engine's (409).
    StaleFencing,
    /// The engine has too little memory (507).
    OutOfMemory,
    /// No answer was received; the order may have landed or may still land.
    NoResponse,
}

/// How far an engine is with an order.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// The order is being applied.
    Running,
    /// The order was applied.
    Done,
    /// The order failed and takes no memory.
    Failed,
}
