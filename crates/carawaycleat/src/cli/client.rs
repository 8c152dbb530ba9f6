use std::net;
use std::time;

use carawaycleat_net as http;

use super::response;

/// A client of the operators' HTTP interface.
#[derive(Clone)]
pub(super) struct Client {
    pool: http::Pool,
    servers: Vec<net::SocketAddr>,
}

/// A response with a status below 300.
pub(super) struct Response {
    /// The server that sent the response.
    pub(super) server: net::SocketAddr,
    /// The HTTP status.
    pub(super) status: u16,
    /// The body.
    pub(super) body: Vec<u8>,
}

/// A process that serves `GET /timeline`.
pub(super) struct Process {
    /// The name shown in error messages.
    pub(super) name: String,
    /// The address for requests from other processes.
    pub(super) address: net::SocketAddr,
}

/// Maximum number of processes that are queried concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 64;

/// Longer than the 3 s that a server waits for a majority before it responds to a write.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Several times the size of a response with all resources of the target scale.
const MAX_BODY_BYTES: usize = 64 << 20;

impl Client {
    pub(super) fn new(servers: &[net::SocketAddr]) -> Self {
        Self {
            pool: http::Pool::default(),
            servers: servers.to_owned(),
        }
    }

    /// Sends `request` to the first server that can be reached.
    ///
    /// A write is sent to another server only if no part of it was sent to the previous one, so that it takes effect at
    /// most once.
    pub(super) async fn call(&self, request: http::Request) -> super::Result<Response> {
        let (server, mut reply) = self.open(request).await?;
        read(server, &mut reply).await
    }

    /// Sends `request` to every server, and returns the responses and the errors of the servers that failed.
    ///
    /// If there is only one server, its error is returned as the error of the call.
    pub(super) async fn call_all(
        &self,
        request: &http::Request,
    ) -> super::Result<(Vec<Response>, Vec<String>)> {
        let mut responses = Vec::new();
        let mut failed = Vec::new();
        for &server in &self.servers {
            match self.call_one(server, request.clone()).await {
                Ok(response) => responses.push(response),
                Err(error) if self.servers.len() == 1 => return Err(error),
                Err(error) => failed.push(format!("{server}: {error}")),
            }
        }
        Ok((responses, failed))
    }

    /// Sends `request` to each process, and returns the responses and the errors of the processes that failed.
    pub(super) async fn call_each(
        &self,
        processes: &[Process],
        request: &http::Request,
    ) -> (Vec<Response>, Vec<String>) {
        let executor = http::Executor::new();
        let mut responses = Vec::new();
        let mut failed = Vec::new();
        let calls = async {
            for batch in processes.chunks(MAX_CONCURRENT_REQUESTS) {
                let call = |process: &Process| {
                    let (client, address) = (self.clone(), process.address);
                    let request = request.clone();
                    executor.spawn(async move { client.call_one(address, request).await })
                };
                let tasks: Vec<_> = batch.iter().map(call).collect();
                for (process, task) in batch.iter().zip(tasks) {
                    match task.await {
                        Ok(response) => responses.push(response),
                        Err(error) => failed.push(format!("{}: {error}", process.name)),
                    }
                }
            }
        };
        executor.run(calls).await;
        (responses, failed)
    }

    /// Sends `request` to `server` and deserializes the response body.
    pub(super) async fn read<T: serde::de::DeserializeOwned>(
        &self,
        server: net::SocketAddr,
        request: &http::Request,
    ) -> super::Result<T> {
        let response = self.call_one(server, request.clone()).await?;
        Ok(serde_json::from_slice(&response.body)?)
    }

    async fn call_one(
        &self,
        server: net::SocketAddr,
        request: http::Request,
    ) -> super::Result<Response> {
        let mut reply = self.send(server, request).await?;
        read(server, &mut reply).await
    }

    /// Sends `request` to the first server that can be reached and returns the response without reading its body.
    pub(super) async fn open(
        &self,
        request: http::Request,
    ) -> super::Result<(net::SocketAddr, http::Reply)> {
        let mut result = Err(super::Error::Usage("no server is given".to_owned()));
        for &server in &self.servers {
            result = self
                .send(server, request.clone())
                .await
                .map(|reply| (server, reply));
            if !matches!(result, Err(super::Error::Unreachable(..))) {
                break;
            }
        }
        result
    }

    async fn send(
        &self,
        server: net::SocketAddr,
        request: http::Request,
    ) -> super::Result<http::Reply> {
        let is_read = request.method == "GET";
        let result = self.pool.send(server, request, RESPONSE_TIMEOUT).await;
        result.map_err(|failure| {
            let text = failure.error.to_string();
            if failure.sent && !is_read {
                super::Error::NoResponse(server, text)
            } else {
                super::Error::Unreachable(server, text)
            }
        })
    }
}

async fn read(server: net::SocketAddr, reply: &mut http::Reply) -> super::Result<Response> {
    let body = reply.body.bytes(MAX_BODY_BYTES).await;
    let status = reply.status;
    match body {
        Ok(body) if status < 300 => Ok(Response {
            server,
            status,
            body,
        }),
        Ok(body) => Err(refusal(status, &body)),
        Err(error) => Err(super::Error::InvalidResponse(format!(
            "{server}, status {status}: {error}"
        ))),
    }
}

/// Returns the error for a response with a status of 300 or more.
pub(super) fn refusal(status: u16, body: &[u8]) -> super::Error {
    let refusal: response::Refusal = serde_json::from_slice(body).unwrap_or_default();
    let text = match refusal.error.message {
        text if text.is_empty() => "no reason given".to_owned(),
        text => text,
    };
    match status {
        409 | 412 => super::Error::Conflict(text, refusal.revision),
        _ => super::Error::Refused(status, text),
    }
}
