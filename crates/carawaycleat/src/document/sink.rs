use std::cell;
use std::ops;

/// Collects the problems of one document.
pub(crate) struct Sink<'a> {
    text: &'a str,
    problems: cell::RefCell<Vec<super::Problem>>,
}

impl<'a> Sink<'a> {
    pub(super) fn new(text: &'a str) -> Self {
        Self {
            text,
            problems: cell::RefCell::new(Vec::new()),
        }
    }

    /// Adds a problem.
    pub(crate) fn push(&self, problem: super::Problem) {
        self.problems.borrow_mut().push(problem);
    }

    /// Adds a syntax error of the TOML parser.
    pub(super) fn push_syntax_error(&self, error: &toml::de::Error) {
        self.push(super::Problem {
            line: self.line(error.span().unwrap_or_default()),
            key: String::new(),
            found: format!("invalid TOML ({})", error.message().replace('\n', " ")),
            allowed: "a TOML document".to_owned(),
        });
    }

    /// Returns the line at which `span` starts, counted from 1.
    pub(crate) fn line(&self, span: ops::Range<usize>) -> usize {
        let preceding_bytes = self.text.as_bytes().iter().take(span.start);
        1 + preceding_bytes.filter(|&&byte| byte == b'\n').count()
    }

    /// Returns the number of problems, including duplicates.
    pub(super) fn len(&self) -> usize {
        self.problems.borrow().len()
    }

    /// Returns the problems without duplicates, sorted by line.
    pub(super) fn into_problems(self) -> Vec<super::Problem> {
        let mut problems = self.problems.into_inner();
        problems.sort();
        problems.dedup();
        problems
    }
}
