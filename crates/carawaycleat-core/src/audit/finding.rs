/// How serious a finding is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Severity {
    /// The configuration does not do what it says, or requests fail because of it.
    Error,
    /// The configuration works, but a part of it has no effect or contradicts another part.
    Warning,
}

impl Severity {
    /// Returns the word for reports.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warning => "warning",
        }
    }
}

/// Something that is wrong with a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// The entry, as the list that it is in and its name, for example `routes/drafts`.
    pub place: String,
    /// What is wrong.
    pub message: String,
}

impl Finding {
    /// Returns an error at `place`.
    pub(super) fn error(place: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            severity: Severity::Error,
            place: place.into(),
            message: message.into(),
        }
    }

    /// Returns a warning at `place`.
    pub(super) fn warning(place: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            severity: Severity::Warning,
            ..Self::error(place, message)
        }
    }
}
