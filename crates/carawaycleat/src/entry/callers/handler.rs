use std::sync;
use std::time;

use carawaycleat_core::entry;
use carawaycleat_core::request;
use carawaycleat_core::resource;
use carawaycleat_net as net;
use carawaycleat_wire as wire;

use super::context;
use super::inbound;
use super::sink;
use crate::api;
use crate::entry::attempt;
use crate::entry::claims;
use crate::entry::mailbox;

/// The size from which on no further received steps are added to a write, in bytes.
const MAX_COALESCED_BYTES: usize = 16 << 10;

/// Serves one request of a caller.
struct Handler {
    context: sync::Arc<context::Context>,
    inbound: inbound::Request,
    messages: mailbox::Receiver,
    /// The latest attempt.
    attempt: Option<attempt::Attempt>,
    /// The attempt before the latest one, while both run.
    earlier: Option<attempt::Attempt>,
    sink: sink::Sink,
    /// The text delivered to the caller so far, from which another attempt resumes.
    text: String,
    received_at: time::Instant,
    /// Whether the reducer decided on the request without delay and its added latency is not yet observed.
    is_immediate: bool,
    last_token_at: Option<time::Instant>,
    has_ended: bool,
}

/// The next output for the caller.
enum Output {
    /// A part of the response is available.
    Content,
    /// The response is complete.
    Finished,
    /// The request has failed.
    Refused(api::Refusal),
}

/// Serves a request until its response is complete or, for a streamed response, has begun.
pub(super) async fn handle(
    context: sync::Arc<context::Context>,
    inbound: inbound::Request,
    received_at: time::Instant,
) -> net::Response {
    let id = inbound.request.id;
    let mut handler = Handler {
        messages: context.open_mailbox(id),
        sink: sink::Sink::new(inbound.call.as_ref(), wire::Id::from_u128(id.as_u128())),
        attempt: None,
        earlier: None,
        text: String::new(),
        received_at,
        is_immediate: false,
        last_token_at: None,
        has_ended: false,
        context,
        inbound,
    };
    let request = handler.inbound.request.clone();
    handler
        .context
        .step(entry::Event::Arrived(Box::new(request)));
    // A decision that the reducer made without delay is already in the mailbox.
    handler.is_immediate = !handler.messages.is_empty();
    handler.respond().await
}

impl Handler {
    async fn respond(mut self) -> net::Response {
        let mut body = Vec::new();
        loop {
            match self.next(&mut body).await {
                Output::Content if self.sink.is_streamed() => break,
                Output::Content => {}
                Output::Finished if self.sink.is_streamed() => {
                    return self.sink.head().body(body);
                }
                Output::Finished => {
                    return net::Response::new(200)
                        .header("content-type", "application/json")
                        .body(body);
                }
                Output::Refused(refusal) => return refusal.to_response(),
            }
        }
        let mut first_write = Vec::new();
        self.sink.open(&mut first_write);
        first_write.append(&mut body);
        let (writer, stream) = net::stream();
        let response = self.sink.head().stream(stream);
        let context = self.context.clone();
        context
            .tasks
            .spawn_uncancelled(self.stream(writer, first_write));
        response
    }

    /// Forwards the rest of a streamed response as it arrives.
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
                Some(Output::Content) => {}
                Some(Output::Finished) => {
                    if writer.send(body).await.is_ok() {
                        writer.finish();
                    }
                    return;
                }
                Some(Output::Refused(refusal)) => {
                    self.context.metric.streams_cut.inc();
                    self.sink.fail(&refusal, &mut body);
                    // A stream of events can report that the response is incomplete. The body of a service cannot, so
                    // its connection is closed by dropping the writer.
                    if !body.is_empty() && writer.send(body).await.is_ok() {
                        writer.finish();
                    }
                    return;
                }
                None => return,
            }
        }
    }

    /// Waits for the next output for the caller and appends its bytes to `body`.
    async fn next(&mut self, body: &mut Vec<u8>) -> Output {
        loop {
            // Messages take precedence: the end of a request overrides further steps of its attempt.
            let message = match self.messages.try_recv() {
                Ok(message) => Some(message),
                Err(_) => {
                    let message = async { Incoming::Message(self.messages.recv().await.ok()) };
                    let steps = futures_lite::future::or(
                        next_step(&mut self.attempt),
                        next_step(&mut self.earlier),
                    );
                    let step = async {
                        let (attempt, step) = steps.await;
                        Incoming::Step(attempt, step)
                    };
                    match futures_lite::future::or(message, step).await {
                        Incoming::Message(message) => message,
                        Incoming::Step(attempt, Some(step)) => {
                            if self.apply(attempt, step, body) {
                                self.apply_received(attempt, body);
                                return Output::Content;
                            }
                            continue;
                        }
                        Incoming::Step(attempt, None) => {
                            self.remove(attempt);
                            continue;
                        }
                    }
                }
            };
            match message {
                Some(mailbox::Message::Claim(key)) => self.claim(key).await,
                Some(mailbox::Message::Dispatch(dispatch)) => self.dispatch(&dispatch),
                Some(mailbox::Message::Cancel(attempt)) => self.remove(attempt),
                Some(mailbox::Message::Finish(count)) => {
                    self.has_ended = true;
                    self.sink.close(count, body);
                    return Output::Finished;
                }
                Some(mailbox::Message::Refuse(refusal)) => {
                    self.has_ended = true;
                    return Output::Refused(refusal.into());
                }
                None => unreachable!("the mailbox is open until the request has ended"),
            }
        }
    }

    /// Applies the steps that have already been received, so that their content is sent in one write.
    fn apply_received(&mut self, id: request::Id, body: &mut Vec<u8>) {
        while body.len() < MAX_COALESCED_BYTES && self.messages.is_empty() {
            let mut running = self.attempt.iter_mut().chain(&mut self.earlier);
            let running = running.find(|attempt| attempt.id == id);
            let Some(step) = running.and_then(attempt::Attempt::next_received) else {
                return;
            };
            self.apply(id, step, body);
        }
    }

    /// Passes a step to the reducer and returns whether it has content for the caller.
    fn apply(&mut self, attempt: request::Id, step: attempt::Step, body: &mut Vec<u8>) -> bool {
        if let Some(stamp) = &step.stamp {
            self.context.receive(stamp);
        }
        // The sidecar accepts a job before it contacts the upstream, so the added latency excludes the upstream's time.
        if step.progress == entry::Progress::Started && std::mem::take(&mut self.is_immediate) {
            let elapsed = self.received_at.elapsed();
            self.context
                .metric
                .added_latency
                .observe(elapsed.as_secs_f64());
        }
        if matches!(step.progress, entry::Progress::Failed { .. }) {
            self.remove(attempt);
        }
        let event = entry::Event::Attempt(attempt, step.progress);
        let is_delivered = self.context.step_for(Some(self.inbound.request.id), event);
        if !is_delivered {
            return false;
        }
        match step.content {
            attempt::Content::Nothing => false,
            attempt::Content::Token(text) => {
                self.observe_token_latency();
                self.sink.push_token(&text, body);
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

    fn observe_token_latency(&mut self) {
        let now = time::Instant::now();
        match self.last_token_at.replace(now) {
            None => {
                let elapsed = now.duration_since(self.received_at);
                self.context
                    .metric
                    .first_token
                    .observe(elapsed.as_secs_f64());
            }
            Some(last) => {
                self.context
                    .metric
                    .token_gap
                    .observe(now.duration_since(last).as_secs_f64());
            }
        }
    }

    async fn claim(&mut self, key: String) {
        self.is_immediate = false;
        let request = self.id();
        let result = claims::record(&self.context, request, &key).await;
        self.context
            .step(entry::Event::ClaimResolved(request, result));
    }

    fn dispatch(&mut self, dispatch: &mailbox::Dispatch) {
        let job = self.job(dispatch);
        let attempt =
            attempt::Attempt::new(&self.context, &dispatch.upstream, dispatch.attempt, job);
        // The reducer cancels what is not to go on beside the new attempt.
        if let Some(latest) = self.attempt.replace(attempt) {
            self.earlier = Some(latest);
        }
    }

    /// Closes the connection of an attempt.
    fn remove(&mut self, id: request::Id) {
        self.attempt.take_if(|attempt| attempt.id == id);
        self.earlier.take_if(|attempt| attempt.id == id);
    }

    fn job(&self, dispatch: &mailbox::Dispatch) -> wire::Job {
        let request = &self.inbound.request;
        let remaining = self
            .inbound
            .timeout
            .saturating_sub(self.received_at.elapsed());
        let claim = request
            .idempotency_key
            .as_ref()
            .filter(|_| !dispatch.idempotent);
        let workspace = dispatch.workspace.as_deref().unwrap_or_default();
        wire::Job {
            id: wire::Id::from_u128(dispatch.attempt.as_u128()),
            request: wire::Id::from_u128(self.id().as_u128()),
            stamp: self.context.stamp(),
            host: self.context.host().clone(),
            incarnation: self.context.member.incarnation,
            sent_us: self.context.now().as_micros(),
            workspace: dispatch.workspace.clone(),
            model: request.model.clone(),
            adapter: request.adapter.clone(),
            priority: request.class.priority(),
            idempotent: dispatch.idempotent,
            claim: claim.map(|key| format!("{workspace}/{key}")),
            method: request.method.clone(),
            path: self.inbound.path.clone(),
            headers: self.inbound.headers.clone(),
            body: self.inbound.body.clone(),
            resume_at: dispatch.position,
            resume_text: if self.targets_models() {
                self.text.clone()
            } else {
                String::new()
            },
            timeout_ms: u64::try_from(remaining.as_millis())
                .unwrap_or(u64::MAX)
                .max(1),
        }
    }

    fn targets_models(&self) -> bool {
        self.inbound.target == resource::Target::Models
    }

    fn id(&self) -> request::Id {
        self.inbound.request.id
    }
}

enum Incoming {
    Message(Option<mailbox::Message>),
    Step(request::Id, Option<attempt::Step>),
}

/// Waits for the next step of an attempt, for ever without one.
async fn next_step(attempt: &mut Option<attempt::Attempt>) -> (request::Id, Option<attempt::Step>) {
    match attempt {
        Some(attempt) => (attempt.id, attempt.next().await),
        None => std::future::pending().await,
    }
}

impl Drop for Handler {
    fn drop(&mut self) {
        self.context.close_mailbox(self.id());
        if !self.has_ended {
            self.context
                .step(entry::Event::CallerDisconnected(self.id()));
        }
    }
}
