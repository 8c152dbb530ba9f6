/// The state of an engine at one moment; it may be read much later.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// The incarnation of the engine's process; a restart increases it.
    pub incarnation: u64,
    /// The highest fencing number that the engine has seen.
    pub fencing: u64,
    /// The moment on the engine's clock, in milliseconds.
    pub taken_at_ms: u64,
    /// The items that take memory.
    pub entries: Vec<Entry>,
    /// The orders that the engine remembers.
    pub orders: Vec<Status>,
    /// The memory of the accelerator, in bytes.
    pub total_bytes: u64,
    /// The memory in use, in bytes.
    pub used_bytes: u64,
}

impl Report {
    /// Returns the entry of the item `id`.
    pub fn entry(&self, id: &super::Id) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.item.id == *id)
    }

    /// Returns how far the engine is with the order `id`.
    pub fn progress(&self, id: u64) -> Option<super::Progress> {
        self.orders
            .iter()
            .find(|status| status.id == id)
            .map(|status| status.progress)
    }
}

/// An item that takes memory of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The item.
    pub item: super::Item,
    /// Its state.
    pub state: State,
}

/// The state of an item in an engine.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum State {
    /// The item is being loaded.
    Loading,
    /// The item can be used.
    Ready,
    /// The item is being unloaded.
    Unloading,
}

/// An order that an engine remembers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    /// The identifier of the order.
    pub id: u64,
    /// How far the engine is with it.
    pub progress: super::Progress,
}
