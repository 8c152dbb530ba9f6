use crate::document;

/// The format and level of the log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct Log {
    /// The format of each line.
    pub format: Format,
    /// The least severe level to write.
    pub level: Level,
}

/// The format of a log line.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The severity of a log line.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// A fault that needs attention.
    Error,
    /// A fault from which the process recovers by itself.
    Warn,
    /// A change of state.
    #[default]
    Info,
    /// Details for debugging.
    Debug,
    /// All events.
    Trace,
}

impl Log {
    pub(super) fn read(table: &document::Table<'_>) -> Self {
        let log = Self {
            format: table.text(
                "format",
                "\"text\" or \"json\"",
                Format::default(),
                parse_format,
            ),
            level: table.text(
                "level",
                "\"error\", \"warn\", \"info\", \"debug\" or \"trace\"",
                Level::default(),
                parse_level,
            ),
        };
        table.finish();
        log
    }
}

fn parse_format(text: &str) -> Option<Format> {
    match text {
        "text" => Some(Format::Text),
        "json" => Some(Format::Json),
        _ => None,
    }
}

fn parse_level(text: &str) -> Option<Level> {
    match text {
        "error" => Some(Level::Error),
        "warn" => Some(Level::Warn),
        "info" => Some(Level::Info),
        "debug" => Some(Level::Debug),
        "trace" => Some(Level::Trace),
        _ => None,
    }
}
