/// The operation that an [`Order`] requests.
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
    /// The engine protocol has no separate order for this: it is sent as the unload of an item that is never resident.
    Fence,
}

/// An order to an engine to load or unload an item.
///
/// Orders are idempotent: an incarnation of the engine applies each order at most once, however often it is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Order {
    /// The identifier, unique over all incarnations of the sidecar.
    pub id: u64,
    /// The fencing number; the engine rejects the order when it has seen a higher one.
    pub fencing: u64,
    /// The operation.
    pub kind: Kind,
    /// The item.
    pub item: super::Item,
}

/// The engine's response to an order.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Response {
    /// The engine will apply the order (202).
    Accepted,
    /// The fencing number is lower than the engine's (409).
    StaleFencing,
    /// The engine has too little memory (507).
    OutOfMemory,
    /// No response was received; the order may have been applied or may still be.
    NoResponse,
}

/// The progress of an engine on an order.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// The order is being applied.
    Running,
    /// The order was applied.
    Done,
    /// The order failed and uses no memory.
    Failed,
}
