use carawaycleat_wire as wire;

use super::request;

/// The token usage of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    pub completion_tokens: u64,
}

/// Encodes the response to a [`Request`](super::Request).
///
/// The common start of all events of a stream is encoded once, because an event is written per token.
#[derive(Clone, Debug)]
pub struct Response {
    form: request::Form,
    head: String,
    created: u64,
    id: String,
    model: String,
}

impl Response {
    /// Returns an encoder for the response to `request`; `created` is in seconds since the Unix epoch.
    pub fn new(request: &request::Request, id: wire::Id, created: u64) -> Self {
        let model = match &request.adapter {
            Some(adapter) => format!("{}:{adapter}", request.model),
            None => request.model.to_string(),
        };
        let (prefix, object) = match request.form {
            request::Form::Chat => ("chatcmpl", "chat.completion.chunk"),
            request::Form::Completion => ("cmpl", "text_completion"),
        };
        let id = format!("{prefix}-{id}");
        // Identifiers and names contain no characters that need escaping in JSON.
        let head = format!(
            r#"data: {{"id":"{id}","object":"{object}","created":{created},"model":"{model}","choices":["#
        );
        Self {
            form: request.form,
            head,
            created,
            id,
            model,
        }
    }

    /// Appends the first event of a stream. Only chat streams have one.
    pub fn write_start(&self, out: &mut Vec<u8>) {
        if self.form == request::Form::Chat {
            out.extend_from_slice(self.head.as_bytes());
            let choice =
                r#"{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}"#;
            out.extend_from_slice(choice.as_bytes());
            out.extend_from_slice(b"]}\n\n");
        }
    }

    /// Appends the event for one generated token.
    pub fn write_token(&self, text: &str, out: &mut Vec<u8>) {
        out.extend_from_slice(self.head.as_bytes());
        match self.form {
            request::Form::Chat => {
                out.extend_from_slice(br#"{"index":0,"delta":{"content":"#);
                write_json_string(text, out);
                out.extend_from_slice(br#"},"finish_reason":null}]}"#);
            }
            request::Form::Completion => {
                out.extend_from_slice(br#"{"index":0,"text":"#);
                write_json_string(text, out);
                out.extend_from_slice(br#","finish_reason":null}]}"#);
            }
        }
        out.extend_from_slice(b"\n\n");
    }

    /// Appends the final events of a completed stream.
    pub fn write_end(&self, usage: Usage, include_usage: bool, out: &mut Vec<u8>) {
        out.extend_from_slice(self.head.as_bytes());
        let choice = match self.form {
            request::Form::Chat => r#"{"index":0,"delta":{},"finish_reason":"stop"}]}"#,
            request::Form::Completion => r#"{"index":0,"text":"","finish_reason":"stop"}]}"#,
        };
        out.extend_from_slice(choice.as_bytes());
        out.extend_from_slice(b"\n\n");
        if include_usage {
            out.extend_from_slice(self.head.as_bytes());
            out.extend_from_slice(format!(r#"],"usage":{}}}"#, usage.to_json()).as_bytes());
            out.extend_from_slice(b"\n\n");
        }
        out.extend_from_slice(b"data: [DONE]\n\n");
    }

    /// Returns the body of a response that is not streamed.
    pub fn to_body(&self, text: &str, usage: Usage) -> Vec<u8> {
        let choice = match self.form {
            request::Form::Chat => serde_json::json!({
                "index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "stop",
            }),
            request::Form::Completion => {
                serde_json::json!({"index": 0, "text": text, "finish_reason": "stop"})
            }
        };
        let object = match self.form {
            request::Form::Chat => "chat.completion",
            request::Form::Completion => "text_completion",
        };
        let body = serde_json::json!({
            "id": self.id, "object": object, "created": self.created, "model": self.model,
            "choices": [choice], "usage": usage.to_json(),
        });
        body.to_string().into_bytes()
    }
}

impl Usage {
    fn to_json(self) -> serde_json::Value {
        serde_json::json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
        })
    }
}

fn write_json_string(text: &str, out: &mut Vec<u8>) {
    serde_json::to_writer(out, text).expect("a string can always be serialized to memory");
}
