//! A reader for TOML documents that reports all problems with their lines.

mod problem;
mod sink;
mod table;

pub use problem::Problem;
pub(crate) use sink::Sink;
pub(crate) use table::Table;

/// Parses `text` and converts its root table with `read`.
///
/// A document with syntax errors is not passed to `read`: after a syntax error, keys cannot be assigned to tables
/// reliably.
///
/// # Errors
///
/// Returns all syntax errors, or else all problems that `read` reports, sorted by line.
pub(crate) fn read<T>(text: &str, read: impl FnOnce(&Table<'_>) -> T) -> Result<T, Vec<Problem>> {
    let (table, errors) = toml::de::DeTable::parse_recoverable(text);
    let sink = Sink::new(text);
    if !errors.is_empty() {
        for error in errors {
            sink.push_syntax_error(&error);
        }
        return Err(sink.into_problems());
    }
    let value = read(&Table::root(&sink, table.get_ref()));
    let problems = sink.into_problems();
    if problems.is_empty() {
        Ok(value)
    } else {
        Err(problems)
    }
}
