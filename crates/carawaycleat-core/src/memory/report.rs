/// A snapshot of the state of an engine, which may be read long after it was taken.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// The incarnation of the engine's process; a restart increases it.
    pub incarnation: u64,
    /// The highest fencing number that the engine has seen.
    pub fencing: u64,
    /// When the report was taken, in milliseconds on the engine's clock.
    pub taken_at_ms: u64,
    /// The items that occupy memory.
    pub entries: Vec<Entry>,
    /// The orders that this incarnation of the engine still keeps a record of.
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

    /// Returns the progress on the order `id`, or none when the report does not list it.
    pub fn progress(&self, id: u64) -> Option<super::Progress> {
        self.orders
            .iter()
            .find(|status| status.id == id)
            .map(|status| status.progress)
    }
}

/// An item that occupies memory of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The item.
    pub item: super::Item,
    /// The state of the item.
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

/// The status of an order that an engine keeps a record of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    /// The identifier of the order.
    pub id: u64,
    /// The progress of the engine on the order.
    pub progress: super::Progress,
}
