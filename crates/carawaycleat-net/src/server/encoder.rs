use std::io;
use std::net;
use std::ops;
use std::pin;
use std::sync::atomic;
use std::task;
use std::time;

use futures_lite::AsyncRead as _;
use futures_lite::AsyncReadExt as _;
use futures_lite::AsyncWriteExt as _;

use crate::body;
use crate::budget;
use crate::response;
use crate::server::peek;
use crate::server::reason;

/// The initial size of the write buffer; it doubles when a response fills it.
const INITIAL_BUFFER_BYTES: usize = 4 * 1024;
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// The minimum free buffer space for a read from the encoder, which returns the head of the response or one chunk with
/// its framing.
const MIN_SPACE_BYTES: usize = 512;
/// How many bytes that a caller sends during a streamed response are read; the rest stays in the socket. A small request
/// with its body.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;
/// The statuses that a response may have.
const FINAL_STATUSES: ops::RangeInclusive<u16> = 200..=599;
/// The time between two looks at a connection whose bytes stay in the socket.
const DISCONNECT_POLL_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// A result whose error is the reason for which the response is incomplete.
pub(super) type Result<T> = std::result::Result<T, reason::Reason>;

/// Writes a response, and sets `head_written` once a part of it is written. What the caller sends during a streamed
/// response is appended to `read_ahead`, up to [`MAX_READ_AHEAD_BYTES`].
///
/// Fails if the caller takes no byte for `stall_timeout`, or if it closes its sending side during a streamed response.
pub(super) async fn write(
    stream: &async_io::Async<net::TcpStream>,
    mut response: response::Response,
    method: http_types::Method,
    close: bool,
    stall_timeout: time::Duration,
    head_written: &atomic::AtomicBool,
    read_ahead: &mut Vec<u8>,
) -> Result<()> {
    let _reservation = response.reservation.take();
    let streamed = matches!(response.body, body::Body::Stream(_));
    let status_line = unlisted_status_line(&response);
    let encoder = async_h1::server::Encoder::new(convert(response, close), method);
    let copy = copy(stream, encoder, status_line, stall_timeout, head_written);
    if !streamed {
        return copy.await;
    }
    let disconnected = async {
        read_until_disconnect(stream, read_ahead).await;
        Err(reason::Reason::GoneDuringStream)
    };
    futures_lite::future::or(copy, disconnected).await
}

/// Returns the status line of a response whose status `http-types` does not know; none if it knows it, or if there is no such
/// response.
fn unlisted_status_line(response: &response::Response) -> Option<String> {
    let is_listed = http_types::StatusCode::try_from(response.status).is_ok();
    let is_unlisted = FINAL_STATUSES.contains(&response.status) && !is_listed;
    (is_unlisted && is_representable(response))
        .then(|| format!("HTTP/1.1 {} \r\n", response.status))
}

/// Returns whether `http-types`, which panics on header names and values that are not ASCII, can represent the headers.
fn is_representable(response: &response::Response) -> bool {
    let valid = |(name, value): (&str, &str)| {
        let name_byte =
            |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
        let value_byte = |byte: u8| byte == b'\t' || (b' '..=b'~').contains(&byte);
        !name.is_empty() && name.bytes().all(name_byte) && value.bytes().all(value_byte)
    };
    response.headers.iter().all(valid)
}

/// Converts a response. One that cannot be represented is replaced by status 500 without its headers and body. One whose
/// status `http-types` does not know gets a status line of its own later.
fn convert(response: response::Response, close: bool) -> http_types::Response {
    let is_valid = FINAL_STATUSES.contains(&response.status) && is_representable(&response);
    let status = http_types::StatusCode::try_from(response.status).ok();
    let status = status.filter(|_| is_valid);
    let mut converted =
        http_types::Response::new(status.unwrap_or(http_types::StatusCode::InternalServerError));
    if is_valid {
        converted.set_body(match response.body {
            body::Body::Bytes(bytes) => http_types::Body::from_bytes(bytes),
            body::Body::Stream(stream) => http_types::Body::from_reader(stream, None),
        });
        if response.headers.get("content-type").is_none() {
            converted.remove_header("content-type");
        }
        let content_type = response.headers.get("content-type");
        if let Some(content_type) = content_type {
            converted.insert_header("content-type", content_type);
        }
        let framing = [
            "content-type",
            "content-length",
            "transfer-encoding",
            "connection",
        ];
        for (name, value) in response.headers.iter() {
            if !framing.iter().any(|other| name.eq_ignore_ascii_case(other)) {
                converted.append_header(name, value);
            }
        }
    }
    if close || response.headers.has_token("connection", "close") {
        converted.insert_header("connection", "close");
    }
    converted
}

async fn copy(
    mut stream: &async_io::Async<net::TcpStream>,
    mut encoder: async_h1::server::Encoder,
    mut status_line: Option<String>,
    stall_timeout: time::Duration,
    head_written: &atomic::AtomicBool,
) -> Result<()> {
    let mut buffer = vec![0; INITIAL_BUFFER_BYTES];
    let mut budget = budget::Budget::default();
    loop {
        budget.turn().await;
        let (filled, ended) =
            futures_lite::future::poll_fn(|context| fill(&mut encoder, &mut buffer, context))
                .await
                .map_err(|_| reason::Reason::StreamAborted)?;
        let mut filled = filled;
        if let Some(line) = status_line.take_if(|_| filled > 0) {
            filled = replace_first_line(&mut buffer, filled, &line);
        }
        if filled > 0 {
            let mut written = 0;
            while written < filled {
                let write = async {
                    match stream.write(&buffer[written..filled]).await {
                        Ok(0) | Err(_) => Err(reason::Reason::WriteFailed),
                        Ok(length) => Ok(length),
                    }
                };
                let timeout = async {
                    async_io::Timer::after(stall_timeout).await;
                    Err(reason::Reason::WriteTimedOut)
                };
                written += futures_lite::future::or(write, timeout).await?;
                head_written.store(true, atomic::Ordering::Relaxed);
            }
            budget.spend(filled);
        }
        if ended {
            return Ok(());
        }
        if filled + MIN_SPACE_BYTES > buffer.len() && buffer.len() < MAX_BUFFER_BYTES {
            buffer.resize(buffer.len() * 2, 0);
        }
    }
}

/// Replaces the first line of the `filled` bytes in the buffer, and returns how many bytes it has then.
fn replace_first_line(buffer: &mut Vec<u8>, filled: usize, line: &str) -> usize {
    let first = buffer[..filled].iter().position(|byte| *byte == b'\n');
    let end = first.map_or(0, |newline| newline + 1);
    buffer.splice(..end, line.bytes());
    filled - end + line.len()
}

/// Fills the buffer with the output that the encoder has ready, so that it is sent in one write. Returns the number of
/// bytes and whether the response has ended.
fn fill(
    encoder: &mut async_h1::server::Encoder,
    buffer: &mut [u8],
    context: &mut task::Context<'_>,
) -> task::Poll<io::Result<(usize, bool)>> {
    let mut filled = 0;
    while buffer.len() - filled >= MIN_SPACE_BYTES {
        match pin::Pin::new(&mut *encoder).poll_read(context, &mut buffer[filled..]) {
            task::Poll::Ready(Ok(0)) => return task::Poll::Ready(Ok((filled, true))),
            task::Poll::Ready(Ok(length)) => filled += length,
            task::Poll::Ready(Err(error)) if filled == 0 => return task::Poll::Ready(Err(error)),
            task::Poll::Pending if filled == 0 => return task::Poll::Pending,
            // The stream returns its error again on the next read.
            _ => break,
        }
    }
    task::Poll::Ready(Ok((filled, false)))
}

/// Waits until the caller closes its sending side before the response. If the caller sends more bytes, a disconnect is no
/// longer detected, because those bytes have to stay unread.
pub(super) async fn disconnected(stream: &async_io::Async<net::TcpStream>) {
    loop {
        let readable = stream.readable().await;
        match peek::Peek::new(stream) {
            peek::Peek::Disconnected => return,
            peek::Peek::Sent => return std::future::pending().await,
            peek::Peek::Waiting if readable.is_ok() => {}
            peek::Peek::Waiting => return,
        }
    }
}

/// Waits until the caller closes its sending side. Bytes that it sends meanwhile are appended to `buffer`. After
/// [`MAX_READ_AHEAD_BYTES`], nothing more is read, and only a reset of the connection is still detected.
async fn read_until_disconnect(stream: &async_io::Async<net::TcpStream>, buffer: &mut Vec<u8>) {
    let mut bytes = [0; 512];
    let mut reader = stream;
    while buffer.len() < MAX_READ_AHEAD_BYTES {
        if stream.readable().await.is_err() {
            return;
        }
        match reader.read(&mut bytes).await {
            Ok(0) | Err(_) => return,
            Ok(length) => buffer.extend_from_slice(&bytes[..length]),
        }
    }
    while peek::Peek::new(stream) != peek::Peek::Disconnected {
        async_io::Timer::after(DISCONNECT_POLL_INTERVAL).await;
    }
}
