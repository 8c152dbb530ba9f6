use std::fmt;

/// A problem in a TOML document.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize)]
pub struct Problem {
    /// The line, starting at 1.
    pub line: usize,
    /// The key with its tables, such as `limits.body_bytes`.
    pub key: String,
    /// What was found.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: ", self.line)?;
        if !self.key.is_empty() {
            write!(f, "`{}`: ", self.key)?;
        }
        write!(f, "found {}; allowed: {}", self.found, self.allowed)
    }
}
