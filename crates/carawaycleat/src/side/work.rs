use std::sync;

use carawaycleat_core::outcome;
use carawaycleat_core::request;
use carawaycleat_core::side;
use carawaycleat_core::timeline;
use carawaycleat_net as net;
use carawaycleat_wire as wire;

use super::shared;

/// The bytes of frames that are joined into one write when they are there at the same time.
const JOINED_BYTES: usize = 16 << 10;

/// Answers an entry host.
pub(super) async fn answer(
    shared: sync::Arc<shared::Shared>,
    request: net::Request,
) -> net::Response {
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/work") => work(&shared, &request.body),
        ("POST", "/cancel") => cancel(&shared, &request.body),
        ("GET", "/timeline") => shared.timeline(request.query.as_deref().unwrap_or_default()),
        ("GET", "/metrics") => net::Response::new(200)
            .header("content-type", "text/plain; version=0.0.4")
            .body(shared.metric.render()),
        ("GET", "/healthz") => net::Response::new(200).body("ok"),
        ("GET", "/readyz") if shared.is_ready() => net::Response::new(200).body("ready"),
        ("GET", "/readyz") => net::Response::new(503).body("not ready"),
        _ => net::Response::new(404),
    }
}

/// Takes a job. The answer is a stream of frames in any case, so that a refusal has one form.
fn work(shared: &sync::Arc<shared::Shared>, body: &[u8]) -> net::Response {
    let job: wire::Job = match wire::decode(body) {
        Ok(job) => job,
        Err(error) => {
            shared.metric.refuse(outcome::Reason::InvalidRequest);
            return net::Response::new(400).body(error.to_string());
        }
    };
    shared.receive(&job.stamp);
    let (writer, stream) = net::stream();
    match shared.admit(&job) {
        Ok(()) => shared.spawn(run(shared.clone(), job, writer)),
        Err((reason, outcome)) => {
            shared.note(timeline::Kind::Refused, &job, reason.as_str());
            shared.spawn(refuse(shared.clone(), job.id, reason, outcome, writer));
        }
    }
    net::Response::new(200)
        .header("content-type", "application/octet-stream")
        .stream(stream)
}

async fn refuse(
    shared: sync::Arc<shared::Shared>,
    id: wire::Id,
    reason: outcome::Reason,
    outcome: outcome::Outcome,
    writer: net::Writer,
) {
    let message = format!("the sidecar refused the job: {}", reason.as_str());
    let part = wire::Part::Fail {
        outcome,
        reason,
        message,
    };
    let mut bytes = Vec::new();
    encode(&shared, id, part, &mut bytes);
    if writer.send(bytes).await.is_ok() {
        writer.finish();
    }
}

fn cancel(shared: &sync::Arc<shared::Shared>, body: &[u8]) -> net::Response {
    match wire::decode::<wire::Cancel>(body) {
        Ok(cancel) => {
            shared.cancel(request::Id::from_u128(cancel.id.as_u128()));
            net::Response::new(200).body(wire::encode(&()).unwrap_or_default())
        }
        Err(error) => net::Response::new(400).body(error.to_string()),
    }
}

/// Runs a job and passes its answer on.
async fn run(shared: sync::Arc<shared::Shared>, job: wire::Job, writer: net::Writer) {
    let id = request::Id::from_u128(job.id.as_u128());
    let cancelled = shared.open(id);
    let mut progress = Progress::default();
    let is_whole = {
        let running = forward(&shared, &job, &writer, &mut progress);
        let gone = async {
            let cancel = async {
                let _ = cancelled.recv().await;
            };
            futures_lite::future::or(cancel, writer.closed()).await;
            None
        };
        futures_lite::future::or(running, gone).await.is_some()
    };
    shared.close(id);
    if is_whole {
        writer.finish();
    } else {
        shared.note(timeline::Kind::Cancelled, &job, "");
        shared.engine.cancel(job.id).await;
    }
    let event = side::Event::JobEnded(id.as_u128(), progress.outcome, progress.tokens);
    shared.step(event);
}

/// How far a job is.
struct Progress {
    outcome: outcome::Outcome,
    tokens: u64,
}

impl Default for Progress {
    fn default() -> Self {
        Self {
            outcome: outcome::Outcome::Unknown,
            tokens: 0,
        }
    }
}

impl Progress {
    fn take(&mut self, part: &wire::Part) {
        match part {
            wire::Part::Token { .. } => self.tokens += 1,
            wire::Part::End { .. } => self.outcome = outcome::Outcome::Ran,
            wire::Part::Fail { outcome, .. } => self.outcome = *outcome,
            _ => {}
        }
    }
}

/// Sends the job to the upstream and its answer to the entry host; none when the entry host has gone away.
async fn forward(
    shared: &sync::Arc<shared::Shared>,
    job: &wire::Job,
    writer: &net::Writer,
    progress: &mut Progress,
) -> Option<()> {
    let mut bytes = Vec::new();
    shared.note(timeline::Kind::Started, job, "");
    encode(
        shared,
        job.id,
        wire::Part::Started {
            stamp: shared.stamp(),
        },
        &mut bytes,
    );
    // The entry host must know that the request may run before it can run.
    writer.send(std::mem::take(&mut bytes)).await.ok()?;
    shared.step(side::Event::JobStarted(job.id.as_u128()));
    let mut answer = match shared.engine.start(job).await {
        Ok(answer) => answer,
        Err(part) => {
            progress.take(&part);
            note_end(shared, job, &part);
            encode(shared, job.id, part, &mut bytes);
            return writer.send(bytes).await.ok();
        }
    };
    while let Some(part) = answer.next().await {
        progress.take(&part);
        note_end(shared, job, &part);
        encode(shared, job.id, part, &mut bytes);
        // Parts that have already arrived leave in the same write.
        while bytes.len() < JOINED_BYTES
            && let Some(part) = answer.ready()
        {
            progress.take(&part);
            note_end(shared, job, &part);
            encode(shared, job.id, part, &mut bytes);
        }
        writer.send(std::mem::take(&mut bytes)).await.ok()?;
    }
    Some(())
}

/// Notes the end of an answer in the timeline.
fn note_end(shared: &shared::Shared, job: &wire::Job, part: &wire::Part) {
    match part {
        wire::Part::End { .. } => shared.note(timeline::Kind::Finished, job, ""),
        wire::Part::Fail { reason, .. } => {
            shared.note(timeline::Kind::Failed, job, reason.as_str());
        }
        _ => {}
    }
}

fn encode(shared: &shared::Shared, id: wire::Id, part: wire::Part, bytes: &mut Vec<u8>) {
    let is_last = matches!(part, wire::Part::End { .. } | wire::Part::Fail { .. });
    let mut frame = wire::Frame::new(id, part);
    if is_last {
        // What the entry host notes about the end comes after what is noted here, whatever the clocks show.
        frame = frame.with_stamp(shared.stamp());
    }
    if let Err(error) = wire::encode_frame(&frame, bytes) {
        // A part of a body is far below the limit of a frame; a token that is not would be a fault of the engine.
        let part = wire::Part::Fail {
            outcome: outcome::Outcome::Unknown,
            reason: outcome::Reason::UpstreamIncomplete,
            message: error.to_string(),
        };
        let frame = wire::Frame::new(id, part).with_stamp(shared.stamp());
        let _ = wire::encode_frame(&frame, bytes);
    }
}
