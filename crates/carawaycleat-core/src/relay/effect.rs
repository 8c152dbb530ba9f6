use crate::timeline;

/// Something that an entry host is to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Tell the task of a request what to do.
    Command(super::Id, super::Command),
    /// Send a report to the coordinator at once.
    Report,
    /// Measure a request that has ended.
    Measure(super::Summary),
    /// Log a decision.
    Record(timeline::Decision),
}
