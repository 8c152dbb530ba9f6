use std::net;
use std::sync;
use std::time;

use carawaycleat_net as http;

use super::arrival;
use super::bucket;
use super::plan;
use super::prompt;
use super::sample;
use super::workspace;
use crate::engine;
use crate::service;

// Answers of services and errors are short.
const MAX_BODY_BYTES: usize = 1 << 20;
const DONE: &str = "[DONE]";

/// Sends requests and watches their answers.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    plan: sync::Arc<plan::Plan>,
    pool: http::Pool,
    origin: time::Instant,
    /// Tells the requests of this run from those of others in the records of a service.
    run: u64,
}

/// What a caller has seen of a request.
#[derive(Debug)]
pub(super) struct Seen {
    pub(super) sample: sample::Sample,
    pub(super) started: time::Duration,
    pub(super) gaps: Vec<time::Duration>,
    /// The id of a request to a service.
    pub(super) id: Option<String>,
}

#[derive(serde::Serialize)]
struct Body<'a> {
    model: &'a str,
    messages: [engine::Message; 1],
    max_tokens: u32,
    stream: bool,
}

#[derive(serde::Deserialize)]
struct Failure {
    error: Detail,
}

#[derive(serde::Deserialize)]
struct Detail {
    code: serde_json::Value,
    #[serde(default)]
    outcome: String,
}

impl Caller {
    pub(super) fn new(plan: sync::Arc<plan::Plan>, origin: time::Instant, run: u64) -> Self {
        let pool = http::Pool::default();
        Self {
            plan,
            pool,
            origin,
            run,
        }
    }

    fn now(&self) -> time::Duration {
        self.origin.elapsed()
    }

    /// Sends the request of `arrival` to `address` and returns how it went.
    pub(super) async fn send(&self, address: net::SocketAddr, arrival: &arrival::Arrival) -> Seen {
        let mut seen = self.start(arrival);
        let deadline = arrival.at + time::Duration::from_secs_f64(self.plan.timeout_s);
        let expired = async {
            let left = deadline.saturating_sub(self.now());
            async_io::Timer::after(left).await;
            sample::Ending::Cut
        };
        let exchange = self.exchange(address, arrival, &mut seen);
        let ending = futures_lite::future::or(exchange, expired).await;
        let sample = &mut seen.sample;
        sample.end = self.now();
        sample.used = match (&ending, &arrival.job) {
            (sample::Ending::Refused { .. }, _) => 0,
            // Without the head of an answer, the request may not have been admitted.
            (sample::Ending::Cut, _) if sample.head.is_none() => 0,
            (_, arrival::Job::Chat { prompt, .. }) => {
                prompt::counted(prompt) + u64::from(sample.tokens)
            }
            (_, arrival::Job::Booking { .. }) => sample.reserved,
        };
        sample.ending = ending;
        seen
    }

    fn start(&self, arrival: &arrival::Arrival) -> Seen {
        let started = self.now();
        let (class, reserved, id) = match &arrival.job {
            arrival::Job::Chat {
                class,
                prompt,
                max_tokens,
                ..
            } => (
                *class,
                prompt::counted(prompt) + u64::from(*max_tokens),
                None,
            ),
            arrival::Job::Booking { booking, .. } => {
                let booking = &self.plan.workspaces[arrival.workspace].bookings[*booking];
                // What a safe method asks for may be run twice.
                let id = (!booking.method.is_safe()).then(|| self.id(arrival));
                (workspace::Class::Short, cost(booking), id)
            }
        };
        let sample = sample::Sample {
            at: arrival.at,
            workspace: arrival.workspace,
            class,
            reserved,
            used: 0,
            head: None,
            first: None,
            last: None,
            tokens: 0,
            end: started,
            ending: sample::Ending::Cut,
        };
        Seen {
            sample,
            started,
            gaps: Vec::new(),
            id,
        }
    }

    async fn exchange(
        &self,
        address: net::SocketAddr,
        arrival: &arrival::Arrival,
        seen: &mut Seen,
    ) -> sample::Ending {
        let request = self.request(arrival);
        let expected = service::expected(&request.method, &request.target(), &request.body);
        // The caller of this function ends it in time.
        let limit = time::Duration::from_secs_f64(self.plan.timeout_s);
        let reply = match self.connect(address, request, limit).await {
            Ok(reply) => reply,
            Err(failure) if failure.sent => return sample::Ending::Cut,
            Err(_) => {
                return sample::Ending::Refused {
                    code: "not_connected".to_owned(),
                    not_run: true,
                };
            }
        };
        seen.sample.head = Some(self.now());
        if reply.status != 200 {
            return refusal(reply).await;
        }
        match &arrival.job {
            arrival::Job::Chat { .. } => self.events(reply, arrival, seen).await,
            arrival::Job::Booking { .. } => match reply.bytes(MAX_BODY_BYTES).await {
                Ok(bytes) => whole(!self.plan.check_answers || bytes == expected),
                Err(_) => sample::Ending::Cut,
            },
        }
    }

    /// Sends the request to `address`, or to the next entry host that takes the connection, as a load balancer does.
    async fn connect(
        &self,
        address: net::SocketAddr,
        request: http::Request,
        limit: time::Duration,
    ) -> Result<http::Reply, http::Failure> {
        let entries = &self.plan.entries;
        let first = entries.iter().position(|entry| *entry == address);
        let mut result = self.pool.send(address, request.clone(), limit).await;
        for step in 1..entries.len() {
            if !result.as_ref().is_err_and(|failure| !failure.sent) {
                break;
            }
            let next = entries[(first.unwrap_or(0) + step) % entries.len()];
            result = self.pool.send(next, request.clone(), limit).await;
        }
        result
    }

    fn id(&self, arrival: &arrival::Arrival) -> String {
        format!("{:016x}-{}", self.run, arrival.number)
    }

    fn request(&self, arrival: &arrival::Arrival) -> http::Request {
        let workspace = &self.plan.workspaces[arrival.workspace];
        let request = match &arrival.job {
            arrival::Job::Chat {
                class,
                model,
                adapter,
                prompt,
                max_tokens,
            } => {
                let model = match adapter {
                    Some(adapter) => format!("{model}:{adapter}"),
                    None => model.clone(),
                };
                let message = engine::Message {
                    role: prompt::ROLE.to_owned(),
                    content: prompt.clone(),
                };
                let body = Body {
                    model: &model,
                    messages: [message],
                    max_tokens: *max_tokens,
                    stream: true,
                };
                http::Request::new("POST", "/v1/chat/completions")
                    .header("carawaycleat-class", class.as_str())
                    .body(serde_json::to_vec(&body).unwrap_or_default())
            }
            arrival::Job::Booking { booking, keyed, .. } => {
                let booking = &workspace.bookings[*booking];
                let (id, method) = (self.id(arrival), booking.method.as_str());
                let path = booking.path.get_ref();
                let request = if booking.method.is_safe() {
                    http::Request::new(method, format!("{path}?id={id}"))
                } else {
                    http::Request::new(method, path).body(format!(r#"{{"id":"{id}"}}"#))
                };
                match keyed {
                    true => request.header("idempotency-key", id),
                    false => request,
                }
            }
        };
        request
            .header("authorization", format!("Bearer {}", workspace.key))
            .header("content-type", "application/json")
    }

    async fn events(
        &self,
        mut reply: http::Reply,
        arrival: &arrival::Arrival,
        seen: &mut Seen,
    ) -> sample::Ending {
        let mut decoder = http::sse::Decoder::default();
        let mut text = String::new();
        let mut is_done = false;
        loop {
            match reply.body.next().await {
                Ok(Some(piece)) => decoder.push(&piece),
                Ok(None) if is_done => return whole(self.is_right(arrival, &text)),
                _ => return sample::Ending::Cut,
            }
            let now = self.now();
            loop {
                match decoder.next_event() {
                    Ok(Some(event)) if event.event.as_deref() == Some("error") => {
                        return sample::Ending::Cut;
                    }
                    Ok(Some(event)) if event.data == DONE => is_done = true,
                    Ok(Some(event)) => {
                        // What comes after the end makes the text wrong, too.
                        if let Some(token) = content(&event.data) {
                            text.push_str(&token);
                            seen.token(now);
                        }
                    }
                    Ok(None) => break,
                    Err(_) => return sample::Ending::Cut,
                }
            }
        }
    }

    fn is_right(&self, arrival: &arrival::Arrival, text: &str) -> bool {
        let arrival::Job::Chat {
            model,
            adapter,
            prompt,
            max_tokens,
            ..
        } = &arrival.job
        else {
            return true;
        };
        let expected = || engine::expected(model, adapter.as_deref(), prompt, *max_tokens).concat();
        !self.plan.check_answers || text == expected()
    }
}

impl Seen {
    fn token(&mut self, now: time::Duration) {
        if let Some(last) = self.sample.last {
            self.gaps.push(now.saturating_sub(last));
        }
        self.sample.first.get_or_insert(now);
        self.sample.last = Some(now);
        self.sample.tokens += 1;
    }
}

fn whole(is_right: bool) -> sample::Ending {
    match is_right {
        true => sample::Ending::Whole,
        false => sample::Ending::Wrong,
    }
}

/// Returns the text of a token's event; none for events without text.
fn content(data: &str) -> Option<String> {
    let chunk: engine::Chunk = serde_json::from_str(data).ok()?;
    let content = chunk.choices.into_iter().next()?.delta?.content;
    (!content.is_empty()).then_some(content)
}

async fn refusal(reply: http::Reply) -> sample::Ending {
    let status = reply.status;
    let bytes = reply.bytes(MAX_BODY_BYTES).await.unwrap_or_default();
    let detail = serde_json::from_slice(&bytes).map(|failure: Failure| failure.error);
    let (code, not_run) = match detail {
        Ok(detail) => {
            let code = detail.code.as_str().map(str::to_owned);
            let code = code.unwrap_or_else(|| detail.code.to_string());
            (code, detail.outcome == "not_run")
        }
        Err(_) => (format!("http_{status}"), false),
    };
    sample::Ending::Refused { code, not_run }
}

fn cost(booking: &workspace::Booking) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cost is checked to be from 0 to 1e9"
    )]
    let tokens = booking.cost_tokens as u64;
    tokens
}

/// Returns the tokens that requests with these samples have certainly used.
pub(super) fn used<'a>(samples: impl Iterator<Item = &'a sample::Sample>) -> f64 {
    bucket::as_float(samples.map(|sample| sample.used).sum())
}
