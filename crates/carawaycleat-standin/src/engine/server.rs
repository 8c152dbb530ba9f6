use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use carawaycleat_net as http;

use super::batch;
use super::call;
use super::fault;
use super::options;
use super::order;
use super::state;
use crate::answer;
use crate::handle;
use crate::weights;

// The weight store accepts any number of loads, so one may wait long; the limit ends a wait on a hung store.
const FETCH_LIMIT: time::Duration = time::Duration::from_secs(3_600);
const FETCH_PAUSE: time::Duration = time::Duration::from_millis(200);

/// The engine over HTTP.
#[derive(Debug)]
pub struct Engine;

type Outputs = async_channel::Receiver<batch::Output>;
type Callers = collections::HashMap<batch::Ticket, async_channel::Sender<batch::Output>>;

#[derive(Debug)]
struct Service {
    shared: sync::Arc<handle::Shared<state::State>>,
    callers: sync::Mutex<Callers>,
    executor: sync::Arc<http::Executor>,
    unnamed: atomic::AtomicU64,
}

impl Engine {
    /// Starts an engine. Its incarnation is the start time, so that it differs from that of an earlier process.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn start(
        executor: &sync::Arc<http::Executor>,
        options: options::Options,
    ) -> http::Result<handle::Handle<state::State>> {
        let server = http::Server::bind(options.listen)?.limits(answer::limits());
        let weights = options.weights;
        let epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let millis = epoch.map_or(1, |span| span.as_millis());
        let incarnation = u64::try_from(millis).unwrap_or(u64::MAX);
        let service = sync::Arc::new(Service {
            shared: handle::Shared::new(state::State::with_incarnation(options, incarnation)),
            callers: sync::Mutex::default(),
            executor: executor.clone(),
            unnamed: atomic::AtomicU64::new(0),
        });
        let driven = service.clone();
        executor
            .spawn(async move { driven.drive(weights).await })
            .detach();
        let shared = service.shared.clone();
        let server = server.start(executor.clone(), move |request| {
            serve(service.clone(), request)
        });
        Ok(handle::Handle::new(server, shared))
    }
}

impl Service {
    async fn drive(&self, weights: Option<net::SocketAddr>) {
        let advance = |state: &mut state::State, now| {
            for (ticket, output) in state.advance(now) {
                self.deliver(ticket, output);
            }
            if let Some(address) = weights {
                for fetch in state.take_fetches() {
                    let task = load(self.shared.clone(), address, fetch);
                    self.executor.spawn(task).detach();
                }
            }
            state.next()
        };
        self.shared.drive(advance).await;
    }

    fn callers(&self) -> sync::MutexGuard<'_, Callers> {
        self.callers
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn deliver(&self, ticket: batch::Ticket, output: batch::Output) {
        let mut callers = self.callers();
        let is_last = !matches!(output, batch::Output::Token { .. });
        if let Some(sender) = callers.get(&ticket) {
            // The channel is unbounded; a caller that has gone is cancelled by its own task.
            let _ = sender.try_send(output);
        }
        if is_last {
            callers.remove(&ticket);
        }
    }

    fn submit(&self, id: &str, call: &call::Call) -> super::Result<(batch::Ticket, Outputs)> {
        let (sender, receiver) = async_channel::unbounded();
        // Registered under the state's lock, so that the driver cannot produce a token before.
        self.shared.with(|state, now| {
            let ticket = state.submit(now, call.request(id))?;
            self.callers().insert(ticket, sender);
            Ok((ticket, receiver))
        })
    }

    fn cancel(&self, ticket: batch::Ticket) {
        self.shared
            .with(|state, now| state.cancel_ticket(now, ticket));
    }
}

/// Loads from the weight store, again and again until it succeeds or the engine has restarted.
async fn load(
    shared: sync::Arc<handle::Shared<state::State>>,
    address: net::SocketAddr,
    fetch: order::Fetch,
) {
    let body = weights::Fetch {
        name: fetch.name.clone(),
        bytes: fetch.bytes,
    };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let pool = http::Pool::default();
    while !shared.is_stopped() {
        let request = http::Request::new("POST", "/weights/fetch").body(body.clone());
        let reply = pool.send(address, request, FETCH_LIMIT).await;
        if reply.is_ok_and(|reply| reply.status == 200) {
            shared.with(|state, now| state.finish_load(now, &fetch));
            return;
        }
        handle::pause(FETCH_PAUSE).await;
    }
}

async fn serve(service: sync::Arc<Service>, request: http::Request) -> http::Response {
    let shared = &service.shared;
    if let Some(response) = control(service.as_ref(), &request) {
        return response;
    }
    shared.until(|state, _| !state.faults().hang).await;
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/v1/completions") => complete(&service, &request, false).await,
        ("POST", "/v1/chat/completions") => complete(&service, &request, true).await,
        ("DELETE", path) => match path.strip_prefix("/v1/requests/") {
            Some(id) => done(shared.with(|state, now| state.cancel(now, id)), 204),
            None => answer::not_found(),
        },
        ("GET", "/engine/state") => {
            let report = shared.look(|state, now| state.report(now));
            http::Response::json(200, &report)
        }
        ("POST", "/engine/orders") => answer::with_json(&request.body, |order: order::Order| {
            done(shared.with(|state, now| state.order(now, order)), 202)
        }),
        ("GET", "/engine/cache-events") => cache_events(&service, &request),
        ("POST", "/engine/kv/export") => {
            answer::with_json(&request.body, |of: Prefix| {
                match shared.look(|state, _| state.export(&of.prefix)) {
                    Ok(bytes) => http::Response::new(200).body(bytes),
                    Err(error) => answer::failure(error.status(), &error.to_string()),
                }
            })
        }
        ("POST", "/engine/kv/import") => {
            done(shared.with(|s, now| s.import(now, &request.body)), 204)
        }
        _ => answer::not_found(),
    }
}

/// Answers the calls of tests, which work during a hang too.
fn control(service: &Service, request: &http::Request) -> Option<http::Response> {
    let shared = &service.shared;
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/standin/faults") => {
            Some(answer::with_json(&request.body, |faults: fault::Faults| {
                shared.with(|state, _| state.set_faults(faults));
                http::Response::new(204)
            }))
        }
        ("POST", "/standin/restart") => {
            shared.with(|state, now| state.restart(now));
            Some(http::Response::new(204))
        }
        ("GET", "/standin/records") => {
            let records = shared.look(|state, _| state.records());
            Some(http::Response::json(200, &records))
        }
        _ => None,
    }
}

#[derive(serde::Deserialize)]
struct Prefix {
    prefix: String,
}

#[derive(serde::Serialize)]
struct Events {
    events: Vec<super::CacheEvent>,
    next: u64,
}

fn cache_events(service: &Service, request: &http::Request) -> http::Response {
    let query = request.query.as_deref().unwrap_or_default();
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let after = pairs.find(|(name, _)| *name == "after");
    let after = after.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let events = service
        .shared
        .look(|state, now| state.cache_events(now, after));
    let next = events.last().map_or(after, |event| event.seq);
    http::Response::json(200, &Events { events, next })
}

fn done(result: super::Result<()>, status: u16) -> http::Response {
    match result {
        Ok(()) => http::Response::new(status),
        Err(error) => answer::failure(error.status(), &error.to_string()),
    }
}

async fn complete(
    service: &sync::Arc<Service>,
    request: &http::Request,
    chat: bool,
) -> http::Response {
    let call: call::Call = match serde_json::from_slice(&request.body) {
        Ok(call) => call,
        Err(error) => return answer::failure(400, &error.to_string()),
    };
    let id = match request.headers.get("x-request-id") {
        Some(id) => id.to_owned(),
        None => {
            let number = service.unnamed.fetch_add(1, atomic::Ordering::Relaxed);
            format!("unnamed-{number}")
        }
    };
    let (ticket, outputs) = match service.submit(&id, &call) {
        Ok(submitted) => submitted,
        Err(error) => return answer::failure(error.status(), &error.to_string()),
    };
    if !call.stream {
        return whole(outputs, id, chat).await;
    }
    let (writer, stream) = http::stream();
    let sending = service.clone();
    service
        .executor
        .spawn(async move {
            if !send_events(outputs, &writer, chat).await {
                sending.cancel(ticket);
                return;
            }
            writer.finish();
        })
        .detach();
    http::Response::new(200)
        .header("content-type", "text/event-stream")
        .stream(stream)
}

/// Answers with one JSON body, cut when the request was aborted.
async fn whole(outputs: Outputs, id: String, chat: bool) -> http::Response {
    let (mut all, mut count, mut source) = (String::new(), 0, id);
    loop {
        match outputs.recv().await {
            Ok(batch::Output::Token { id, text, .. }) => {
                all.push_str(&text);
                count += 1;
                source = id;
            }
            Ok(batch::Output::End | batch::Output::Short) => {
                return http::Response::json(200, &call::Chunk::whole(chat, source, all, count));
            }
            Ok(batch::Output::Aborted) | Err(_) => return answer::cut(b""),
        }
    }
}

fn encode(chunk: &call::Chunk, bytes: &mut Vec<u8>) {
    let data = serde_json::to_string(chunk).unwrap_or_default();
    http::sse::Event::new(data).encode(bytes);
}

/// Sends tokens as they come, and returns whether the answer was sent to its end.
async fn send_events(outputs: Outputs, writer: &http::Writer, chat: bool) -> bool {
    let gone = async {
        writer.closed().await;
        Err(async_channel::RecvError)
    };
    let mut gone = std::pin::pin!(gone);
    let (mut source, mut count) = (String::new(), 0);
    loop {
        let output = futures_lite::future::or(outputs.recv(), gone.as_mut()).await;
        let mut bytes = Vec::new();
        let is_last = match output {
            Ok(batch::Output::Token { id, position, text }) => {
                source.clone_from(&id);
                count = position + 1;
                encode(&call::Chunk::token(chat, id, position, text), &mut bytes);
                false
            }
            Ok(batch::Output::End) => {
                let source = std::mem::take(&mut source);
                encode(&call::Chunk::finish(chat, source, count), &mut bytes);
                http::sse::Event::new("[DONE]").encode(&mut bytes);
                true
            }
            Ok(batch::Output::Short) => {
                http::sse::Event::new("[DONE]").encode(&mut bytes);
                true
            }
            Ok(batch::Output::Aborted) | Err(_) => return false,
        };
        if writer.send(bytes).await.is_err() {
            return false;
        }
        if is_last {
            return true;
        }
    }
}
