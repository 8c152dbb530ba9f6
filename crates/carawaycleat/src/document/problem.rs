use std::fmt;

/// A problem in a TOML document.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize)]
pub struct Problem {
    /// The line, starting at 1.
    pub line: usize,
    /// The dotted path of the key, such as `limits.body_bytes`; empty when the problem belongs to no key.
    pub key: String,
    /// A description of the value that was found.
    pub found: String,
    /// A description of the allowed values.
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
