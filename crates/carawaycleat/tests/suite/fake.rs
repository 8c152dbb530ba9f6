//! A small operators' interface, and the start of the program against it.

use std::collections;
use std::fs;
use std::mem;
use std::net;
use std::path;
use std::process;
use std::sync;
use std::thread;

use carawaycleat_net as http;

/// The revision and resource of each path.
type Resources = collections::BTreeMap<String, (u64, serde_json::Value)>;

/// What the server holds and has seen.
#[derive(Default)]
pub(crate) struct State {
    pub(crate) revision: u64,
    pub(crate) resources: Resources,
    /// Method, path with query, and body of each request.
    pub(crate) requests: Vec<(String, String, String)>,
    /// The answer to requests that are not about resources, by path.
    pub(crate) answers: collections::BTreeMap<String, serde_json::Value>,
    /// The lines of the successive watches; the last watch stays open.
    pub(crate) watches: collections::VecDeque<String>,
    /// Changes a resource between a read and the write that follows.
    pub(crate) interfere: bool,
    /// Answers writes with 202.
    pub(crate) partial: bool,
}

/// A running server, which ends with the test process.
pub(crate) struct Server {
    pub(crate) address: net::SocketAddr,
    pub(crate) state: sync::Arc<sync::Mutex<State>>,
}

impl Server {
    pub(crate) fn start() -> Self {
        let state = sync::Arc::new(sync::Mutex::new(State::default()));
        let executor = sync::Arc::new(http::Executor::new());
        let server = http::Server::bind(([127, 0, 0, 1], 0)).expect("a free port");
        let shared = state.clone();
        let handle = server.start(executor.clone(), move |request| {
            let response = answer(&mut shared.lock().expect("no panic"), request);
            async move { response }
        });
        thread::spawn(move || {
            futures_lite::future::block_on(executor.run(futures_lite::future::pending::<()>()));
        });
        Self {
            address: handle.local_address(),
            state,
        }
    }

    pub(crate) fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic")
    }

    /// Runs the program with this server.
    pub(crate) fn run(&self, args: &[&str]) -> Output {
        run(&[&["--server", &self.address.to_string()], args].concat())
    }
}

fn answer(state: &mut State, request: http::Request) -> http::Response {
    let body = String::from_utf8_lossy(&request.body).into_owned();
    state
        .requests
        .push((request.method.clone(), request.target(), body));
    if request.path == "/v1/watch" {
        return watch(state);
    }
    if let Some(value) = state.answers.get(&request.path) {
        return http::Response::json(200, value);
    }
    let Some(path) = request.path.strip_prefix("/v1/resources/") else {
        return refusal(404, "no such path", 0);
    };
    match request.method.as_str() {
        "GET" if !path.contains('/') => list(state, path),
        "GET" => match state.resources.get(path) {
            Some((revision, resource)) => {
                http::Response::json(200, &item(path, *revision, resource))
            }
            None => refusal(404, "no such resource", 0),
        },
        _ => write(state, path, &request),
    }
}

fn item(path: &str, revision: u64, resource: &serde_json::Value) -> serde_json::Value {
    let name = path.split('/').next_back();
    serde_json::json!({ "name": name, "revision": revision, "resource": resource })
}

fn list(state: &State, kind: &str) -> http::Response {
    let prefix = format!("{kind}/");
    let found = state
        .resources
        .iter()
        .filter(|(path, _)| path.starts_with(&prefix));
    let items: Vec<_> = found
        .map(|(path, (revision, resource))| item(path, *revision, resource))
        .collect();
    http::Response::json(
        200,
        &serde_json::json!({ "revision": state.revision, "items": items }),
    )
}

fn write(state: &mut State, path: &str, request: &http::Request) -> http::Response {
    if mem::take(&mut state.interfere) {
        state.revision += 1;
        let value = serde_json::json!({ "kind": "workspace", "weight": 999 });
        state
            .resources
            .insert(path.to_owned(), (state.revision, value));
    }
    let current = state
        .resources
        .get(path)
        .map_or(0, |(revision, _)| *revision);
    let wanted = request
        .headers
        .get("if-match")
        .map(|text| text.trim_matches('"').parse::<u64>());
    if wanted.is_some_and(|wanted| wanted != Ok(current)) {
        return refusal(412, "the resource has changed", current);
    }
    if request.headers.get("if-none-match").is_some() && current > 0 {
        return refusal(409, "the resource exists", current);
    }
    state.revision += 1;
    if request.method == "DELETE" {
        if state.resources.remove(path).is_none() {
            return refusal(404, "no such resource", 0);
        }
    } else {
        let resource: serde_json::Value = serde_json::from_slice(&request.body).expect("JSON");
        state
            .resources
            .insert(path.to_owned(), (state.revision, resource));
    }
    let status = if state.partial { 202 } else { 200 };
    let name = path.split('/').next_back();
    let body =
        serde_json::json!({ "name": name, "revision": state.revision, "applied": 2, "hosts": 3 });
    http::Response::json(status, &body)
}

fn watch(state: &mut State) -> http::Response {
    let (writer, stream) = http::stream();
    if let Some(lines) = state.watches.pop_front() {
        writer.try_send(lines).expect("room");
        writer.finish();
    } else {
        // The connection stays open until the caller goes.
        thread::spawn(move || futures_lite::future::block_on(writer.closed()));
    }
    http::Response::new(200).stream(stream)
}

fn refusal(status: u16, message: &str, revision: u64) -> http::Response {
    let body =
        serde_json::json!({ "error": { "message": message, "code": "x" }, "revision": revision });
    http::Response::json(status, &body)
}

/// What a run of the program returned.
#[derive(Debug)]
pub(crate) struct Output {
    pub(crate) code: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

/// Returns the program with `args`.
pub(crate) fn program(args: &[&str]) -> process::Command {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_carawaycleat"));
    command.args(args).stdin(process::Stdio::null());
    command
}

/// A running program that ends with the test, also when the test fails.
pub(crate) struct Child(process::Child);

impl Child {
    pub(crate) fn start(command: &mut process::Command) -> Self {
        Self(command.spawn().expect("the program starts"))
    }

    /// Returns the output, which can be taken once.
    pub(crate) fn output(&mut self) -> process::ChildStdout {
        self.0.stdout.take().expect("a pipe")
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // The program may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Runs the program to its end.
pub(crate) fn run(args: &[&str]) -> Output {
    let output = program(args).output().expect("the program starts");
    Output {
        code: output.status.code().expect("an exit code"),
        out: String::from_utf8(output.stdout).expect("UTF-8"),
        err: String::from_utf8(output.stderr).expect("UTF-8"),
    }
}

/// Writes a file in a directory of the test's own and returns its path.
pub(crate) fn file(test: &str, name: &str, text: &str) -> path::PathBuf {
    let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    fs::create_dir_all(&directory).expect("a directory");
    let path = directory.join(name);
    fs::write(&path, text).expect("a file");
    path
}

/// Returns an address on which nothing listens.
///
/// It is the local address of a connection that stays open, so that no other test is given its port.
pub(crate) fn unreachable() -> net::SocketAddr {
    let listener = net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let connection = net::TcpStream::connect(address).expect("a listener");
    let address = connection.local_addr().expect("an address");
    mem::forget((listener, connection));
    address
}
