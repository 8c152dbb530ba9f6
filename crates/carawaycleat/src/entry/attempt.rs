use std::collections;
use std::fmt;
use std::net as std_net;
use std::pin;
use std::sync;
use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::entry;
use carawaycleat_core::name;
use carawaycleat_core::outcome;
use carawaycleat_core::request;
use carawaycleat_net as net;
use carawaycleat_wire as wire;

use super::context;
use crate::upstream;

/// The time within which a sidecar must begin its response.
const SIDECAR_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// An attempt to serve a request, through a sidecar or directly at the upstream.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) id: request::Id,
    source: Source,
}

enum Source {
    /// The head of the response has not arrived.
    Starting(Starting),
    Side {
        reader: net::Reader,
        decoder: wire::Decoder,
        has_failed: bool,
    },
    Direct {
        response: Box<upstream::Response>,
        first: Option<wire::Part>,
    },
    Failed(collections::VecDeque<entry::Progress>),
}

type Starting = pin::Pin<Box<dyn Future<Output = Source> + Send>>;

impl fmt::Debug for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Starting(_) => "Starting",
            Self::Side { .. } => "Side",
            Self::Direct { .. } => "Direct",
            Self::Failed(_) => "Failed",
        })
    }
}

/// A step of an attempt: the progress for the reducer, and the content for the caller if the reducer delivers it.
#[derive(Debug)]
pub(super) struct Step {
    pub(super) progress: entry::Progress,
    pub(super) content: Content,
    /// The logical timestamp of the sidecar, if the step has one.
    pub(super) stamp: Option<clock::Stamp>,
}

/// The content of a step for the caller.
#[derive(Debug)]
pub(super) enum Content {
    Nothing,
    Token(String),
    Head(u16, Vec<(String, String)>),
    Body(Vec<u8>),
}

impl Attempt {
    /// Returns an attempt to run `job` at the upstream `name`. The job is sent in the first call of [`Attempt::next`],
    /// which the caller polls together with the mailbox, so that the attempt can be abandoned while it starts.
    pub(super) fn new(
        context: &sync::Arc<context::Context>,
        name: &name::Name,
        id: request::Id,
        job: wire::Job,
    ) -> Self {
        let addresses = addresses(context, name);
        let context = context.clone();
        let starting = async move {
            match addresses {
                Some((_, Some(sidecar))) => start_sidecar(&context, sidecar, &job).await,
                Some((address, None)) => start_direct(&context, address, &job).await,
                None => failed_source(false, "the upstream is no longer configured".to_owned()),
            }
        };
        Self {
            id,
            source: Source::Starting(Box::pin(starting)),
        }
    }

    /// Waits for the next step. Returns none when the attempt has ended.
    pub(super) async fn next(&mut self) -> Option<Step> {
        if let Source::Starting(starting) = &mut self.source {
            self.source = starting.await;
        }
        match &mut self.source {
            Source::Side {
                reader,
                decoder,
                has_failed,
            } => {
                let progress = match next_frame(reader, decoder).await {
                    Ok(Some(frame)) => return Some(frame_step(frame)),
                    Ok(None) if *has_failed => return None,
                    Ok(None) => interrupted("the sidecar ended the answer early".to_owned()),
                    Err(message) if *has_failed => {
                        drop(message);
                        return None;
                    }
                    Err(message) => interrupted(message),
                };
                *has_failed = true;
                Some(Step {
                    progress,
                    content: Content::Nothing,
                    stamp: None,
                })
            }
            Source::Direct { response, first } => {
                let part = match first.take() {
                    Some(part) => part,
                    None => response.next().await?,
                };
                Some(part_step(part, self.id))
            }
            Source::Starting(_) => None,
            Source::Failed(steps) => {
                let progress = steps.pop_front()?;
                Some(Step {
                    progress,
                    content: Content::Nothing,
                    stamp: None,
                })
            }
        }
    }

    /// Returns the next step if it has already been received, without waiting.
    pub(super) fn next_received(&mut self) -> Option<Step> {
        match &mut self.source {
            Source::Side { decoder, .. } => {
                let frame = decoder.next_frame().ok()??;
                Some(frame_step(frame))
            }
            Source::Direct {
                response,
                first: None,
            } => Some(part_step(response.try_next()?, self.id)),
            Source::Starting(_) | Source::Direct { .. } | Source::Failed(_) => None,
        }
    }
}

/// Returns the address of the sidecar of an upstream, if it has one.
pub(super) fn sidecar_address(
    context: &context::Context,
    name: &name::Name,
) -> Option<std_net::SocketAddr> {
    addresses(context, name)?.1
}

fn addresses(
    context: &context::Context,
    name: &name::Name,
) -> Option<(std_net::SocketAddr, Option<std_net::SocketAddr>)> {
    context.with_reducer(|reducer, _| {
        let found = reducer.configuration().snapshot().upstream(name)?;
        Some((found.address, found.side_address))
    })
}

async fn start_sidecar(
    context: &context::Context,
    address: std_net::SocketAddr,
    job: &wire::Job,
) -> Source {
    let body = match wire::encode(job) {
        Ok(body) => body,
        Err(error) => return failed_source(false, error.to_string()),
    };
    let request = net::Request::new("POST", "/work").body(body);
    match context.pool.send(address, request, SIDECAR_TIMEOUT).await {
        Ok(response) if response.status == 200 => Source::Side {
            reader: response.body,
            decoder: wire::Decoder::default(),
            has_failed: false,
        },
        // Another status comes from the sidecar's HTTP server, which refuses a request before its handler runs: the
        // handler always responds with 200.
        Ok(response) => failed_source(
            false,
            format!("the sidecar answered with status {}", response.status),
        ),
        Err(failure) => failed_source_for(
            failure.sent,
            upstream::reason(failure.cause()),
            failure.error.to_string(),
        ),
    }
}

async fn start_direct(
    context: &context::Context,
    address: std_net::SocketAddr,
    job: &wire::Job,
) -> Source {
    let engine = upstream::Engine::new(context.pool.clone(), address);
    match engine.start(job).await {
        Ok(response) => {
            let first = Some(wire::Part::Started {
                stamp: context.stamp(),
            });
            Source::Direct {
                response: Box::new(response),
                first,
            }
        }
        Err(wire::Part::Fail {
            outcome,
            reason,
            message,
        }) => {
            let sent = outcome != outcome::Outcome::NotRun;
            Source::Failed(
                [entry::Progress::Failed {
                    outcome,
                    reason,
                    sent,
                    message,
                }]
                .into(),
            )
        }
        Err(_) => failed_source(true, "the upstream did not answer".to_owned()),
    }
}

async fn next_frame(
    reader: &mut net::Reader,
    decoder: &mut wire::Decoder,
) -> Result<Option<wire::Frame>, String> {
    loop {
        if let Some(frame) = decoder.next_frame().map_err(|error| error.to_string())? {
            return Ok(Some(frame));
        }
        match reader.next().await {
            Ok(Some(chunk)) => decoder.push(&chunk),
            Ok(None) => return Ok(None),
            Err(error) => return Err(error.to_string()),
        }
    }
}

fn request_id(id: wire::Id) -> request::Id {
    request::Id::from_u128(id.as_u128())
}

/// Returns the step for a frame of a sidecar.
fn frame_step(frame: wire::Frame) -> Step {
    let stamp = match &frame.part {
        wire::Part::Started { stamp } => Some(stamp.clone()),
        _ => frame.stamp,
    };
    Step {
        stamp,
        ..part_step(frame.part, request_id(frame.job))
    }
}

fn part_step(part: wire::Part, frame_attempt: request::Id) -> Step {
    let (progress, content) = match part {
        wire::Part::Started { .. } => (entry::Progress::Started, Content::Nothing),
        wire::Part::Token { position, text } => (
            entry::Progress::Token {
                frame_attempt,
                position,
            },
            Content::Token(text),
        ),
        wire::Part::Head { status, headers } => (
            entry::Progress::Head(declared_length(&headers)),
            Content::Head(status, headers),
        ),
        wire::Part::Body(bytes) => (
            entry::Progress::Bytes(bytes.len() as u64),
            Content::Body(bytes),
        ),
        wire::Part::End { count } => (
            entry::Progress::Ended {
                frame_attempt,
                count,
            },
            Content::Nothing,
        ),
        wire::Part::Fail {
            outcome,
            reason,
            message,
        } => {
            let sent = outcome != outcome::Outcome::NotRun;
            (
                entry::Progress::Failed {
                    outcome,
                    reason,
                    sent,
                    message,
                },
                Content::Nothing,
            )
        }
    };
    Step {
        progress,
        content,
        stamp: None,
    }
}

fn declared_length(headers: &[(String, String)]) -> Option<u64> {
    let length = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    length.and_then(|(_, value)| value.parse().ok())
}

fn interrupted(message: String) -> entry::Progress {
    entry::Progress::Failed {
        outcome: outcome::Outcome::Unknown,
        reason: outcome::Reason::UpstreamFailed,
        sent: true,
        message,
    }
}

fn failed_source(sent: bool, message: String) -> Source {
    failed_source_for(sent, outcome::Reason::UpstreamFailed, message)
}

fn failed_source_for(sent: bool, reason: outcome::Reason, message: String) -> Source {
    let outcome = if sent {
        outcome::Outcome::Unknown
    } else {
        outcome::Outcome::NotRun
    };
    Source::Failed(
        [entry::Progress::Failed {
            outcome,
            reason,
            sent,
            message,
        }]
        .into(),
    )
}
