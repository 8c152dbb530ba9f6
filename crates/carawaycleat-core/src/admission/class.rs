/// The urgency of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Class {
    /// An interactive request: a person waits for each token.
    Live,
    /// A short check or summary.
    Short,
    /// Work without urgency, such as overnight jobs.
    Batch,
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Live, Self::Short, Self::Batch];

    /// Returns the priority for the engine, where 0 is the most urgent.
    pub const fn priority(self) -> u8 {
        match self {
            Self::Live => 0,
            Self::Short => 1,
            Self::Batch => 2,
        }
    }

    /// Returns the text used in metrics and the timeline.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Short => "short",
            Self::Batch => "batch",
        }
    }
}
