use std::collections;

use carawaycleat_core::outcome;
use carawaycleat_net as net;
use carawaycleat_net::sse;
use carawaycleat_wire as wire;

use super::engine;

/// The longest error body that is read, in bytes.
const MAX_ERROR_BYTES: usize = 64 << 10;

/// Headers that hold for one connection only and are not passed on.
const CONNECTION_HEADERS: [&str; 6] = [
    "connection",
    "content-length",
    "keep-alive",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// The answer of an engine or service, as parts for the entry host.
#[derive(Debug)]
pub struct Response {
    id: String,
    is_model: bool,
    status: u16,
    head: Option<wire::Part>,
    reader: net::Reader,
    decoder: sse::Decoder,
    waiting: collections::VecDeque<wire::Part>,
    count: u64,
    is_finished: bool,
    ended: bool,
}

#[derive(serde::Deserialize)]
struct Event {
    #[serde(default)]
    id: String,
    position: Option<u64>,
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(serde::Deserialize)]
struct Usage {
    completion_tokens: u64,
}

#[derive(serde::Deserialize)]
struct Choice {
    text: Option<String>,
    delta: Option<Delta>,
    finish_reason: Option<String>,
}

#[derive(serde::Deserialize)]
struct Delta {
    content: Option<String>,
}

impl Response {
    pub(super) fn new(job: &wire::Job, reply: net::Reply) -> Self {
        let headers = reply.headers.iter();
        let kept = headers.filter(|(name, _)| !is_connection_header(name));
        let headers = kept
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        Self {
            id: job.id.to_string(),
            is_model: job.model.is_some(),
            status: reply.status,
            head: Some(wire::Part::Head {
                status: reply.status,
                headers,
            }),
            reader: reply.body,
            decoder: sse::Decoder::default(),
            waiting: collections::VecDeque::new(),
            count: job.resume_at,
            is_finished: false,
            ended: false,
        }
    }

    /// Waits for the next part; none after the last one.
    pub async fn next(&mut self) -> Option<wire::Part> {
        if self.ended && self.waiting.is_empty() {
            return None;
        }
        if self.is_model {
            self.next_token().await
        } else {
            self.next_body().await
        }
    }

    /// Returns a part that has already been received, if there is one.
    pub fn try_next(&mut self) -> Option<wire::Part> {
        self.waiting.pop_front()
    }

    async fn next_body(&mut self) -> Option<wire::Part> {
        if let Some(head) = self.head.take() {
            return Some(head);
        }
        match self.reader.next().await {
            Ok(Some(piece)) => {
                self.count += piece.len() as u64;
                Some(wire::Part::Body(piece))
            }
            Ok(None) => {
                self.ended = true;
                Some(wire::Part::End { count: self.count })
            }
            Err(error) => Some(self.incomplete(error.to_string())),
        }
    }

    async fn next_token(&mut self) -> Option<wire::Part> {
        if self.status != 200 {
            return Some(self.refused().await);
        }
        loop {
            if let Some(part) = self.waiting.pop_front() {
                return Some(part);
            }
            match self.reader.next().await {
                Ok(Some(piece)) => self.decode(&piece),
                Ok(None) => {
                    let part = self.incomplete("the stream ended without [DONE]".to_owned());
                    return Some(part);
                }
                Err(error) => return Some(self.incomplete(error.to_string())),
            }
        }
    }

    fn decode(&mut self, piece: &[u8]) {
        self.decoder.push(piece);
        while !self.ended {
            match self.decoder.next_event() {
                Ok(Some(event)) => self.take(&event),
                Ok(None) => return,
                Err(error) => {
                    let part = self.incomplete(error.to_string());
                    self.waiting.push_back(part);
                }
            }
        }
    }

    fn take(&mut self, event: &sse::Event) {
        if event.data == "[DONE]" {
            let part = self.done();
            self.waiting.push_back(part);
            return;
        }
        match serde_json::from_str::<Event>(&event.data) {
            Ok(event) => self.check(event),
            Err(error) => {
                let part = self.incomplete(format!("not an event: {error}"));
                self.waiting.push_back(part);
            }
        }
    }

    /// Returns the part for the end of the stream. Without a finish reason the engine has stopped early, whatever it
    /// says.
    fn done(&mut self) -> wire::Part {
        if !self.is_finished {
            return self.incomplete("the stream ended without a finish reason".to_owned());
        }
        self.ended = true;
        wire::Part::End { count: self.count }
    }

    fn check(&mut self, event: Event) {
        if !event.id.is_empty() && event.id != self.id {
            let part = self.incomplete(format!("the event belongs to request {}", event.id));
            self.waiting.push_back(part);
            return;
        }
        if let Some(usage) = event.usage
            && usage.completion_tokens != self.count
        {
            let message = format!(
                "{} tokens arrived of {}",
                self.count, usage.completion_tokens
            );
            let part = self.incomplete(message);
            self.waiting.push_back(part);
            return;
        }
        let Some(choice) = event.choices.into_iter().next() else {
            return;
        };
        self.is_finished |= choice.finish_reason.is_some();
        let Some(text) = choice.into_text().filter(|text| !text.is_empty()) else {
            return;
        };
        let position = event.position.unwrap_or(self.count);
        if position != self.count {
            let part = self.incomplete(format!("token {position} in place of {}", self.count));
            self.waiting.push_back(part);
            return;
        }
        self.count += 1;
        self.waiting.push_back(wire::Part::Token { position, text });
    }

    /// Returns the failure of a model's answer that has a status other than 200.
    async fn refused(&mut self) -> wire::Part {
        self.ended = true;
        let mut message = Vec::new();
        while let Ok(Some(piece)) = self.reader.next().await {
            message.extend_from_slice(&piece);
            if message.len() > MAX_ERROR_BYTES {
                break;
            }
        }
        let message = format!(
            "status {}: {}",
            self.status,
            String::from_utf8_lossy(&message)
        );
        let is_callers_fault = self.status == 400 || self.status == 422;
        let reason = if is_callers_fault {
            outcome::Reason::InvalidRequest
        } else {
            outcome::Reason::UpstreamFailed
        };
        // An engine that refuses with a client error or 503 has not begun to generate.
        let known = match self.status {
            400..500 | 503 => outcome::Outcome::NotRun,
            _ => outcome::Outcome::Unknown,
        };
        engine::fail(known, reason, message)
    }

    fn incomplete(&mut self, message: String) -> wire::Part {
        self.ended = true;
        engine::fail(
            outcome::Outcome::Unknown,
            outcome::Reason::UpstreamIncomplete,
            message,
        )
    }
}

impl Choice {
    fn into_text(self) -> Option<String> {
        self.text
            .or_else(|| self.delta.and_then(|delta| delta.content))
    }
}

fn is_connection_header(name: &str) -> bool {
    CONNECTION_HEADERS
        .iter()
        .any(|header| header.eq_ignore_ascii_case(name))
}
