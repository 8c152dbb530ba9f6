use crate::name;

/// Something that an entry host is to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Tell the task of a request what to do.
    Tell(super::Id, super::Command),
    /// Send a report to the coordinator at once.
    Report,
    /// Log a decision.
    Record(Record),
}

/// A decision, for the log.
#[derive(Clone, Debug)]
pub struct Record {
    /// What was decided.
    pub event: &'static str,
    /// The request's identifier as the caller gave it, empty where there is none.
    pub request: String,
    /// The upstream, workspace or other subject.
    pub subject: Option<name::Name>,
    /// What decided, in words of the field.
    pub detail: String,
}
