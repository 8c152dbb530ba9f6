//! What logs say about one request.

use std::collections;
use std::io;

/// Events about a request that end it.
const FINAL_EVENTS: [&str; 3] = ["answered", "refused", "caller_gone"];
/// Fields that each line has and that say nothing about the decision.
const COMMON_FIELDS: [&str; 7] = [
    "time",
    "uptime_us",
    "host",
    "boot",
    "event",
    "request",
    "subject",
];

/// A line of a log.
pub type Line = serde_json::Map<String, serde_json::Value>;

/// The lines of several logs.
#[derive(Debug, Default)]
pub struct Log {
    lines: Vec<Line>,
    malformed: usize,
}

/// What logs say about one request.
#[derive(Debug)]
pub struct Explanation<'a> {
    /// The decisions in order of time, each with what the host had last heard of its upstream.
    pub events: Vec<(&'a Line, Option<String>)>,
    /// Why the request ended as it did; none when the logs do not say.
    pub cause: Option<String>,
}

impl Log {
    /// Reads lines. What stands before the object of a line, such as a collector's time stamp, is passed over.
    ///
    /// # Errors
    ///
    /// Returns an error when the reader does.
    pub fn read(&mut self, reader: impl io::BufRead) -> io::Result<()> {
        for bytes in reader.split(b'\n') {
            let bytes = bytes?;
            let Some(start) = bytes.iter().position(|byte| *byte == b'{') else {
                continue;
            };
            match serde_json::from_slice::<Line>(&bytes[start..]) {
                Ok(line) if line.contains_key("event") => self.lines.push(line),
                _ => self.malformed += 1,
            }
        }
        Ok(())
    }

    /// Returns the number of lines.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Returns whether there are no lines.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Returns the number of lines that could not be read.
    #[must_use]
    pub fn malformed(&self) -> usize {
        self.malformed
    }

    /// Returns what the logs say about a request, or none when no line is about it.
    #[must_use]
    pub fn explain(&self, id: &str) -> Option<Explanation<'_>> {
        let names_request = |line: &&Line| text(line, "request") == id;
        let mut path: Vec<_> = self.lines.iter().filter(names_request).collect();
        path.sort_by_key(|line| (number(line, "time"), number(line, "uptime_us")));
        if path.is_empty() {
            return None;
        }
        let cause = cause(&path);
        let events = path
            .into_iter()
            .map(|line| (line, self.last_observation(line)));
        Some(Explanation {
            events: events.collect(),
            cause,
        })
    }

    /// Returns what the host of a decision had last heard of its upstream, with the age.
    fn last_observation(&self, decision: &Line) -> Option<String> {
        let subject = text(decision, "subject");
        if subject.is_empty() {
            return None;
        }
        let at = number(decision, "uptime_us");
        let observations = self.lines.iter().filter(|line| {
            text(line, "event") == "upstream"
                && text(line, "subject") == subject
                && text(line, "host") == text(decision, "host")
                && text(line, "boot") == text(decision, "boot")
                && number(line, "uptime_us") <= at
        });
        let last = observations.max_by_key(|line| number(line, "uptime_us"))?;
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
        .filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()))
        .collect();
    let pairs = fields
        .keys()
        .map(|name| format!("{name}={}", text(line, name)));
    pairs.collect::<Vec<_>>().join(" ")
}

/// Returns a line for people.
#[must_use]
pub fn describe(line: &Line) -> String {
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

/// Returns why a request ended as it did, or none when the lines do not say.
fn cause(path: &[&Line]) -> Option<String> {
    let last = path
        .iter()
        .rev()
        .find(|line| FINAL_EVENTS.contains(&text(line, "event").as_str()))?;
    let failures: Vec<_> = path
        .iter()
        .filter(|line| ["attempt_failed", "not_run"].contains(&text(line, "event").as_str()))
        .map(|line| format!("{} at {}", text(line, "event"), text(line, "subject")))
        .collect();
    let suffix = if failures.is_empty() {
        String::new()
    } else {
        format!(" after {}", failures.join(", "))
    };
    let ending = match text(last, "event").as_str() {
        "answered" => format!(
            "answered by {} with status {}",
            text(last, "subject"),
            text(last, "status")
        ),
        "caller_gone" => format!("the caller left after {} ms", text(last, "ms")),
        _ => format!(
            "refused with status {}: {}",
            text(last, "status"),
            reason(last)?
        ),
    };
    Some(ending + &suffix)
}

/// Returns a sentence about the reason of a refusal, or none when the reason is not known.
fn reason(line: &Line) -> Option<String> {
    let code = text(line, "reason");
    let sentence =
        match code.as_str() {
            "rate_limited" => format!(
                "workspace {} has used its allowance",
                text(line, "workspace")
            ),
            "configuration_stale" => match text(line, "config_age_ms").as_str() {
                "" => "the host had not read the store yet".to_owned(),
                age => format!("the host had not reached the store for {age} ms"),
            },
            "no_upstream" => {
                let needs =
                    [("model", "model"), ("adapter", "with adapter")].map(|(field, word)| {
                        match text(line, field).as_str() {
                            "" => String::new(),
                            name => format!(" {word} {name}"),
                        }
                    });
                let needs = needs.concat();
                match (text(line, "unplaced").as_str(), needs.as_str()) {
                    ("true", _) => format!("no upstream that takes work holds{needs}"),
                    (_, "") => "all upstreams of the service were full".to_owned(),
                    _ => format!("all upstreams that hold{needs} were full"),
                }
            }
            "timeout" => "the time for the request was over".to_owned(),
            "upstream_failed" => {
                "the upstream broke off and the request may not be repeated".to_owned()
            }
            "unknown_key" => "the key is not known in this version of the configuration".to_owned(),
            "unknown_route" => {
                "no route takes the request in this version of the configuration".to_owned()
            }
            "ambiguous_key" => "the request came with several keys".to_owned(),
            "invalid_request" => format!("its field {} cannot be read", text(line, "field")),
            _ => return None,
        };
    Some(format!("{code} ({sentence})"))
}
