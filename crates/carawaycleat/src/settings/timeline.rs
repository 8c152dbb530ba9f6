use crate::document;

/// The size of the timeline.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct Timeline {
    /// The maximum number of events that are kept in memory.
    pub events: usize,
}

impl Default for Timeline {
    fn default() -> Self {
        Self { events: 10_000 }
    }
}

impl Timeline {
    pub(super) fn read(table: &document::Table<'_>) -> Self {
        let events = table.size("events", 1..=1_000_000, Self::default().events);
        table.finish();
        Self { events }
    }
}
