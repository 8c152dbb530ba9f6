//! Reconstructs the history of one request from the logs of several processes.

use std::collections;
use std::io;

/// The events that end a request.
const FINAL_EVENTS: [&str; 3] = ["answered", "refused", "caller_gone"];
/// Fields left out of the list of fields of a line: they identify the line or are printed separately.
const COMMON_FIELDS: [&str; 7] = [
    "time",
    "uptime_us",
    "host",
    "boot",
    "event",
    "request",
    "subject",
];

/// The reason of responses that end at their time limit.
const TIME_LIMIT_REASON: &str = "timeout";
/// The reasons of responses that the host ended itself, of those without an end.
const ABORT_REASONS: [&str; 2] = ["stream_aborted", "server_aborted"];
/// The events whose lines may be about cut responses.
const CUT_EVENTS: [&str; 2] = ["refused", "unanswered"];

/// The fields of one structured log line.
pub type Line = serde_json::Map<String, serde_json::Value>;

/// The parsed lines of one or more log files.
#[derive(Debug, Default)]
pub struct Log {
    lines: Vec<Line>,
    malformed: usize,
}

/// The logged events of one request and the cause of its result.
#[derive(Debug)]
pub struct Explanation<'a> {
    /// The events in chronological order, each with the last state of its upstream that the same host logged before.
    pub events: Vec<(&'a Line, Option<String>)>,
    /// The cause of the result; none when the logs do not contain it.
    pub cause: Option<String>,
}

/// The responses that hosts cut after they had passed a part of them on.
#[derive(Debug, Default)]
pub struct Cuts<'a> {
    /// The line of the end of each cut response, by reason.
    pub by_reason: collections::BTreeMap<String, Vec<&'a Line>>,
    /// The number of lines that hosts left out of their logs and that may be about cut responses.
    pub left_out: u64,
}

impl Cuts<'_> {
    /// Returns the number of responses that were cut before their time limit.
    #[must_use]
    pub fn early(&self) -> usize {
        let reasons = self.by_reason.iter();
        let early = reasons.filter(|(reason, _)| *reason != TIME_LIMIT_REASON);
        early.map(|(_, lines)| lines.len()).sum()
    }
}

impl Log {
    /// Reads lines from `reader`.
    ///
    /// Text before the JSON object of a line, such as the timestamp of a log collector, is skipped. So are lines
    /// without an object.
    ///
    /// # Errors
    ///
    /// Returns an error when `reader` fails.
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

    /// Returns the number of valid lines.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Returns whether there are no valid lines.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Returns the number of lines whose object is not valid JSON or has no `event` field.
    #[must_use]
    pub fn malformed(&self) -> usize {
        self.malformed
    }

    /// Returns the explanation of the request `id`, or none when no line refers to it.
    #[must_use]
    pub fn explain(&self, id: &str) -> Option<Explanation<'_>> {
        let names_request = |line: &&Line| text(line, "request") == id;
        let mut lines: Vec<_> = self.lines.iter().filter(names_request).collect();
        lines.sort_by_key(|line| (number(line, "time"), number(line, "uptime_us")));
        if lines.is_empty() {
            return None;
        }
        let cause = cause(&lines);
        let events = lines
            .into_iter()
            .map(|line| (line, self.last_observation(line)));
        Some(Explanation {
            events: events.collect(),
            cause,
        })
    }

    /// Returns the responses that were cut.
    #[must_use]
    pub fn cuts(&self) -> Cuts<'_> {
        let lines = self.lines.iter().filter(|line| is_cut(line));
        let (refusals, others): (Vec<_>, Vec<_>) =
            lines.partition(|line| text(line, "event") == "refused");
        let request = |line: &Line| (text(line, "host"), text(line, "request"));
        let refused: collections::BTreeSet<_> = refusals.iter().map(|line| request(line)).collect();
        // A refusal of which the caller cannot be told has a second line, with another reason.
        let others = others
            .into_iter()
            .filter(|line| !refused.contains(&request(line)));
        let mut cuts = Cuts::default();
        for line in refusals.into_iter().chain(others) {
            let lines = cuts.by_reason.entry(text(line, "reason")).or_default();
            lines.push(line);
        }
        for lines in cuts.by_reason.values_mut() {
            lines.sort_by_key(|line| (number(line, "time"), number(line, "uptime_us")));
        }
        let left_out = self
            .lines
            .iter()
            .filter(|line| match &*text(line, "event") {
                "log_suppressed" => CUT_EVENTS.contains(&&*text(line, "of")),
                event => event == "log_dropped",
            });
        cuts.left_out = left_out.map(|line| number(line, "lines")).sum();
        cuts
    }

    /// Returns the last state of the upstream of `decision` that its host had logged in the same run, with its age.
    fn last_observation(&self, decision: &Line) -> Option<String> {
        let subject = text(decision, "subject");
        if subject.is_empty() {
            return None;
        }
        let decided_us = number(decision, "uptime_us");
        let observations = self.lines.iter().filter(|line| {
            text(line, "event") == "upstream"
                && text(line, "subject") == subject
                && text(line, "host") == text(decision, "host")
                && text(line, "boot") == text(decision, "boot")
                && number(line, "uptime_us") <= decided_us
        });
        let last = observations.max_by_key(|line| number(line, "uptime_us"))?;
        let age_ms = (decided_us - number(last, "uptime_us")) / 1_000;
        Some(format!(
            "heard of {subject} {age_ms} ms before: {}",
            fields(last)
        ))
    }
}

/// Returns whether a line is about a response that its host ended after its caller had got a part of it.
fn is_cut(line: &Line) -> bool {
    let is_true = |field| text(line, field) == "true";
    match &*text(line, "event") {
        "refused" => is_true("delivered"),
        "unanswered" => is_true("head_written") && ABORT_REASONS.contains(&&*text(line, "reason")),
        _ => false,
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

/// Formats a line as human-readable text.
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

/// Formats a line as [`describe`] does, after the request that it is about.
#[must_use]
pub fn describe_with_request(line: &Line) -> String {
    format!("{} {}", text(line, "request"), describe(line))
}

/// Returns the cause of the result of a request, or none when the lines lack its end or the reason is unknown.
fn cause(events: &[&Line]) -> Option<String> {
    let last = events
        .iter()
        .rev()
        .find(|line| FINAL_EVENTS.contains(&text(line, "event").as_str()))?;
    let failures: Vec<_> = events
        .iter()
        .filter(|line| ["attempt_failed", "not_run"].contains(&text(line, "event").as_str()))
        .map(|line| match text(line, "failure").as_str() {
            "timed_out" => format!("the time limit of {}", text(line, "subject")),
            _ => format!("{} at {}", text(line, "event"), text(line, "subject")),
        })
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

/// Returns the reason code of a refusal with an explanation, or none when the code is unknown.
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
            "quarantined" => "it or a part of its prompt has crashed upstreams".to_owned(),
            "crash_suspected" => "it broke off as at an earlier crash of an upstream".to_owned(),
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
