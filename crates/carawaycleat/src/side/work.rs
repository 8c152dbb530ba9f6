use std::sync;

use carawaycleat_core::outcome;
use carawaycleat_core::request;
use carawaycleat_core::side;
use carawaycleat_core::timeline;
use carawaycleat_net as net;
use carawaycleat_wire as wire;

use super::context;

/// The size of a write, in bytes, from which no further frames are added to it.
const WRITE_BATCH_BYTES: usize = 16 << 10;

/// Handles a request to the sidecar.
pub(super) async fn handle(
    context: sync::Arc<context::Context>,
    request: net::Request,
) -> net::Response {
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/work") => work(&context, &request.body),
        ("POST", "/cancel") => cancel(&context, &request.body),
        ("GET", "/timeline") => context.timeline(request.query.as_deref().unwrap_or_default()),
        ("GET", "/metrics") => net::Response::new(200)
            .header("content-type", "text/plain; version=0.0.4")
            .body(context.metric.render()),
        ("GET", "/healthz") => net::Response::new(200).body("ok"),
        ("GET", "/readyz") if context.is_ready() => net::Response::new(200).body("ready"),
        ("GET", "/readyz") => net::Response::new(503).body("not ready"),
        _ => net::Response::new(404),
    }
}

/// Admits or refuses a job. The response is a stream of frames in both cases, so that refusals have a single form.
fn work(context: &sync::Arc<context::Context>, body: &[u8]) -> net::Response {
    let job: wire::Job = match wire::decode(body) {
        Ok(job) => job,
        Err(error) => {
            context
                .metric
                .count_refusal(outcome::Reason::InvalidRequest);
            return net::Response::new(400).body(error.to_string());
        }
    };
    context.receive_stamp(&job.stamp);
    let (writer, stream) = net::stream();
    match context.admit(&job) {
        Ok(()) => context.spawn(run(context.clone(), job, writer)),
        Err((reason, outcome)) => {
            context.record_job(timeline::Kind::Refused, &job, reason.as_str());
            context.spawn(refuse(context.clone(), job.id, reason, outcome, writer));
        }
    }
    net::Response::new(200)
        .header("content-type", "application/octet-stream")
        .stream(stream)
}

async fn refuse(
    context: sync::Arc<context::Context>,
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
    encode(&context, id, part, &mut bytes);
    if writer.send(bytes).await.is_ok() {
        writer.finish();
    }
}

fn cancel(context: &sync::Arc<context::Context>, body: &[u8]) -> net::Response {
    match wire::decode::<wire::Cancel>(body) {
        Ok(cancel) => {
            context.cancel_job(request::Id::from_u128(cancel.id.as_u128()));
            net::Response::new(200).body(wire::encode(&()).unwrap_or_default())
        }
        Err(error) => net::Response::new(400).body(error.to_string()),
    }
}

/// Runs a job and forwards its response to the entry host.
async fn run(context: sync::Arc<context::Context>, job: wire::Job, writer: net::Writer) {
    let id = request::Id::from_u128(job.id.as_u128());
    let cancelled = context.register_job(id);
    let mut progress = Progress::default();
    let is_complete = {
        let running = forward(&context, &job, &writer, &mut progress);
        let cancelled_or_disconnected = async {
            let cancel = async {
                let _ = cancelled.recv().await;
            };
            futures_lite::future::or(cancel, writer.closed()).await;
            None
        };
        futures_lite::future::or(running, cancelled_or_disconnected)
            .await
            .is_some()
    };
    context.remove_job(id);
    if is_complete {
        writer.finish();
    } else {
        context.record_job(timeline::Kind::Cancelled, &job, "");
        context.engine.cancel(job.id).await;
    }
    let event = side::Event::JobEnded(id.as_u128(), progress.outcome, progress.tokens);
    context.step(event);
}

/// The progress of a job, passed to the reducer when the job ends.
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
    fn record(&mut self, part: &wire::Part) {
        match part {
            wire::Part::Token { .. } => self.tokens += 1,
            wire::Part::End { .. } => self.outcome = outcome::Outcome::Ran,
            wire::Part::Fail { outcome, .. } => self.outcome = *outcome,
            _ => {}
        }
    }
}

/// Sends the job to the upstream and its response to the entry host. Returns none when the entry host has disconnected.
async fn forward(
    context: &sync::Arc<context::Context>,
    job: &wire::Job,
    writer: &net::Writer,
    progress: &mut Progress,
) -> Option<()> {
    let mut bytes = Vec::new();
    context.record_job(timeline::Kind::Started, job, "");
    encode(
        context,
        job.id,
        wire::Part::Started {
            stamp: context.stamp(),
        },
        &mut bytes,
    );
    // The entry host must know that the request may run, before the upstream can run it.
    writer.send(std::mem::take(&mut bytes)).await.ok()?;
    context.step(side::Event::JobStarted(job.id.as_u128()));
    let mut response = match context.engine.start(job).await {
        Ok(response) => response,
        Err(part) => {
            progress.record(&part);
            record_end(context, job, &part);
            encode(context, job.id, part, &mut bytes);
            return writer.send(bytes).await.ok();
        }
    };
    while let Some(part) = response.next().await {
        progress.record(&part);
        record_end(context, job, &part);
        encode(context, job.id, part, &mut bytes);
        // Parts that have already arrived are sent in the same write.
        while bytes.len() < WRITE_BATCH_BYTES
            && let Some(part) = response.try_next()
        {
            progress.record(&part);
            record_end(context, job, &part);
            encode(context, job.id, part, &mut bytes);
        }
        writer.send(std::mem::take(&mut bytes)).await.ok()?;
    }
    Some(())
}

/// Records the end of a response in the timeline.
fn record_end(context: &context::Context, job: &wire::Job, part: &wire::Part) {
    match part {
        wire::Part::End { .. } => context.record_job(timeline::Kind::Finished, job, ""),
        wire::Part::Fail { reason, .. } => {
            context.record_job(timeline::Kind::Failed, job, reason.as_str());
        }
        _ => {}
    }
}

fn encode(context: &context::Context, id: wire::Id, part: wire::Part, bytes: &mut Vec<u8>) {
    let is_last = matches!(part, wire::Part::End { .. } | wire::Part::Fail { .. });
    let mut frame = wire::Frame::new(id, part);
    if is_last {
        // The stamp orders the entry host's timeline events about the end after those of the sidecar, even if the wall
        // clocks differ.
        frame = frame.with_stamp(context.stamp());
    }
    if let Err(error) = wire::encode_frame(&frame, bytes) {
        // Parts of a body are far smaller than the limit of a frame; a token that exceeds it is a fault of the engine.
        let part = wire::Part::Fail {
            outcome: outcome::Outcome::Unknown,
            reason: outcome::Reason::UpstreamIncomplete,
            message: error.to_string(),
        };
        let frame = wire::Frame::new(id, part).with_stamp(context.stamp());
        let _ = wire::encode_frame(&frame, bytes);
    }
}
