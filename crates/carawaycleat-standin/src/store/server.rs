use std::net;
use std::sync;
use std::time;

use carawaycleat_net as http;

use super::fault;
use super::state;
use super::watcher;
use crate::answer;
use crate::handle;

// Clients tell a live connection from a hung one by these notifications.
const PROGRESS_PERIOD: time::Duration = time::Duration::from_secs(1);
// Leases have whole seconds, so their end is seen soon enough.
const EXPIRY_PERIOD: time::Duration = time::Duration::from_millis(100);

/// The start options of the store.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address to listen on.
    pub listen: net::SocketAddr,
    /// The faults at the start.
    pub faults: fault::Faults,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: ([127, 0, 0, 1], 0).into(),
            faults: fault::Faults::default(),
        }
    }
}

/// The store over HTTP.
#[derive(Debug)]
pub struct Store;

impl Store {
    /// Starts a store.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn start(
        executor: &sync::Arc<http::Executor>,
        options: Options,
    ) -> http::Result<handle::Handle<state::State>> {
        Self::resume(executor, options.listen, state::State::new(options.faults))
    }

    /// Starts a store with the keys of an earlier one, which was stopped so that connections were refused.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn resume(
        executor: &sync::Arc<http::Executor>,
        listen: net::SocketAddr,
        mut state: state::State,
    ) -> http::Result<handle::Handle<state::State>> {
        let server = http::Server::bind(listen)?.limits(answer::limits());
        state.forget_watches();
        let shared = handle::Shared::new(state);
        executor.spawn(expire(shared.clone())).detach();
        let (state, tasks) = (shared.clone(), executor.clone());
        let server = server.start(executor.clone(), move |request| {
            serve(state.clone(), tasks.clone(), request)
        });
        Ok(handle::Handle::new(server, shared))
    }
}

type Shared = sync::Arc<handle::Shared<state::State>>;

async fn expire(shared: Shared) {
    while !shared.is_stopped() {
        if shared.look(|state, now| state.expire(now)) > 0 {
            shared.notify();
        }
        handle::pause(EXPIRY_PERIOD).await;
    }
}

async fn serve(
    shared: Shared,
    executor: sync::Arc<http::Executor>,
    request: http::Request,
) -> http::Response {
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/standin/faults") => {
            return answer::with_json(&request.body, |faults: fault::Faults| {
                shared.with(|state, _| state.set_faults(faults));
                http::Response::new(204)
            });
        }
        ("GET", "/standin/counts") => {
            return shared.look(|state, _| http::Response::json(200, state.counts()));
        }
        ("POST", _) => {}
        _ => return answer::not_found(),
    }
    shared.until(|state, _| !state.faults().hang).await;
    let latency = shared.look(|state, _| state.faults().latency_ms);
    handle::pause(time::Duration::from_millis(latency)).await;
    if request.path == "/v3/watch" {
        return watch(&shared, &executor, &request.body);
    }
    let reply = shared.with(|state, now| state.call(now, &request.path, &request.body));
    let delay = shared.look(|state, _| state.faults().answer_delay_ms);
    handle::pause(time::Duration::from_millis(delay)).await;
    if reply.delivered {
        answer::json_bytes(reply.status, reply.body)
    } else {
        answer::cut(b"")
    }
}

fn watch(shared: &Shared, executor: &http::Executor, body: &[u8]) -> http::Response {
    let (watcher, first) = match shared.with(|state, now| state.open_watch(now, body)) {
        Ok(opened) => opened,
        Err(reply) => return answer::json_bytes(reply.status, reply.body),
    };
    let (writer, stream) = http::stream();
    let shared = shared.clone();
    executor
        .spawn(async move {
            feed(&shared, watcher, first, writer).await;
            shared.with(|state, _| state.close_watch());
        })
        .detach();
    http::Response::new(200)
        .header("content-type", "application/json")
        .stream(stream)
}

/// What a watch does next.
enum Step {
    Send(Vec<u8>),
    End(Vec<u8>),
    Cut,
    Wait,
}

async fn feed(
    shared: &Shared,
    mut watcher: watcher::Watcher,
    first: Vec<u8>,
    writer: http::Writer,
) {
    let changed = shared.subscribe();
    let mut step = Step::Send(first);
    let mut sent = time::Instant::now();
    loop {
        match step {
            Step::Send(line) => {
                if writer.send(line).await.is_err() {
                    return;
                }
                sent = time::Instant::now();
            }
            Step::End(line) => {
                if writer.send(line).await.is_ok() {
                    writer.finish();
                }
                return;
            }
            Step::Cut => return,
            Step::Wait => {
                let change = handle::wait_for(&changed, Some(PROGRESS_PERIOD));
                futures_lite::future::or(change, writer.closed()).await;
            }
        }
        if writer.is_closed() || shared.is_stopped() {
            return;
        }
        let is_due = sent.elapsed() >= PROGRESS_PERIOD;
        step = shared.look(|state, _| next_step(state, &mut watcher, is_due));
    }
}

fn next_step(state: &state::State, watcher: &mut watcher::Watcher, is_due: bool) -> Step {
    if state.faults().down {
        return Step::Cut;
    }
    if state.faults().hang {
        return Step::Wait;
    }
    match state.poll_watch(watcher) {
        Some((line, true)) => Step::End(line),
        Some((line, false)) => Step::Send(line),
        None if is_due => Step::Send(state.progress(watcher)),
        None => Step::Wait,
    }
}
