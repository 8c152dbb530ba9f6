use carawaycleat_net as net;
use carawaycleat_wire as wire;

use crate::api;
use crate::journal;

/// The format in which the response to a request is written.
#[derive(Debug)]
pub(super) enum Sink {
    /// Server-sent events, one per token.
    Events {
        response: api::Response,
        prompt_tokens: u64,
        include_usage: bool,
    },
    /// A single JSON body.
    Json {
        response: api::Response,
        prompt_tokens: u64,
        text: String,
    },
    /// The status, headers and body of a service.
    Raw {
        status: u16,
        headers: Vec<(String, String)>,
    },
}

impl Sink {
    pub(super) fn new(call: Option<&api::Request>, id: wire::Id) -> Self {
        let Some(call) = call else {
            return Self::Raw {
                status: 502,
                headers: Vec::new(),
            };
        };
        let response = api::Response::new(call, id, journal::wall_ms() / 1_000);
        let prompt_tokens = call.prompt_tokens;
        if call.stream {
            Self::Events {
                response,
                prompt_tokens,
                include_usage: call.include_usage,
            }
        } else {
            Self::Json {
                response,
                prompt_tokens,
                text: String::new(),
            }
        }
    }

    /// Returns whether the response is forwarded to the caller as it arrives.
    pub(super) fn is_streamed(&self) -> bool {
        !matches!(self, Self::Json { .. })
    }

    /// Returns the status and headers of a streamed response.
    pub(super) fn head(&self) -> net::Response {
        match self {
            Self::Events { .. } | Self::Json { .. } => net::Response::new(200)
                .header("content-type", "text/event-stream")
                .header("cache-control", "no-cache"),
            Self::Raw { status, headers } => {
                let response = net::Response::new(*status);
                headers.iter().fold(response, |response, (name, value)| {
                    response.header(name.as_str(), value.as_str())
                })
            }
        }
    }

    /// Appends the beginning of the body to `out`.
    pub(super) fn open(&self, out: &mut Vec<u8>) {
        if let Self::Events { response, .. } = self {
            response.write_start(out);
        }
    }

    /// Adds a token to the response; a streamed response appends it to `out`.
    pub(super) fn push_token(&mut self, token: &str, out: &mut Vec<u8>) {
        match self {
            Self::Events { response, .. } => response.write_token(token, out),
            Self::Json { text, .. } => text.push_str(token),
            Self::Raw { .. } => {}
        }
    }

    /// Appends the end of a complete response of `count` tokens to `out`.
    pub(super) fn close(&self, count: u64, out: &mut Vec<u8>) {
        match self {
            Self::Events {
                response,
                prompt_tokens,
                include_usage,
            } => {
                response.write_end(usage(*prompt_tokens, count), *include_usage, out);
            }
            Self::Json {
                response,
                prompt_tokens,
                text,
            } => {
                out.extend(response.to_body(text, usage(*prompt_tokens, count)));
            }
            Self::Raw { .. } => {}
        }
    }

    /// Appends an event that reports the failure of a stream to the caller.
    pub(super) fn fail(&self, refusal: &api::Refusal, out: &mut Vec<u8>) {
        if let Self::Events { .. } = self {
            refusal.write_event(out);
        }
    }
}

fn usage(prompt_tokens: u64, completion_tokens: u64) -> api::Usage {
    api::Usage {
        prompt_tokens,
        completion_tokens,
    }
}
