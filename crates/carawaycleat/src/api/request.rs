use std::hash;

use carawaycleat_core::admission;
use carawaycleat_core::name;
use carawaycleat_net as net;

/// Number of output tokens reserved when the request sets no limit.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// Upper bound of the output token limit in a request.
const MAX_TOKENS_LIMIT: u64 = 1 << 20;

/// Upper bound of the deadline in a request, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Number of bytes of prompt text by which each prefix is longer than the one before.
const PREFIX_CHUNK_BYTES: usize = 256;

/// Maximum number of prefix hashes computed for one prompt.
const MAX_PREFIX_HASHES: usize = 16;

/// The header with the admission class of a request.
pub(crate) const CLASS_HEADER: &str = "carawaycleat-class";

/// The header with the deadline for the whole response, in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "carawaycleat-deadline-ms";

/// The endpoint of a request, which determines the format of its body and response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Form {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Completion,
}

/// A parsed chat or completion request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The endpoint.
    pub form: Form,
    /// The requested model.
    pub model: name::Name,
    /// The adapter to apply to the model, if any.
    pub adapter: Option<name::Name>,
    /// The admission class, live by default.
    pub class: admission::Class,
    /// Number of prompt tokens, computed from the length of the prompt in bytes.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens.
    pub max_tokens: u64,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Whether a streamed response ends with a usage event.
    pub include_usage: bool,
    /// The deadline for the whole response, in milliseconds; none when the request sets none.
    pub deadline_ms: Option<u64>,
    /// Hashes of prompt prefixes, shortest first; each includes the model.
    pub prefixes: Vec<u64>,
}

#[derive(serde::Deserialize)]
struct Body {
    model: String,
    adapter: Option<String>,
    prompt: Option<Prompt>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    n: Option<u64>,
    #[serde(default)]
    stream: bool,
    stream_options: Option<StreamOptions>,
}

#[derive(serde::Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(serde::Deserialize)]
#[serde(untagged)]
enum Prompt {
    One(String),
    Several(Vec<String>),
}

#[derive(serde::Deserialize)]
struct Message {
    role: String,
    content: Option<Content>,
}

#[derive(serde::Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<ContentPart>),
}

#[derive(serde::Deserialize)]
struct ContentPart {
    #[serde(default)]
    text: String,
}

impl Request {
    /// Parses a request of `form` from its headers and body.
    ///
    /// # Errors
    ///
    /// Returns an error when the body is not valid JSON, or when a field or header has a value that is not allowed.
    pub fn parse(form: Form, headers: &net::Headers, body: &[u8]) -> super::Result<Self> {
        // Serde also deserializes a struct from a JSON array, with the fields in order.
        if body.trim_ascii_start().first() == Some(&b'[') {
            return Err(super::Error::Object);
        }
        let body: Body = serde_json::from_slice(body)?;
        let text = body.prompt_text(form)?;
        let (model, adapter) = body.model_and_adapter()?;
        let max_tokens = body
            .max_completion_tokens
            .or(body.max_tokens)
            .unwrap_or(DEFAULT_MAX_TOKENS);
        if !(1..=MAX_TOKENS_LIMIT).contains(&max_tokens) {
            return Err(super::Error::Field("max_tokens", "from 1 to 1048576"));
        }
        if body.n.is_some_and(|n| n != 1) {
            return Err(super::Error::Field("n", "1"));
        }
        let prompt_tokens = text.len().div_ceil(super::BYTES_PER_PROMPT_TOKEN) as u64;
        Ok(Self {
            form,
            prefixes: prefix_hashes(&model, &text),
            model,
            adapter,
            class: parse_class(headers)?,
            prompt_tokens,
            max_tokens,
            stream: body.stream,
            include_usage: body.stream_options.is_some_and(|o| o.include_usage),
            deadline_ms: parse_deadline(headers)?,
        })
    }

    /// Returns the number of tokens to reserve: prompt tokens plus maximum output tokens.
    pub fn cost(&self) -> u64 {
        self.prompt_tokens + self.max_tokens
    }
}

impl Body {
    fn prompt_text(&self, form: Form) -> super::Result<String> {
        match form {
            Form::Completion => match &self.prompt {
                Some(Prompt::One(text)) => Ok(text.clone()),
                Some(Prompt::Several(texts)) if texts.len() == 1 => Ok(texts[0].clone()),
                _ => Err(super::Error::Field("prompt", "one text")),
            },
            Form::Chat => {
                let messages = self.messages.as_deref().unwrap_or_default();
                if messages.is_empty() {
                    return Err(super::Error::Field(
                        "messages",
                        "a list with at least one message",
                    ));
                }
                Ok(messages.iter().map(Message::text).collect())
            }
        }
    }

    /// Returns the model and the adapter. The `model` field may hold both as `model:adapter`.
    fn model_and_adapter(&self) -> super::Result<(name::Name, Option<name::Name>)> {
        let (model, suffix) = match self.model.split_once(':') {
            Some((model, adapter)) => (model, Some(adapter)),
            None => (self.model.as_str(), None),
        };
        if suffix.is_some() && self.adapter.is_some() {
            return Err(super::Error::Field(
                "adapter",
                "absent when `model` names an adapter",
            ));
        }
        let adapter = suffix
            .or(self.adapter.as_deref())
            .map(name::Name::parse)
            .transpose()?;
        Ok((name::Name::parse(model)?, adapter))
    }
}

impl Message {
    fn text(&self) -> String {
        let mut text = format!("{}\n", self.role);
        match &self.content {
            Some(Content::Text(content)) => text.push_str(content),
            Some(Content::Parts(parts)) => text.extend(parts.iter().map(|p| p.text.as_str())),
            None => {}
        }
        text.push('\n');
        text
    }
}

fn parse_class(headers: &net::Headers) -> super::Result<admission::Class> {
    match headers.get(CLASS_HEADER) {
        None | Some("live") => Ok(admission::Class::Live),
        Some("short") => Ok(admission::Class::Short),
        Some("batch") => Ok(admission::Class::Batch),
        Some(_) => Err(super::Error::Header(CLASS_HEADER, "live, short or batch")),
    }
}

fn parse_deadline(headers: &net::Headers) -> super::Result<Option<u64>> {
    let Some(text) = headers.get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(millis) if (1..=MAX_DEADLINE_MS).contains(&millis) => Ok(Some(millis)),
        _ => Err(super::Error::Header(
            DEADLINE_HEADER,
            "a number of milliseconds from 1 to 3600000",
        )),
    }
}

fn prefix_hashes(model: &name::Name, text: &str) -> Vec<u64> {
    let mut state = hash::DefaultHasher::new();
    hash::Hash::hash(model, &mut state);
    let chunks = text
        .as_bytes()
        .chunks_exact(PREFIX_CHUNK_BYTES)
        .take(MAX_PREFIX_HASHES);
    let hashes = chunks.map(|chunk| {
        hash::Hasher::write(&mut state, chunk);
        hash::Hasher::finish(&state)
    });
    hashes.collect()
}
