use std::io;
use std::pin;
use std::str::FromStr as _;
use std::sync;
use std::task;

use futures_lite::AsyncReadExt as _;

use crate::head;
use crate::headers;
use crate::limits;
use crate::request;
use crate::scanner;
use crate::server::refusal;

/// The validated head of a request.
#[derive(Debug)]
pub(super) struct Head {
    /// The length in bytes.
    pub(super) length: usize,
    pub(super) request: request::Request,
    pub(super) method: http_types::Method,
    pub(super) framing: scanner::Framing,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub(super) expects_continue: bool,
    /// Whether the caller asked for the connection to be closed after the response.
    pub(super) close: bool,
}

/// Parses and validates the head at the start of `bytes`; returns none if more bytes are needed. `from` is the position
/// of the bytes that were received last.
pub(super) fn head(
    bytes: &[u8],
    from: usize,
    limits: &limits::Limits,
) -> Result<Option<Head>, refusal::Refusal> {
    let Some(length) = head::end(bytes, from) else {
        if bytes.len() > limits.max_header_bytes {
            return Err(refusal::Refusal::HEADER_TOO_LARGE);
        }
        check_partial(bytes)?;
        return Ok(None);
    };
    if length > limits.max_header_bytes {
        return Err(refusal::Refusal::HEADER_TOO_LARGE);
    }
    parse(&bytes[..length]).map(Some)
}

/// Refuses an incomplete head that cannot become valid, so that a caller with another protocol gets an error response at
/// once.
fn check_partial(bytes: &[u8]) -> Result<(), refusal::Refusal> {
    check_line_endings(bytes)?;
    let mut headers = [httparse::EMPTY_HEADER; head::MAX_HEADERS];
    match httparse::Request::new(&mut headers).parse(bytes) {
        Err(error) => Err(invalid(error)),
        Ok(_) => Ok(()),
    }
}

/// Refuses lines that end without a carriage return. `httparse` accepts them, but other servers may not.
fn check_line_endings(bytes: &[u8]) -> Result<(), refusal::Refusal> {
    let bare = |(at, byte): (usize, &u8)| *byte == b'\n' && (at == 0 || bytes[at - 1] != b'\r');
    if bytes.iter().enumerate().any(bare) {
        return Err(refusal::Refusal::invalid(
            "a line ends without a carriage return",
        ));
    }
    Ok(())
}

fn invalid(error: httparse::Error) -> refusal::Refusal {
    match error {
        httparse::Error::TooManyHeaders => refusal::Refusal::HEADER_TOO_LARGE,
        httparse::Error::HeaderName | httparse::Error::HeaderValue => {
            refusal::Refusal::invalid("invalid header line")
        }
        httparse::Error::Version => refusal::Refusal::invalid("unsupported protocol version"),
        _ => refusal::Refusal::invalid("invalid request line"),
    }
}

fn parse(bytes: &[u8]) -> Result<Head, refusal::Refusal> {
    check_line_endings(bytes)?;
    let mut parsed = [httparse::EMPTY_HEADER; head::MAX_HEADERS];
    let mut parser = httparse::Request::new(&mut parsed);
    parser.parse(bytes).map_err(invalid)?;
    let (Some(name), Some(target), Some(1)) = (parser.method, parser.path, parser.version) else {
        return Err(refusal::Refusal::invalid(
            "the protocol version must be HTTP/1.1",
        ));
    };
    if !target.starts_with('/') || !target.is_ascii() || target.contains('#') {
        return Err(refusal::Refusal::invalid(
            "the request target must be a path",
        ));
    }
    let method = http_types::Method::from_str(name)
        .map_err(|_| refusal::Refusal::invalid("unknown method"))?;
    // `Method::from_str` ignores case, but methods are case-sensitive.
    if method.as_ref() != name {
        return Err(refusal::Refusal::invalid("unknown method"));
    }
    let mut request = request::Request::new(name, target);
    request.headers = head::to_headers(parser.headers).map_err(refusal::Refusal::invalid)?;
    let headers = &request.headers;
    if headers.all("host").count() != 1 {
        return Err(refusal::Refusal::invalid(
            "exactly one host header is required",
        ));
    }
    let framing = head::framing(headers).map_err(refusal::Refusal::invalid)?;
    let expects_continue = expects_continue(headers)?;
    let close = headers.has_token("connection", "close");
    Ok(Head {
        length: bytes.len(),
        request,
        method,
        framing,
        expects_continue,
        close,
    })
}

fn expects_continue(headers: &headers::Headers) -> Result<bool, refusal::Refusal> {
    match headers.get("expect") {
        None => Ok(false),
        Some(value) if value.eq_ignore_ascii_case("100-continue") => Ok(true),
        Some(_) => Err(refusal::Refusal::invalid("unknown expectation")),
    }
}

/// Decodes the body of a completely received request.
///
/// In the `message` of a chunked body, the trailers are replaced by `\r\n`, which starts at `trailers`.
pub(super) async fn body(
    head: Head,
    message: Vec<u8>,
    trailers: usize,
) -> Result<request::Request, refusal::Refusal> {
    let mut request = head.request;
    if head.framing == scanner::Framing::None {
        return Ok(request);
    }
    if let scanner::Framing::Length(_) = head.framing {
        request.body = message[head.length..].to_vec();
        return Ok(request);
    }
    // `async-h1` limits the length of the head that it decodes. The body needs only the framing from the head, so a
    // minimal head is enough.
    let head_bytes = b"POST / HTTP/1.1\r\nhost: body\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut framed = head_bytes.to_vec();
    framed.extend_from_slice(&message[head.length..]);
    let replay = Replay {
        message: framed.into(),
        position: 0,
        trailers: trailers - head.length + head_bytes.len(),
    };
    let malformed = || refusal::Refusal::invalid("malformed request");
    let decoded = async_h1::server::decode(replay)
        .await
        .map_err(|_| malformed())?;
    let (mut decoded, _) = decoded.ok_or_else(malformed)?;
    let mut reader = decoded.take_body().into_reader();
    reader
        .read_to_end(&mut request.body)
        .await
        .map_err(|_| malformed())?;
    Ok(request)
}

/// A request in memory that `async-h1` reads like a socket.
///
/// A read never crosses the start of the trailers, because `async-h1` waits forever if it gets only part of them.
#[derive(Clone, Debug)]
struct Replay {
    message: sync::Arc<[u8]>,
    position: usize,
    trailers: usize,
}

impl futures_lite::AsyncRead for Replay {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
        buffer: &mut [u8],
    ) -> task::Poll<io::Result<usize>> {
        let end = if self.position < self.trailers {
            self.trailers
        } else {
            self.message.len()
        };
        let length = buffer.len().min(end - self.position);
        buffer[..length].copy_from_slice(&self.message[self.position..self.position + length]);
        self.position += length;
        task::Poll::Ready(Ok(length))
    }
}

impl futures_lite::AsyncWrite for Replay {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
        buffer: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        task::Poll::Ready(Ok(buffer.len()))
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        task::Poll::Ready(Ok(()))
    }

    fn poll_close(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        task::Poll::Ready(Ok(()))
    }
}
