use carawaycleat_net as net;
use carawaycleat_wire as wire;

use crate::api;
use crate::journal;

/// Where the answer to a request goes.
#[derive(Debug)]
pub(super) enum Sink {
    /// Server-sent events, an event per token.
    Events {
        answer: api::Response,
        prompt_tokens: u64,
        include_usage: bool,
    },
    /// One JSON body.
    Whole {
        answer: api::Response,
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
        let answer = api::Response::new(call, id, journal::wall_ms() / 1_000);
        let prompt_tokens = call.prompt_tokens;
        if call.stream {
            Self::Events {
                answer,
                prompt_tokens,
                include_usage: call.include_usage,
            }
        } else {
            Self::Whole {
                answer,
                prompt_tokens,
                text: String::new(),
            }
        }
    }

    /// Returns whether the answer is passed on as it arrives.
    pub(super) fn is_streamed(&self) -> bool {
        !matches!(self, Self::Whole { .. })
    }

    /// Returns the status and headers of a streamed answer.
    pub(super) fn head(&self) -> net::Response {
        match self {
            Self::Events { .. } | Self::Whole { .. } => net::Response::new(200)
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

    /// Appends what opens the body.
    pub(super) fn open(&self, out: &mut Vec<u8>) {
        if let Self::Events { answer, .. } = self {
            answer.write_start(out);
        }
    }

    /// Takes a token.
    pub(super) fn token(&mut self, token: &str, out: &mut Vec<u8>) {
        match self {
            Self::Events { answer, .. } => answer.write_token(token, out),
            Self::Whole { text, .. } => text.push_str(token),
            Self::Raw { .. } => {}
        }
    }

    /// Appends what ends a complete body of `count` tokens.
    pub(super) fn close(&self, count: u64, out: &mut Vec<u8>) {
        match self {
            Self::Events {
                answer,
                prompt_tokens,
                include_usage,
            } => {
                answer.write_end(usage(*prompt_tokens, count), *include_usage, out);
            }
            Self::Whole {
                answer,
                prompt_tokens,
                text,
            } => {
                out.extend(answer.to_body(text, usage(*prompt_tokens, count)));
            }
            Self::Raw { .. } => {}
        }
    }

    /// Appends what tells the caller of a stream that it has failed.
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
