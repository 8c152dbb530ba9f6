use std::io;
use std::io::Write as _;
use std::net;
use std::ops;
use std::time;

use futures_lite::AsyncReadExt as _;
use futures_lite::AsyncWriteExt as _;

use crate::budget;
use crate::error;
use crate::head;
use crate::limits;
use crate::pool::departure;
use crate::pool::idle;
use crate::pool::reader;
use crate::pool::reply;
use crate::pool::source;
use crate::pool::stage;
use crate::request;
use crate::scanner;

const READ_BYTES: usize = 4 * 1024;
/// The maximum length of a body that is sent in one write with the head.
const MAX_JOINED_BODY_BYTES: usize = 64 * 1024;
/// The maximum number of interim responses, each with a head of at most [`limits::MAX_HEAD_BYTES`], before a response.
const MAX_INTERIM_RESPONSES: usize = 16;
/// The statuses of HTTP, those of interim responses included.
const STATUSES: ops::RangeInclusive<u16> = 100..=599;
/// The status after which a connection carries another protocol. Requests ask for none.
const SWITCHING_PROTOCOLS: u16 = 101;
/// The status in the head that the decoder of a body gets: it rejects statuses without a registered name.
const DECODED_STATUS: &[u8; 3] = b"200";

/// Encodes the head of a request.
///
/// The encoder of `async-h1` is not used, because it takes a parsed URL, in which `..` and `%2e%2e` are resolved: the
/// request would reach a different path than the one that was checked.
pub(super) fn encode(
    request: &request::Request,
    address: net::SocketAddr,
) -> error::Result<Vec<u8>> {
    let target = request.target();
    if !target.starts_with('/') || !target.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(error::Error::malformed("the request target must be a path"));
    }
    if !is_token(&request.method) {
        return Err(error::Error::malformed("invalid method"));
    }
    let mut head = Vec::with_capacity(256 + request.body.len().min(MAX_JOINED_BODY_BYTES));
    write!(head, "{} {target} HTTP/1.1\r\n", request.method)?;
    if request.headers.get("host").is_none() {
        write!(head, "host: {address}\r\n")?;
    }
    for (name, value) in request.headers.iter() {
        let framing = ["content-length", "transfer-encoding", "expect"];
        if framing.iter().any(|other| name.eq_ignore_ascii_case(other)) {
            continue;
        }
        if !is_token(name)
            || !value
                .bytes()
                .all(|byte| byte == b'\t' || (b' '..=b'~').contains(&byte))
        {
            return Err(error::Error::malformed(format!("invalid header {name:?}")));
        }
        write!(head, "{name}: {value}\r\n")?;
    }
    if !request.body.is_empty() || !matches!(request.method.as_str(), "GET" | "HEAD") {
        write!(head, "content-length: {}\r\n", request.body.len())?;
    }
    head.extend_from_slice(b"\r\n");
    if request.body.len() <= MAX_JOINED_BODY_BYTES {
        head.extend_from_slice(&request.body);
    }
    Ok(head)
}

fn is_token(text: &str) -> bool {
    let token = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    !text.is_empty() && text.bytes().all(token)
}

/// Writes a request. The first byte that the socket accepts is recorded in `sent`.
pub(super) async fn write(
    mut stream: &async_io::Async<net::TcpStream>,
    head: &[u8],
    body: &[u8],
    sent: &mut departure::Departure<impl FnMut(stage::Stage) -> bool>,
) -> io::Result<()> {
    let body = if body.len() <= MAX_JOINED_BODY_BYTES {
        &[]
    } else {
        body
    };
    let mut budget = budget::Budget::default();
    for mut part in [head, body] {
        while !part.is_empty() {
            budget.turn().await;
            let length = stream.write(part).await?;
            if length == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            sent.record();
            budget.spend(length);
            part = &part[length..];
        }
    }
    Ok(())
}

/// Reads the head of the response.
pub(super) async fn read(
    stream: idle::Connection,
    mut recycler: idle::Recycler,
    is_head_request: bool,
    accepts_close_delimited: bool,
    is_first: bool,
) -> error::Result<reply::Reply> {
    let (head, length, mut bytes) = receive_head(&stream).await?;
    let no_body = is_head_request || matches!(head.status, 204 | 304);
    let framing = match head::framing(&head.headers).map_err(error::Error::malformed)? {
        _ if no_body => scanner::Framing::None,
        scanner::Framing::None if accepts_close_delimited => scanner::Framing::Close,
        // Without a length, a truncated body looks like a complete one.
        scanner::Framing::None => return Err(error::Error::Incomplete),
        framing => framing,
    };
    let reusable = !head.headers.has_token("connection", "close");
    recycler.set_keep_alive(keep_alive(&head.headers));
    if let Some(space) = bytes.iter().position(|byte| *byte == b' ') {
        bytes[space + 1..][..DECODED_STATUS.len()].copy_from_slice(DECODED_STATUS);
    }
    let (source, progress) = source::Source::new(stream.clone(), bytes, length, framing);
    let body: Option<reader::Body> = match framing {
        scanner::Framing::None => None,
        // `async-h1` treats a response without a length as empty.
        scanner::Framing::Close => Some(Box::new(futures_lite::io::BufReader::new(
            source.without_head(),
        ))),
        _ => {
            let mut decoded = async_h1::client::decode(source)
                .await
                .map_err(error::Error::malformed)?;
            Some(decoded.take_body().into_reader())
        }
    };
    let recycler = reusable.then_some(recycler);
    let is_close_delimited = framing == scanner::Framing::Close;
    let body = reader::Reader::new(body, progress, stream, recycler, is_close_delimited);
    Ok(reply::Reply {
        status: head.status,
        headers: head.headers,
        body,
        is_first,
    })
}

/// Receives until the head of the response is complete and skips interim responses, for example `100 Continue`. Returns
/// the head, its length, and all bytes from its start on.
async fn receive_head(
    stream: &async_io::Async<net::TcpStream>,
) -> error::Result<(Head, usize, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut interim_responses = 0;
    loop {
        match parse(&bytes)? {
            Some((head, length)) if head.status >= 200 => return Ok((head, length, bytes)),
            Some(_) if interim_responses == MAX_INTERIM_RESPONSES => {
                return Err(error::Error::malformed("too many interim responses"));
            }
            Some((head, length)) => {
                // What follows would be taken for the response.
                if has_body(&head.headers)? {
                    return Err(error::Error::malformed("an interim response with a body"));
                }
                interim_responses += 1;
                bytes.drain(..length);
            }
            None => receive(stream, &mut bytes).await?,
        }
    }
}

/// Returns whether the headers announce a body.
fn has_body(headers: &crate::Headers) -> error::Result<bool> {
    let framing = head::framing(headers).map_err(error::Error::malformed)?;
    Ok(!matches!(
        framing,
        scanner::Framing::None | scanner::Framing::Length(0)
    ))
}

/// Returns how long the server keeps an idle connection, if the `keep-alive` header says so.
fn keep_alive(headers: &crate::Headers) -> Option<time::Duration> {
    let value = headers.get("keep-alive")?;
    let parameters = value.split(',').map(str::trim);
    let seconds = parameters
        .filter_map(|parameter| parameter.strip_prefix("timeout="))
        .find_map(|seconds| seconds.parse().ok())?;
    Some(time::Duration::from_secs(seconds))
}

struct Head {
    status: u16,
    headers: crate::Headers,
}

/// Parses the head of a response and returns it with its length; none if more bytes are needed.
fn parse(bytes: &[u8]) -> error::Result<Option<(Head, usize)>> {
    let Some(length) = head::end(bytes, 0) else {
        if bytes.len() > limits::MAX_HEAD_BYTES {
            return Err(error::Error::TooLong(limits::MAX_HEAD_BYTES));
        }
        return Ok(None);
    };
    let mut parsed = [httparse::EMPTY_HEADER; head::MAX_HEADERS];
    let mut parser = httparse::Response::new(&mut parsed);
    let status = parser
        .parse(&bytes[..length])
        .map_err(error::Error::malformed)?;
    // `httparse` accepts bare line feeds, so that it may end the head earlier than at the first `\r\n\r\n`.
    if status != httparse::Status::Complete(length) || parser.version != Some(1) {
        return Err(error::Error::malformed("invalid response head"));
    }
    let headers = head::to_headers(parser.headers).map_err(error::Error::malformed)?;
    let status = parser.code.unwrap_or_default();
    if !STATUSES.contains(&status) || status == SWITCHING_PROTOCOLS {
        return Err(error::Error::malformed(format!("invalid status {status}")));
    }
    Ok(Some((Head { status, headers }, length)))
}

async fn receive(
    mut stream: &async_io::Async<net::TcpStream>,
    bytes: &mut Vec<u8>,
) -> error::Result<()> {
    let mut buffer = [0; READ_BYTES];
    match stream.read(&mut buffer).await? {
        0 => Err(error::Error::Incomplete),
        length => {
            bytes.extend_from_slice(&buffer[..length]);
            Ok(())
        }
    }
}
