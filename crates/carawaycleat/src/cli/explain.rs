use std::collections;
use std::fs;
use std::io;
use std::path;

/// Events about a request that end it.
const FINAL: [&str; 3] = ["answered", "refused", "caller_gone"];
/// Fields that each line has and that say nothing about the decision.
const COMMON: [&str; 7] = [
    "time",
    "uptime_us",
    "host",
    "boot",
    "event",
    "request",
    "subject",
];

type Line = serde_json::Map<String, serde_json::Value>;

/// Prints the decisions about one request from the logs of several processes, and its cause in the last line.
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
    let mut log = Log::default();
    if files.is_empty() {
        log.read(io::stdin().lock())?;
    }
    for file in files {
        let opened = fs::File::open(file).map_err(|error| {
            super::Error::Usage(format!("cannot read {}: {error}", file.display()))
        })?;
        log.read(io::BufReader::new(opened))?;
    }
    let path = log.path(id);
    if path.is_empty() {
        return Err(super::Error::Usage(format!(
            "no line about request {id} among {} log lines ({} damaged)",
            log.lines.len(),
            log.damaged
        )));
    }
    if output == super::Output::Json {
        let answer =
            serde_json::json!({ "events": path, "cause": cause(&path), "damaged": log.damaged });
        return super::text::json(out, &answer);
    }
    for line in &path {
        writeln!(out, "{}", describe(line))?;
        if let Some(belief) = log.belief(line) {
            writeln!(out, "    {belief}")?;
        }
    }
    if log.damaged > 0 {
        writeln!(out, "{} damaged lines were passed over", log.damaged)?;
    }
    writeln!(out, "cause: {}", cause(&path))?;
    Ok(())
}

/// The lines of several logs.
#[derive(Debug, Default)]
struct Log {
    lines: Vec<Line>,
    damaged: usize,
}

impl Log {
    /// Reads lines. What stands before the object of a line, such as a collector's time stamp, is passed over.
    fn read(&mut self, reader: impl io::BufRead) -> super::Result<()> {
        for bytes in reader.split(b'\n') {
            let bytes = bytes?;
            let Some(start) = bytes.iter().position(|byte| *byte == b'{') else {
                continue;
            };
            match serde_json::from_slice::<Line>(&bytes[start..]) {
                Ok(line) if line.contains_key("event") => self.lines.push(line),
                _ => self.damaged += 1,
            }
        }
        Ok(())
    }

    /// Returns the lines about a request in order of time.
    fn path(&self, id: &str) -> Vec<&Line> {
        let is_about = |line: &&Line| text(line, "request") == id;
        let mut path: Vec<_> = self.lines.iter().filter(is_about).collect();
        path.sort_by_key(|line| (number(line, "time"), number(line, "uptime_us")));
        path
    }

    /// Returns what the host of a decision had last heard of its upstream, with the age.
    fn belief(&self, decision: &Line) -> Option<String> {
        let subject = text(decision, "subject");
        if subject.is_empty() {
            return None;
        }
        let at = number(decision, "uptime_us");
        let heard = self.lines.iter().filter(|line| {
            text(line, "event") == "upstream"
                && text(line, "subject") == subject
                && text(line, "host") == text(decision, "host")
                && text(line, "boot") == text(decision, "boot")
                && number(line, "uptime_us") <= at
        });
        let last = heard.max_by_key(|line| number(line, "uptime_us"))?;
        let age = (at - number(last, "uptime_us")) / 1_000;
        Some(format!(
            "heard of {subject} {age} ms before: {}",
            fields(last)
        ))
    }
}

fn text(line: &Line, field: &str) -> String {
    match line.get(field) {
        None => String::new(),
        Some(serde_json::Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

fn number(line: &Line, field: &str) -> u64 {
    line.get(field)
        .and_then(serde_json::Value::as_u64)
        .unwrap_or(0)
}

fn fields(line: &Line) -> String {
    let fields: collections::BTreeMap<_, _> = line
        .iter()
        .filter(|(name, _)| !COMMON.contains(&name.as_str()))
        .collect();
    let words = fields
        .keys()
        .map(|name| format!("{name}={}", text(line, name)));
    words.collect::<Vec<_>>().join(" ")
}

fn describe(line: &Line) -> String {
    let subject = match text(line, "subject") {
        subject if subject.is_empty() => subject,
        subject => format!(" {subject}"),
    };
    format!(
        "{} {} {}{subject} {}",
        number(line, "time"),
        text(line, "host"),
        text(line, "event"),
        fields(line)
    )
}

/// Returns why a request ended as it did.
fn cause(path: &[&Line]) -> String {
    let last = path
        .iter()
        .rev()
        .find(|line| FINAL.contains(&text(line, "event").as_str()));
    let Some(last) = last else {
        return "the log has no end of the request: it is still in progress, or lines are missing"
            .to_owned();
    };
    let failures: Vec<_> = path
        .iter()
        .filter(|line| ["attempt_failed", "not_run"].contains(&text(line, "event").as_str()))
        .map(|line| format!("{} at {}", text(line, "event"), text(line, "subject")))
        .collect();
    let after = if failures.is_empty() {
        String::new()
    } else {
        format!(" after {}", failures.join(", "))
    };
    match text(last, "event").as_str() {
        "answered" => format!(
            "answered by {} with status {}{after}",
            text(last, "subject"),
            text(last, "status")
        ),
        "caller_gone" => format!("the caller left after {} ms{after}", text(last, "ms")),
        _ => format!(
            "refused with status {}: {}{after}",
            text(last, "status"),
            reason(last)
        ),
    }
}

/// Returns a sentence about the reason of a refusal.
fn reason(line: &Line) -> String {
    let named = text(line, "reason");
    let sentence = match named.as_str() {
        "rate_limited" => format!(
            "workspace {} has used its allowance",
            text(line, "workspace")
        ),
        "configuration_stale" => {
            let age = text(line, "config_age_ms");
            format!("the host had not reached the store for {age} ms")
        }
        "no_upstream" => format!(
            "no upstream could run model {} in time",
            text(line, "model")
        ),
        "timeout" => "the time for the request was over".to_owned(),
        "upstream_failed" => {
            "the upstream broke off and the request may not be repeated".to_owned()
        }
        "unknown_key" => "the key is not known in this version of the configuration".to_owned(),
        "unknown_route" => {
            "no route takes the request in this version of the configuration".to_owned()
        }
        _ => return named,
    };
    format!("{named} ({sentence})")
}
