//! Reading of TOML documents with every problem reported at its line.

mod problem;
mod sink;
mod table;

pub use problem::Problem;
pub(crate) use sink::Sink;
pub(crate) use table::Table;

/// Reads `text` with `read` and returns the result, or all problems in the order of their lines.
///
/// The rules of `read` are applied only to a document without syntax errors, because after one the keys and tables
/// cannot be told apart reliably.
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
