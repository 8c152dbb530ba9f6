use std::fmt;
use std::io;
use std::path;

use crate::document;

/// A problem in a manifest.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct Problem {
    /// The path of the manifest.
    pub file: path::PathBuf,
    /// The line, key and description; line 1 when the file cannot be read.
    #[serde(flatten)]
    pub problem: document::Problem,
}

impl Problem {
    pub(super) fn new(file: &path::Path, problem: document::Problem) -> Self {
        Self {
            file: file.to_owned(),
            problem,
        }
    }

    pub(super) fn unreadable(file: &path::Path, error: &io::Error) -> Self {
        let problem = document::Problem {
            line: 1,
            key: String::new(),
            found: format!("an unreadable file ({error})"),
            allowed: "a readable TOML file in UTF-8".to_owned(),
        };
        Self::new(file, problem)
    }

    pub(super) fn duplicate(item: &super::Item, first: &super::Item) -> Self {
        let problem = document::Problem {
            line: item.line,
            key: format!("{}.name", item.id.kind),
            found: format!(
                "{} a second time, after {} line {}",
                item.id,
                first.file.display(),
                first.line
            ),
            allowed: "each resource once".to_owned(),
        };
        Self::new(&item.file, problem)
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.file.display(), self.problem)
    }
}
