//! Bodies of the completion interface.

use super::request;
use super::text;

// The usual default of the interface.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// The body of `/v1/completions` and `/v1/chat/completions`.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Call {
    /// The model.
    pub model: String,
    /// The adapter.
    pub adapter: Option<String>,
    /// The prompt of a completion.
    pub prompt: String,
    /// The messages of a chat.
    pub messages: Vec<Message>,
    /// The tokens of the whole answer, those already produced included.
    pub max_tokens: Option<u32>,
    /// Whether to stream server-sent events.
    pub stream: bool,
    /// The priority: 0 live, 1 short, 2 batch.
    pub priority: u8,
    /// The tokens already produced elsewhere.
    pub resume_at: u32,
    /// The text of the tokens already produced.
    pub resume_text: Option<String>,
}

/// A message of a chat.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Message {
    /// The role of the author.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub role: String,
    /// The text.
    pub content: String,
}

/// One server-sent event, or the whole plain answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Chunk {
    /// The id of the request.
    pub id: String,
    /// The position of the token in the whole answer; absent in a plain answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub position: Option<u32>,
    /// The text.
    pub choices: Vec<Choice>,
    /// The tokens of a plain answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The text in a [`Chunk`], in the field of the interface that was called.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Choice {
    /// The number of the choice, always 0.
    pub index: u32,
    /// The text of a completion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// The text of a chat's event.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delta: Option<Message>,
    /// The text of a chat's plain answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub message: Option<Message>,
    /// Why the answer ended.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<String>,
}

/// The tokens of a plain answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Usage {
    /// The tokens produced for this call.
    pub completion_tokens: u32,
}

impl Call {
    /// Returns the request of the call.
    pub fn request(&self, id: &str) -> request::Request {
        let prompt = if self.messages.is_empty() {
            self.prompt.clone()
        } else {
            text::chat_prompt(self.messages.iter().map(|m| m.content.as_str()))
        };
        request::Request {
            id: id.to_owned(),
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            prompt,
            max_tokens: self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            priority: self.priority,
            resume_at: self.resume_at,
            resume_text: self.resume_text.clone(),
        }
    }
}

impl Chunk {
    /// Returns the event for one token.
    pub fn token(chat: bool, id: String, position: u32, text: String) -> Self {
        let choice = if chat {
            Choice {
                delta: Some(Message {
                    role: String::new(),
                    content: text,
                }),
                ..Default::default()
            }
        } else {
            Choice {
                text: Some(text),
                ..Default::default()
            }
        };
        Self {
            id,
            position: Some(position),
            choices: vec![choice],
            usage: None,
        }
    }

    /// Returns the event that ends a complete stream.
    pub fn finish(chat: bool, id: String, completion_tokens: u32) -> Self {
        let mut chunk = Self::token(chat, id, 0, String::new());
        chunk.position = None;
        chunk.choices[0].finish_reason = Some("length".to_owned());
        chunk.usage = Some(Usage { completion_tokens });
        chunk
    }

    /// Returns a plain answer.
    pub fn whole(chat: bool, id: String, text: String, completion_tokens: u32) -> Self {
        let mut choice = Choice {
            finish_reason: Some("length".to_owned()),
            ..Default::default()
        };
        if chat {
            choice.message = Some(Message {
                role: "assistant".to_owned(),
                content: text,
            });
        } else {
            choice.text = Some(text);
        }
        Self {
            id,
            position: None,
            choices: vec![choice],
            usage: Some(Usage { completion_tokens }),
        }
    }
}
