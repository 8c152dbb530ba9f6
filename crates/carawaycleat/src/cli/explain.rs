use std::fs;
use std::io;
use std::path;

use crate::explain;

/// Printed in place of the cause when the logs do not contain it.
const NO_CAUSE: &str =
    "the log has no end of the request: it is still in progress, or lines are missing";

/// Prints the events of one request from the logs of several processes, and the cause of its result in the last line.
pub(super) fn run(
    id: &str,
    files: &[path::PathBuf],
    output: super::Output,
    out: &mut dyn io::Write,
) -> super::Result<()> {
    if id.is_empty() {
        let text = "the identifier of a request must not be empty";
        return Err(super::Error::Usage(text.to_owned()));
    }
    let log = read_log(files)?;
    let Some(explanation) = log.explain(id) else {
        return Err(super::Error::Usage(format!(
            "no line about request {id} among {} log lines ({} damaged)",
            log.len(),
            log.malformed()
        )));
    };
    let cause = explanation.cause.as_deref().unwrap_or(NO_CAUSE);
    if output == super::Output::Json {
        let events: Vec<_> = explanation.events.iter().map(|(line, _)| line).collect();
        let value =
            serde_json::json!({ "events": events, "cause": cause, "damaged": log.malformed() });
        return super::text::json(out, &value);
    }
    for (line, observation) in &explanation.events {
        writeln!(out, "{}", explain::describe(line))?;
        if let Some(observation) = observation {
            writeln!(out, "    {observation}")?;
        }
    }
    if log.malformed() > 0 {
        writeln!(out, "{} damaged lines were passed over", log.malformed())?;
    }
    writeln!(out, "cause: {cause}")?;
    Ok(())
}

/// Reads the logs in `files`, or standard input when there are none.
pub(super) fn read_log(files: &[path::PathBuf]) -> super::Result<explain::Log> {
    let mut log = explain::Log::default();
    if files.is_empty() {
        log.read(io::stdin().lock())?;
    }
    for file in files {
        let opened = fs::File::open(file).map_err(|error| {
            super::Error::Usage(format!("cannot read {}: {error}", file.display()))
        })?;
        log.read(io::BufReader::new(opened))?;
    }
    Ok(log)
}
