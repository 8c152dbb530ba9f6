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

use super::shared;
use crate::upstream;

/// The time allowed until a sidecar begins to answer.
const SIDE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// One attempt at a request, through a sidecar or straight at the upstream.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) id: request::Id,
    source: Source,
}

enum Source {
    /// The head of the answer has not arrived.
    Starting(Starting),
    Side {
        reader: net::Reader,
        decoder: wire::Decoder,
        is_cut: bool,
    },
    Direct {
        answer: Box<upstream::Response>,
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

/// A step of an attempt: what the reducer hears of it, and what the caller gets if the reducer agrees.
#[derive(Debug)]
pub(super) struct Step {
    pub(super) progress: entry::Progress,
    pub(super) content: Content,
    /// The sidecar's logical time, where it is known.
    pub(super) stamp: Option<clock::Stamp>,
}

/// What a step brings for the caller.
#[derive(Debug)]
pub(super) enum Content {
    Nothing,
    Token(String),
    Head(u16, Vec<(String, String)>),
    Body(Vec<u8>),
}

impl Attempt {
    /// Returns an attempt to run `job` at the upstream `name`. It starts when its first step is waited for, so that an
    /// order to give it up is heard meanwhile.
    pub(super) fn new(
        shared: &sync::Arc<shared::Shared>,
        name: &name::Name,
        id: request::Id,
        job: wire::Job,
    ) -> Self {
        let addresses = addresses(shared, name);
        let shared = shared.clone();
        let starting = async move {
            match addresses {
                Some((_, Some(side))) => start_side(&shared, side, &job).await,
                Some((address, None)) => start_direct(&shared, address, &job).await,
                None => failed(false, "the upstream is no longer configured".to_owned()),
            }
        };
        Self {
            id,
            source: Source::Starting(Box::pin(starting)),
        }
    }

    /// Waits for the next step; none when the attempt has ended.
    pub(super) async fn next(&mut self) -> Option<Step> {
        if let Source::Starting(starting) = &mut self.source {
            self.source = starting.await;
        }
        match &mut self.source {
            Source::Side {
                reader,
                decoder,
                is_cut,
            } => {
                let progress = match next_frame(reader, decoder).await {
                    Ok(Some(frame)) => return Some(received(frame)),
                    Ok(None) if *is_cut => return None,
                    Ok(None) => broken("the sidecar ended the answer early".to_owned()),
                    Err(message) if *is_cut => {
                        drop(message);
                        return None;
                    }
                    Err(message) => broken(message),
                };
                *is_cut = true;
                Some(Step {
                    progress,
                    content: Content::Nothing,
                    stamp: None,
                })
            }
            Source::Direct { answer, first } => {
                let part = match first.take() {
                    Some(part) => part,
                    None => answer.next().await?,
                };
                Some(step(part, self.id))
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

    /// Returns the next step if it has already been received.
    pub(super) fn ready(&mut self) -> Option<Step> {
        match &mut self.source {
            Source::Side { decoder, .. } => {
                let frame = decoder.next_frame().ok()??;
                Some(received(frame))
            }
            Source::Direct {
                answer,
                first: None,
            } => Some(step(answer.try_next()?, self.id)),
            Source::Starting(_) | Source::Direct { .. } | Source::Failed(_) => None,
        }
    }
}

/// Returns the address of the sidecar beside an upstream.
pub(super) fn side_address(
    shared: &shared::Shared,
    name: &name::Name,
) -> Option<std_net::SocketAddr> {
    addresses(shared, name)?.1
}

fn addresses(
    shared: &shared::Shared,
    name: &name::Name,
) -> Option<(std_net::SocketAddr, Option<std_net::SocketAddr>)> {
    shared.with(|reducer, _| {
        let found = reducer.configuration().snapshot().upstream(name)?;
        Some((found.address, found.side_address))
    })
}

async fn start_side(
    shared: &shared::Shared,
    address: std_net::SocketAddr,
    job: &wire::Job,
) -> Source {
    let body = match wire::encode(job) {
        Ok(body) => body,
        Err(error) => return failed(false, error.to_string()),
    };
    let request = net::Request::new("POST", "/work").body(body);
    match shared.pool.send(address, request, SIDE_TIMEOUT).await {
        Ok(reply) if reply.status == 200 => Source::Side {
            reader: reply.body,
            decoder: wire::Decoder::default(),
            is_cut: false,
        },
        // The sidecar's HTTP server refuses a request before its handler runs, and its handler always answers with 200.
        Ok(reply) => failed(
            false,
            format!("the sidecar answered with status {}", reply.status),
        ),
        Err(failure) => failed(failure.sent, failure.error.to_string()),
    }
}

async fn start_direct(
    shared: &shared::Shared,
    address: std_net::SocketAddr,
    job: &wire::Job,
) -> Source {
    let engine = upstream::Engine::new(shared.pool.clone(), address);
    match engine.start(job).await {
        Ok(answer) => {
            let first = Some(wire::Part::Started {
                stamp: shared.stamp(),
            });
            Source::Direct {
                answer: Box::new(answer),
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
        Err(_) => failed(true, "the upstream did not answer".to_owned()),
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
            Ok(Some(piece)) => decoder.push(&piece),
            Ok(None) => return Ok(None),
            Err(error) => return Err(error.to_string()),
        }
    }
}

fn id_of(id: wire::Id) -> request::Id {
    request::Id::from_u128(id.as_u128())
}

/// Returns the step that a frame of a sidecar brings.
fn received(frame: wire::Frame) -> Step {
    let stamp = match &frame.part {
        wire::Part::Started { stamp } => Some(stamp.clone()),
        _ => frame.stamp,
    };
    Step {
        stamp,
        ..step(frame.part, id_of(frame.job))
    }
}

fn step(part: wire::Part, frame_attempt: request::Id) -> Step {
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

fn broken(message: String) -> entry::Progress {
    entry::Progress::Failed {
        outcome: outcome::Outcome::Unknown,
        reason: outcome::Reason::UpstreamFailed,
        sent: true,
        message,
    }
}

fn failed(sent: bool, message: String) -> Source {
    let outcome = if sent {
        outcome::Outcome::Unknown
    } else {
        outcome::Outcome::NotRun
    };
    let reason = outcome::Reason::UpstreamFailed;
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
