use std::io;
use std::path;

use super::explain as logs;
use crate::explain;

/// Prints the cut responses in the logs of several processes by reason. Fails if one was cut before its time limit, or if
/// lines about cut responses may be missing.
pub(super) fn run(
    files: &[path::PathBuf],
    output: super::Output,
    out: &mut dyn io::Write,
) -> super::Result<()> {
    let log = logs::read_log(files)?;
    if log.is_empty() {
        let text = format!("no log line ({} damaged)", log.malformed());
        return Err(super::Error::Usage(text));
    }
    let cuts = log.cuts();
    if output == super::Output::Json {
        let value = serde_json::json!({
            "cuts": cuts.by_reason, "early": cuts.early(), "left_out": cuts.left_out,
            "damaged": log.malformed(),
        });
        super::text::json(out, &value)?;
    } else {
        for (reason, lines) in &cuts.by_reason {
            writeln!(out, "{} {reason}", lines.len())?;
            for line in lines {
                writeln!(out, "    {}", explain::describe_with_request(line))?;
            }
        }
        if log.malformed() > 0 {
            writeln!(out, "{} damaged lines were passed over", log.malformed())?;
        }
        writeln!(out, "cut before their time limit: {}", cuts.early())?;
    }
    if cuts.early() > 0 {
        return Err(super::Error::Cut(cuts.early()));
    }
    if cuts.left_out > 0 {
        let text = format!("hosts left {} lines out of their logs", cuts.left_out);
        return Err(super::Error::Partial(vec![text]));
    }
    Ok(())
}
