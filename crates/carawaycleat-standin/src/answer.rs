//! Answers that several stand-ins give.

use std::time;

use carawaycleat_net as http;

#[derive(serde::Serialize)]
struct Failure<'a> {
    error: Detail<'a>,
}

#[derive(serde::Serialize)]
struct Detail<'a> {
    message: &'a str,
    code: u16,
}

/// Returns an error with the form of the completion interface.
pub(crate) fn failure(status: u16, message: &str) -> http::Response {
    let detail = Detail {
        message,
        code: status,
    };
    http::Response::json(status, &Failure { error: detail })
}

pub(crate) fn not_found() -> http::Response {
    failure(404, "no such path")
}

/// Returns an answer with JSON bytes.
pub(crate) fn json_bytes(status: u16, body: Vec<u8>) -> http::Response {
    http::Response::new(status)
        .header("content-type", "application/json")
        .body(body)
}

/// Returns an answer whose connection is cut after `body`.
pub(crate) fn cut(body: &[u8]) -> http::Response {
    let (writer, stream) = http::stream();
    if !body.is_empty() {
        // The stream has room for its first chunk.
        let _ = writer.try_send(body);
    }
    http::Response::new(200).stream(stream)
}

/// Parses the body and passes it on, or answers with 400.
pub(crate) fn with_json<T: serde::de::DeserializeOwned>(
    body: &[u8],
    then: impl FnOnce(T) -> http::Response,
) -> http::Response {
    match serde_json::from_slice(body) {
        Ok(value) => then(value),
        Err(error) => failure(400, &error.to_string()),
    }
}

/// The longest wait for a peer; longer than any fault of the stand-ins.
const TIMEOUT: time::Duration = time::Duration::from_secs(600);

/// Returns limits that the stand-ins' own faults are reached before.
pub(crate) fn limits() -> http::Limits {
    http::Limits::default()
        .max_connections(16_384)
        .max_requests(16_384)
        .max_body_bytes(64 * 1024 * 1024)
        .idle_timeout(TIMEOUT)
        .body_stall_timeout(TIMEOUT)
        .body_timeout(TIMEOUT)
        .write_stall_timeout(TIMEOUT)
}
