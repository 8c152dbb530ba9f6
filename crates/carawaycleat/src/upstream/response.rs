use std::collections;

use carawaycleat_core::outcome;
use carawaycleat_net as net;
use carawaycleat_net::sse;
use carawaycleat_wire as wire;

use super::engine;

/// The size of an error body, in bytes, beyond which no more of it is read.
const MAX_ERROR_BYTES: usize = 64 << 10;

/// Headers that apply to a single connection and are not forwarded.
const CONNECTION_HEADERS: [&str; 6] = [
    "connection",
    "content-length",
    "keep-alive",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// The response of an engine or service, split into parts for the entry host.
#[derive(Debug)]
pub struct Response {
    id: String,
    is_model: bool,
    status: u16,
    head: Option<wire::Part>,
    reader: net::Reader,
    decoder: sse::Decoder,
    decoded: collections::VecDeque<wire::Part>,
    count: u64,
    has_finish_reason: bool,
    is_ended: bool,
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
        let forwarded = headers.filter(|(name, _)| !is_connection_header(name));
        let headers = forwarded
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
            decoded: collections::VecDeque::new(),
            count: job.resume_at,
            has_finish_reason: false,
            is_ended: false,
        }
    }

    /// Waits for the next part and returns it, or none after the last one.
    pub async fn next(&mut self) -> Option<wire::Part> {
        if self.is_ended && self.decoded.is_empty() {
            return None;
        }
        if self.is_model {
            self.next_token().await
        } else {
            self.next_body().await
        }
    }

    /// Returns the next part that has already been decoded, if there is one.
    pub fn try_next(&mut self) -> Option<wire::Part> {
        self.decoded.pop_front()
    }

    async fn next_body(&mut self) -> Option<wire::Part> {
        if let Some(head) = self.head.take() {
            return Some(head);
        }
        match self.reader.next().await {
            Ok(Some(chunk)) => {
                self.count += chunk.len() as u64;
                Some(wire::Part::Body(chunk))
            }
            Ok(None) => {
                self.is_ended = true;
                Some(wire::Part::End { count: self.count })
            }
            Err(error) => Some(self.incomplete(error.to_string())),
        }
    }

    async fn next_token(&mut self) -> Option<wire::Part> {
        if self.status != 200 {
            return Some(self.error_response().await);
        }
        loop {
            if let Some(part) = self.decoded.pop_front() {
                return Some(part);
            }
            match self.reader.next().await {
                Ok(Some(chunk)) => self.decode_chunk(&chunk),
                Ok(None) => {
                    let part = self.incomplete("the stream ended without [DONE]".to_owned());
                    return Some(part);
                }
                Err(error) => return Some(self.incomplete(error.to_string())),
            }
        }
    }

    fn decode_chunk(&mut self, chunk: &[u8]) {
        self.decoder.push(chunk);
        while !self.is_ended {
            match self.decoder.next_event() {
                Ok(Some(event)) => self.decode_event(&event),
                Ok(None) => return,
                Err(error) => {
                    let part = self.incomplete(error.to_string());
                    self.decoded.push_back(part);
                }
            }
        }
    }

    fn decode_event(&mut self, event: &sse::Event) {
        if event.data == "[DONE]" {
            let part = self.done();
            self.decoded.push_back(part);
            return;
        }
        match serde_json::from_str::<Event>(&event.data) {
            Ok(event) => self.process_event(event),
            Err(error) => {
                let part = self.incomplete(format!("invalid event: {error}"));
                self.decoded.push_back(part);
            }
        }
    }

    /// Returns the part for the end of the stream. Without a finish reason the engine has stopped early, even if it has
    /// sent `[DONE]`.
    fn done(&mut self) -> wire::Part {
        if !self.has_finish_reason {
            return self.incomplete("the stream ended without a finish reason".to_owned());
        }
        self.is_ended = true;
        wire::Part::End { count: self.count }
    }

    fn process_event(&mut self, event: Event) {
        if !event.id.is_empty() && event.id != self.id {
            let part = self.incomplete(format!("the event belongs to request {}", event.id));
            self.decoded.push_back(part);
            return;
        }
        if let Some(usage) = event.usage
            && usage.completion_tokens != self.count
        {
            let message = format!(
                "received {} tokens, but the engine reported {}",
                self.count, usage.completion_tokens
            );
            let part = self.incomplete(message);
            self.decoded.push_back(part);
            return;
        }
        let Some(choice) = event.choices.into_iter().next() else {
            return;
        };
        self.has_finish_reason |= choice.finish_reason.is_some();
        let Some(text) = choice.into_text().filter(|text| !text.is_empty()) else {
            return;
        };
        let position = event.position.unwrap_or(self.count);
        if position != self.count {
            let part = self.incomplete(format!(
                "received token {position}, expected token {}",
                self.count
            ));
            self.decoded.push_back(part);
            return;
        }
        self.count += 1;
        self.decoded.push_back(wire::Part::Token { position, text });
    }

    /// Returns the failure part for a model's response with a status other than 200.
    async fn error_response(&mut self) -> wire::Part {
        self.is_ended = true;
        let mut message = Vec::new();
        while let Ok(Some(chunk)) = self.reader.next().await {
            message.extend_from_slice(&chunk);
            if message.len() > MAX_ERROR_BYTES {
                break;
            }
        }
        let message = format!(
            "status {}: {}",
            self.status,
            String::from_utf8_lossy(&message)
        );
        let is_caller_error = self.status == 400 || self.status == 422;
        let reason = if is_caller_error {
            outcome::Reason::InvalidRequest
        } else {
            outcome::Reason::UpstreamFailed
        };
        // An engine that responds with a client error or 503 has not started to generate.
        let outcome = match self.status {
            400..500 | 503 => outcome::Outcome::NotRun,
            _ => outcome::Outcome::Unknown,
        };
        engine::failure_part(outcome, reason, message)
    }

    fn incomplete(&mut self, message: String) -> wire::Part {
        self.is_ended = true;
        engine::failure_part(
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
