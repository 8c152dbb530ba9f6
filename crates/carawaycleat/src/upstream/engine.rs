use std::net as std_net;
use std::time;

use carawaycleat_core::outcome;
use carawaycleat_net as net;
use carawaycleat_wire as wire;

use super::cause;
use super::response;

/// The maximum size of a response of the engine's management endpoints, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// The response timeout of a management call.
const MANAGEMENT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// A client of the engine or service beside the sidecar.
#[derive(Clone, Debug)]
pub struct Engine {
    pool: net::Pool,
    address: std_net::SocketAddr,
}

/// The state that an engine reports about itself, which may lag behind its actual state.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(default)]
pub struct State {
    /// The incarnation, which changes with each restart.
    pub incarnation: u64,
    /// The highest fencing number that the engine has accepted.
    pub fencing: u64,
    /// The time of the report on the engine's clock, in milliseconds.
    pub taken_at_ms: u64,
    /// The accelerator memory, in bytes.
    pub memory_bytes: u64,
    /// The memory in use, in bytes.
    pub used_bytes: u64,
    /// The models that are loading, loaded or unloading.
    pub models: Vec<Loaded>,
    /// The adapters that are loading, loaded or unloading.
    pub adapters: Vec<Loaded>,
    /// The number of running requests.
    pub running: u32,
    /// The number of requests that wait in the engine.
    pub waiting: u32,
    /// The orders that the engine has a record of.
    pub orders: Vec<Order>,
    /// The sequence number of the last cache event.
    pub cache_seq: u64,
}

/// A model or adapter in a [`State`].
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(default)]
pub struct Loaded {
    /// The name.
    pub name: String,
    /// The version of the weights, for a model.
    pub version: String,
    /// The base model, for an adapter.
    pub model: String,
    /// The memory that it occupies, in bytes.
    pub bytes: u64,
    /// One of `loading`, `loaded`, `unloading`.
    pub state: String,
}

/// An order in a [`State`].
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(default)]
pub struct Order {
    /// The identifier.
    pub id: String,
    /// One of `accepted`, `running`, `done`, `rejected`.
    pub state: String,
}

/// The body of an order to the engine.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Command {
    /// The identifier; the engine applies a repeated order only once.
    pub id: String,
    /// The fencing number.
    pub fencing: u64,
    /// One of `load`, `unload`, `load_adapter`, `unload_adapter`.
    pub kind: &'static str,
    /// The name of the model or adapter.
    pub name: String,
    /// The version of the weights, for a model.
    pub version: String,
    /// The base model, for an adapter.
    pub model: String,
    /// The memory that it occupies, in bytes.
    pub bytes: u64,
}

/// The engine's response to a [`Command`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Acceptance {
    /// The order was accepted.
    Accepted,
    /// The fencing number is lower than one that the engine has accepted.
    StaleFencing,
    /// The engine has too little free memory.
    OutOfMemory,
    /// It is unknown whether the engine has received the order.
    Unknown,
}

impl Engine {
    /// Returns a client of the engine at `address`.
    pub fn new(pool: net::Pool, address: std_net::SocketAddr) -> Self {
        Self { pool, address }
    }

    /// Returns the engine's state, or none without a valid response.
    pub async fn state(&self) -> Option<State> {
        let request = net::Request::new("GET", "/engine/state");
        let reply = self
            .pool
            .send(self.address, request, MANAGEMENT_TIMEOUT)
            .await
            .ok()?;
        if reply.status != 200 {
            return None;
        }
        let bytes = reply.bytes(MAX_RESPONSE_BYTES).await.ok()?;
        serde_json::from_slice(&bytes).ok()
    }

    /// Returns whether a service accepts connections. No request is sent, because any call of a service may have side
    /// effects.
    pub async fn is_reachable(&self) -> bool {
        let connect = async {
            let stream = async_io::Async::<std_net::TcpStream>::connect(self.address).await;
            stream.is_ok()
        };
        let expired = async {
            async_io::Timer::after(MANAGEMENT_TIMEOUT).await;
            false
        };
        futures_lite::future::or(connect, expired).await
    }

    /// Sends an order to the engine.
    ///
    /// # Panics
    ///
    /// Does not panic in practice: a command can always be serialized.
    pub async fn send_command(&self, command: &Command) -> Acceptance {
        let body = serde_json::to_vec(command).expect("a command can always be serialized");
        let request = net::Request::new("POST", "/engine/orders")
            .header("content-type", "application/json")
            .body(body);
        match self
            .pool
            .send(self.address, request, MANAGEMENT_TIMEOUT)
            .await
        {
            Ok(reply) => match reply.status {
                200..300 => Acceptance::Accepted,
                409 => Acceptance::StaleFencing,
                507 => Acceptance::OutOfMemory,
                _ => Acceptance::Unknown,
            },
            Err(_) => Acceptance::Unknown,
        }
    }

    /// Cancels request `id` at the engine.
    pub async fn cancel(&self, id: wire::Id) {
        let request = net::Request::new("DELETE", format!("/v1/requests/{id}"));
        // The engine also detects the closed connection, so a lost cancellation only delays it.
        let _ = self
            .pool
            .send(self.address, request, MANAGEMENT_TIMEOUT)
            .await;
    }

    /// Sends a job and returns its response, whose parts are read as they arrive.
    ///
    /// # Errors
    ///
    /// Returns the part that reports the failure and whether the job may have run.
    pub async fn start(&self, job: &wire::Job) -> Result<response::Response, wire::Part> {
        let request = match request(job) {
            Ok(request) => request,
            Err(error) => {
                let reason = outcome::Reason::InvalidRequest;
                return Err(failure_part(
                    outcome::Outcome::NotRun,
                    reason,
                    error.to_string(),
                ));
            }
        };
        let timeout = time::Duration::from_millis(job.timeout_ms);
        match self.pool.send(self.address, request, timeout).await {
            Ok(reply) => Ok(response::Response::new(job, reply)),
            Err(failure) => {
                let outcome = if failure.sent {
                    outcome::Outcome::Unknown
                } else {
                    outcome::Outcome::NotRun
                };
                Err(failure_part(
                    outcome,
                    cause::reason(failure.cause()),
                    failure.error.to_string(),
                ))
            }
        }
    }
}

/// Returns the part that reports a failure.
pub(super) fn failure_part(
    outcome: outcome::Outcome,
    reason: outcome::Reason,
    message: String,
) -> wire::Part {
    wire::Part::Fail {
        outcome,
        reason,
        message,
    }
}

fn request(job: &wire::Job) -> serde_json::Result<net::Request> {
    let mut request = net::Request::new(job.method.as_str(), &job.path);
    for (name, value) in &job.headers {
        request = request.header(name.as_str(), value.as_str());
    }
    request = request.header("x-request-id", job.id.to_string());
    let body = if job.model.is_some() {
        model_body(job)?
    } else {
        job.body.clone()
    };
    Ok(request.body(body))
}

/// Returns the caller's body with the fields that the engine needs. A stream is always requested, so that progress can
/// be observed.
fn model_body(job: &wire::Job) -> serde_json::Result<Vec<u8>> {
    let mut body: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(&job.body)?;
    body.insert("stream".to_owned(), true.into());
    body.insert("priority".to_owned(), job.priority.into());
    if let Some(model) = &job.model {
        body.insert("model".to_owned(), model.as_str().into());
    }
    if let Some(adapter) = &job.adapter {
        body.insert("adapter".to_owned(), adapter.as_str().into());
    }
    if job.resume_at > 0 {
        body.insert("resume_at".to_owned(), job.resume_at.into());
        body.insert("resume_text".to_owned(), job.resume_text.as_str().into());
    }
    serde_json::to_vec(&body)
}
