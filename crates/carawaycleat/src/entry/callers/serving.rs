use std::sync;
use std::time;

use carawaycleat_core::entry;
use carawaycleat_core::request;
use carawaycleat_core::resource;
use carawaycleat_net as net;
use carawaycleat_wire as wire;

use super::intake;
use super::shared;
use super::sink;
use crate::api;
use crate::entry::attempt;
use crate::entry::claims;
use crate::entry::mailbox;

/// The bytes of events that are joined into one write when they are there at the same time.
const JOINED_BYTES: usize = 16 << 10;

/// A request while it is served.
struct Serving {
    shared: sync::Arc<shared::Shared>,
    intake: intake::Intake,
    messages: mailbox::Receiver,
    attempt: Option<attempt::Attempt>,
    sink: sink::Sink,
    /// The text that the caller already has, to resume from.
    text: String,
    arrived: time::Instant,
    /// Whether the request was sent to an upstream without waiting, and its added latency is still to be measured.
    is_immediate: bool,
    last_token: Option<time::Instant>,
    ended: bool,
}

/// What happened while a request was served.
enum Happened {
    /// There are bytes for the caller.
    Content,
    /// The answer is complete.
    Finished,
    /// The request has failed.
    Refused(api::Refusal),
}

/// Serves a request from its arrival to the end of its answer.
pub(super) async fn serve(
    shared: sync::Arc<shared::Shared>,
    intake: intake::Intake,
    arrived: time::Instant,
) -> net::Response {
    let id = intake.arrival.id;
    let mut serving = Serving {
        messages: shared.open_mailbox(id),
        sink: sink::Sink::new(intake.call.as_ref(), wire::Id::from_u128(id.as_u128())),
        attempt: None,
        text: String::new(),
        arrived,
        is_immediate: false,
        last_token: None,
        ended: false,
        shared,
        intake,
    };
    let arrival = serving.intake.arrival.clone();
    serving
        .shared
        .step(entry::Event::Arrived(Box::new(arrival)));
    // What the reducer decided at once is already in the mailbox.
    serving.is_immediate = !serving.messages.is_empty();
    serving.answer().await
}

impl Serving {
    async fn answer(mut self) -> net::Response {
        let mut body = Vec::new();
        loop {
            match self.next(&mut body).await {
                Happened::Content if self.sink.is_streamed() => break,
                Happened::Content => {}
                Happened::Finished if self.sink.is_streamed() => {
                    return self.sink.head().body(body);
                }
                Happened::Finished => {
                    return net::Response::new(200)
                        .header("content-type", "application/json")
                        .body(body);
                }
                Happened::Refused(refusal) => return refusal.to_response(),
            }
        }
        let mut opening = Vec::new();
        self.sink.open(&mut opening);
        opening.append(&mut body);
        let (writer, stream) = net::stream();
        let response = self.sink.head().stream(stream);
        let shared = self.shared.clone();
        shared.tasks.spawn_uncancelled(self.stream(writer, opening));
        response
    }

    /// Passes the rest of the answer on as it arrives.
    async fn stream(mut self, writer: net::Writer, mut body: Vec<u8>) {
        loop {
            if !body.is_empty() && writer.send(std::mem::take(&mut body)).await.is_err() {
                return;
            }
            let closed = async {
                writer.closed().await;
                None
            };
            let next = async { Some(self.next(&mut body).await) };
            match futures_lite::future::or(next, closed).await {
                Some(Happened::Content) => {}
                Some(Happened::Finished) => {
                    if writer.send(body).await.is_ok() {
                        writer.finish();
                    }
                    return;
                }
                Some(Happened::Refused(refusal)) => {
                    self.shared.metric.streams_cut.inc();
                    self.sink.fail(&refusal, &mut body);
                    // Events have a way to say that the answer is incomplete. The body of a service has none, so that
                    // its connection is cut by dropping the writer.
                    if !body.is_empty() && writer.send(body).await.is_ok() {
                        writer.finish();
                    }
                    return;
                }
                None => return,
            }
        }
    }

    /// Waits until there is something for the caller, and appends it to `body`.
    async fn next(&mut self, body: &mut Vec<u8>) -> Happened {
        loop {
            // Messages come first: the end of a request overrides what an attempt still brings.
            let message = match self.messages.try_recv() {
                Ok(message) => Some(message),
                Err(_) => match &mut self.attempt {
                    None => self.messages.recv().await.ok(),
                    Some(attempt) => {
                        let message = async { Incoming::Message(self.messages.recv().await.ok()) };
                        let step = async { Incoming::Step(attempt.next().await) };
                        match futures_lite::future::or(message, step).await {
                            Incoming::Message(message) => message,
                            Incoming::Step(Some(step)) => {
                                if self.take(step, body) {
                                    self.take_ready(body);
                                    return Happened::Content;
                                }
                                continue;
                            }
                            Incoming::Step(None) => {
                                self.attempt = None;
                                continue;
                            }
                        }
                    }
                },
            };
            match message {
                Some(mailbox::Message::Claim(key)) => self.claim(key).await,
                Some(mailbox::Message::Dispatch(dispatch)) => self.dispatch(&dispatch),
                Some(mailbox::Message::Finish(count)) => {
                    self.ended = true;
                    self.sink.close(count, body);
                    return Happened::Finished;
                }
                Some(mailbox::Message::Refuse(refusal)) => {
                    self.ended = true;
                    return Happened::Refused(refusal.into());
                }
                None => unreachable!("the mailbox is open until the request has ended"),
            }
        }
    }

    /// Takes the steps that have already arrived, so that they leave in one write.
    fn take_ready(&mut self, body: &mut Vec<u8>) {
        while body.len() < JOINED_BYTES && self.messages.is_empty() {
            let Some(step) = self.attempt.as_mut().and_then(attempt::Attempt::ready) else {
                return;
            };
            self.take(step, body);
        }
    }

    /// Gives a step to the reducer, and returns whether it brought something for the caller.
    fn take(&mut self, step: attempt::Step, body: &mut Vec<u8>) -> bool {
        let Some(attempt) = &self.attempt else {
            return false;
        };
        if let Some(stamp) = &step.stamp {
            self.shared.receive(stamp);
        }
        // The sidecar accepts a job before it talks to the upstream, whose time is not the system's.
        if step.progress == entry::Progress::Started && std::mem::take(&mut self.is_immediate) {
            let span = self.arrived.elapsed();
            self.shared.metric.added_latency.observe(span.as_secs_f64());
        }
        let event = entry::Event::Attempt(attempt.id, step.progress);
        let is_delivered = self.shared.step_for(Some(self.intake.arrival.id), event);
        if !is_delivered {
            return false;
        }
        match step.content {
            attempt::Content::Nothing => false,
            attempt::Content::Token(text) => {
                self.measure();
                self.sink.token(&text, body);
                self.text.push_str(&text);
                true
            }
            attempt::Content::Head(status, headers) => {
                self.sink = sink::Sink::Raw { status, headers };
                true
            }
            attempt::Content::Body(bytes) => {
                body.extend(bytes);
                true
            }
        }
    }

    fn measure(&mut self) {
        let now = time::Instant::now();
        match self.last_token.replace(now) {
            None => {
                let span = now.duration_since(self.arrived);
                self.shared.metric.first_token.observe(span.as_secs_f64());
            }
            Some(last) => {
                self.shared
                    .metric
                    .token_gap
                    .observe(now.duration_since(last).as_secs_f64());
            }
        }
    }

    async fn claim(&mut self, key: String) {
        self.is_immediate = false;
        let request = self.id();
        let result = claims::record(&self.shared, request, &key).await;
        self.shared
            .step(entry::Event::ClaimResolved(request, result));
    }

    fn dispatch(&mut self, dispatch: &mailbox::Dispatch) {
        let job = self.job(dispatch);
        let attempt =
            attempt::Attempt::new(&self.shared, &dispatch.upstream, dispatch.attempt, job);
        self.attempt = Some(attempt);
    }

    fn job(&self, dispatch: &mailbox::Dispatch) -> wire::Job {
        let arrival = &self.intake.arrival;
        let left = self.intake.timeout.saturating_sub(self.arrived.elapsed());
        let claim = arrival
            .idempotency_key
            .as_ref()
            .filter(|_| !dispatch.idempotent);
        let workspace = dispatch.workspace.as_deref().unwrap_or_default();
        wire::Job {
            id: wire::Id::from_u128(dispatch.attempt.as_u128()),
            request: wire::Id::from_u128(self.id().as_u128()),
            stamp: self.shared.stamp(),
            host: self.shared.host().clone(),
            incarnation: self.shared.member.incarnation,
            sent_us: self.shared.now().as_micros(),
            workspace: dispatch.workspace.clone(),
            model: arrival.model.clone(),
            adapter: arrival.adapter.clone(),
            priority: arrival.class.priority(),
            idempotent: dispatch.idempotent,
            claim: claim.map(|key| format!("{workspace}/{key}")),
            method: arrival.method.clone(),
            path: self.intake.path.clone(),
            headers: self.intake.headers.clone(),
            body: self.intake.body.clone(),
            resume_at: dispatch.position,
            resume_text: if self.is_model() {
                self.text.clone()
            } else {
                String::new()
            },
            timeout_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1),
        }
    }

    fn is_model(&self) -> bool {
        self.intake.target == resource::Target::Models
    }

    fn id(&self) -> request::Id {
        self.intake.arrival.id
    }
}

enum Incoming {
    Message(Option<mailbox::Message>),
    Step(Option<attempt::Step>),
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.shared.close_mailbox(self.id());
        if !self.ended {
            self.shared
                .step(entry::Event::CallerDisconnected(self.id()));
        }
    }
}
