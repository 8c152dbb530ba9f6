use std::fmt;
use std::path;

/// A problem in a load file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// The file.
    pub file: path::PathBuf,
    /// The line, starting at 1.
    pub line: usize,
    /// What was found and what is allowed.
    pub text: String,
}

impl Problem {
    pub(super) fn new(file: &path::Path, content: &str, start: usize, text: String) -> Self {
        let before = content.as_bytes().iter().take(start);
        Self {
            file: file.to_owned(),
            line: 1 + before.filter(|byte| **byte == b'\n').count(),
            text,
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.display();
        write!(formatter, "{file}:{}: {}", self.line, self.text)
    }
}

impl std::error::Error for Problem {}
