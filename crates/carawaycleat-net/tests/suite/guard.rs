//! Validation and limits of incoming requests, many of which `async-h1` would accept or drop without a response.

use std::io::Write as _;
use std::net;
use std::thread;
use std::time;

use carawaycleat_net as http;

use crate::peer;

const HOST: &str = "host: a\r\n";

fn post(headers: &str, body: &str) -> String {
    format!("POST /x HTTP/1.1\r\n{HOST}{headers}\r\n{body}")
}

/// Guards against a malformed request that is dropped without a response, or run although it is ambiguous.
#[yare::parameterized(
    lengths_differ = { &post("content-length: 3\r\ncontent-length: 4\r\n", "abcd") },
    length_negative = { &post("content-length: -1\r\n", "") },
    length_signed = { &post("content-length: +1\r\n", "a") },
    length_list = { &post("content-length: 1, 1\r\n", "a") },
    length_and_chunked = { &post("content-length: 3\r\ntransfer-encoding: chunked\r\n", "0\r\n\r\n") },
    encoding_unknown = { &post("transfer-encoding: gzip, chunked\r\n", "0\r\n\r\n") },
    encoding_twice = { &post("transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n", "0\r\n\r\n") },
    chunk_size_empty = { &post("transfer-encoding: chunked\r\n", "\r\n\r\n") },
    chunk_size_invalid = { &post("transfer-encoding: chunked\r\n", "xyz\r\n") },
    chunk_size_endless = { &post("transfer-encoding: chunked\r\n", &"0".repeat(16)) },
    chunk_extension = { &post("transfer-encoding: chunked\r\n", "1;a=b\r\na\r\n0\r\n\r\n") },
    chunk_extension_endless = { &post("transfer-encoding: chunked\r\n", &format!("1;{}", "a".repeat(9000))) },
    trailers_endless = { &post("transfer-encoding: chunked\r\n", &format!("0\r\n{}", "a: b\r\n".repeat(1000))) },
    trailer_line_endless = { &post("transfer-encoding: chunked\r\n", &format!("0\r\n{}", "a".repeat(5000))) },
    chunk_end_missing = { &post("transfer-encoding: chunked\r\n", "1\r\nabc") },
    host_missing = { "GET / HTTP/1.1\r\n\r\n" },
    host_twice = { "GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n" },
    folded_line = { &post("a: b\r\n c\r\n", "") },
    space_before_colon = { &post("a : b\r\n", "") },
    bare_line_feed = { "GET / HTTP/1.1\nhost: a\r\n\r\n" },
    not_ascii = { &post("a: \u{e9}\r\n", "") },
    garbage = { "garbage\r\n" },
    garbage_without_line = { "\u{16}\u{3}\u{1}" },
    old_version = { "GET / HTTP/1.0\r\nhost: a\r\n\r\n" },
    relative_target = { "GET x HTTP/1.1\r\nhost: a\r\n\r\n" },
    method_unknown = { "NONSENSE / HTTP/1.1\r\nhost: a\r\n\r\n" },
    method_lower_case = { "get / HTTP/1.1\r\nhost: a\r\n\r\n" },
)]
fn answers_400(request: &str) {
    let handle = peer::echo(http::Limits::default());
    let stream = peer::connect(handle.local_address(), request.as_bytes());
    let response = peer::read_all(&stream);
    check(&response, 400, "invalid_request");
    assert_eq!(handle.counts().malformed, 1);
    assert_eq!(handle.counts().requests, 0);
}

fn check(response: &str, status: u16, code: &str) {
    assert!(
        response.starts_with(&format!("HTTP/1.1 {status} ")),
        "{response}"
    );
    let response_lower = response.to_ascii_lowercase();
    assert!(
        response_lower.contains("carawaycleat-outcome: not_run\r\n"),
        "{response}"
    );
    assert!(
        response_lower.contains("connection: close\r\n"),
        "{response}"
    );
    assert!(
        response_lower.contains("content-type: application/json\r\n"),
        "{response}"
    );
    assert_eq!(
        response_lower.contains("retry-after: 1\r\n"),
        status == 503,
        "{response}"
    );
    let (_, body) = response.split_once("\r\n\r\n").expect("a body");
    let body: serde_json::Value = serde_json::from_str(body).expect("JSON");
    assert_eq!(body["error"]["code"], code);
    // The same error type as in a refusal with this status by an entry host.
    let kind = match status {
        503 => "server_error",
        _ => "invalid_request_error",
    };
    assert_eq!(body["error"]["type"], kind);
    assert_eq!(body["error"]["outcome"], "not_run");
    assert!(body["error"]["message"].is_string());
}

/// Guards against an unbounded header section.
#[yare::parameterized(
    too_many = { &"a: b\r\n".repeat(400) },
    too_long = { &format!("a: {}\r\n", "b".repeat(9000)) },
)]
fn answers_431(headers: &str) {
    let handle = peer::echo(http::Limits::default());
    let stream = peer::connect(handle.local_address(), post(headers, "").as_bytes());
    check(&peer::read_all(&stream), 431, "header_too_large");
    assert_eq!(handle.counts().malformed, 1);
}

/// Guards against an unbounded body, with a declared length or chunked.
#[yare::parameterized(
    declared = { "content-length: 11\r\n", "" },
    chunked = { "transfer-encoding: chunked\r\n", "b\r\n01234567890\r\n" },
)]
fn answers_413(headers: &str, body: &str) {
    let handle = peer::echo(http::Limits::default().max_body_bytes(10));
    let stream = peer::connect(handle.local_address(), post(headers, body).as_bytes());
    check(&peer::read_all(&stream), 413, "body_too_large");
    assert_eq!(handle.counts().requests, 0);
}

/// Guards against a refusal that its caller never sees, because the connection is reset while the caller still sends the
/// body.
#[yare::parameterized(
    too_large = { http::Limits::default(), 8 << 20, 64 * 1024, time::Duration::ZERO, 413, "body_too_large" },
    too_busy = { http::Limits::default().max_requests(0), 3 << 20, 64 * 1024, time::Duration::ZERO, 503, "queue_full" },
    slow = { http::Limits::default().max_body_bytes(10), 20_000, 1_000, SHORT, 413, "body_too_large" },
)]
fn refusal_reaches_caller_that_sends_its_whole_body(
    limits: http::Limits,
    length: usize,
    piece: usize,
    pause: time::Duration,
    status: u16,
    code: &str,
) {
    let handle = peer::echo(limits);
    let head = post(&format!("content-length: {length}\r\n"), "");
    let mut stream = peer::connect(handle.local_address(), head.as_bytes());
    for _ in 0..length / piece {
        stream.write_all(&vec![b'a'; piece]).expect("not reset");
        thread::sleep(pause);
    }
    check(&peer::read_all(&stream), status, code);
}

/// Guards against a connection that is read without end after its refusal.
#[test]
fn refused_caller_is_not_read_without_end() {
    let handle = peer::echo(http::Limits::default().max_body_bytes(10));
    let head = post("content-length: 999999999999\r\n", "");
    let mut stream = peer::connect(handle.local_address(), head.as_bytes());
    let started = time::Instant::now();
    while stream.write_all(&[b'a'; 64 * 1024]).is_ok() {
        assert!(started.elapsed() < peer::TIMEOUT, "still read");
    }
    while handle.counts().open > 0 {
        assert!(started.elapsed() < peer::TIMEOUT, "still open");
        thread::yield_now();
    }
}

/// Guards against running the handler with a truncated body.
#[yare::parameterized(
    length = { "content-length: 9\r\n", "abc" },
    chunked_in_chunk = { "transfer-encoding: chunked\r\n", "5\r\nabc" },
    chunked_before_last = { "transfer-encoding: chunked\r\n", "3\r\nabc\r\n" },
    chunked_before_trailers = { "transfer-encoding: chunked\r\n", "3\r\nabc\r\n0\r\n" },
    chunked_before_line_feed = { "transfer-encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r" },
)]
fn does_not_run_truncated_request(headers: &str, body: &str) {
    let handle = peer::echo(http::Limits::default());
    let stream = peer::connect(handle.local_address(), post(headers, body).as_bytes());
    stream.shutdown(net::Shutdown::Write).expect("half-closed");
    assert_eq!(peer::read_all(&stream), "");
    assert_eq!(handle.counts().requests, 0);
    assert_eq!(handle.counts().malformed, 1);
}

/// Guards against a pipelined request that gets neither a response nor a closed connection.
#[test]
fn closes_after_pipelined_request() {
    let handle = peer::echo(http::Limits::default());
    let two = "GET /1 HTTP/1.1\r\nhost: a\r\n\r\nGET /2 HTTP/1.1\r\nhost: a\r\n\r\n";
    let stream = peer::connect(handle.local_address(), two.as_bytes());
    let response = peer::read_all(&stream);
    assert!(response.contains("connection: close\r\n"), "{response}");
    assert!(response.ends_with("GET /1 "), "{response}");
    assert_eq!(handle.counts().requests, 1);
}

/// Guards against a hang when the last bytes of a chunked body arrive one by one, in which case the task of `async-h1` is
/// never woken.
#[test]
fn reads_chunked_body_byte_by_byte() {
    let handle = peer::echo(http::Limits::default());
    let stream = peer::connect(handle.local_address(), b"");
    stream.set_nodelay(true).expect("a socket");
    let request = post(
        "transfer-encoding: chunked\r\nconnection: close\r\n",
        "3\r\nabc\r\n2\r\nde\r\n0\r\nt: 1\r\n\r\n",
    );
    for byte in request.bytes() {
        (&stream).write_all(&[byte]).expect("sent");
        thread::sleep(time::Duration::from_millis(1));
    }
    assert!(peer::read_all(&stream).ends_with("POST /x abcde"));
}

/// Guards against a failure when the end of a chunked body crosses a buffer boundary in `async-h1`.
#[test]
fn reads_chunked_body_of_any_length() {
    let handle = peer::echo(http::Limits::default());
    for length in (8100..8200).chain([16_000, 70_000]) {
        let body = format!("{length:x}\r\n{}\r\n0\r\n\r\n", "a".repeat(length));
        let request = post("transfer-encoding: chunked\r\nconnection: close\r\n", &body);
        let stream = peer::connect(handle.local_address(), request.as_bytes());
        let response = peer::read_all(&stream);
        assert_eq!(
            response.len() - response.find("POST /x ").expect("the body"),
            length + 8
        );
    }
}

const SHORT: time::Duration = time::Duration::from_millis(100);

/// Guards against a caller that occupies a connection by sending slowly.
#[yare::parameterized(
    head = { http::Limits::default().header_timeout(SHORT), "GET / HTTP/1.1\r\n", "a" },
    silent_body = { http::Limits::default().body_stall_timeout(SHORT), &post("content-length: 9\r\n", "ab"), "" },
    endless_body = { http::Limits::default().body_timeout(5 * SHORT), &post("content-length: 999\r\n", "ab"), "a" },
)]
fn refuses_slow_request(limits: http::Limits, start: &str, repeated: &str) {
    let handle = peer::echo(limits);
    let stream = peer::connect(handle.local_address(), start.as_bytes());
    let sender = stream.try_clone().expect("a socket");
    let started = time::Instant::now();
    thread::spawn(move || {
        while started.elapsed() < peer::TIMEOUT && (&sender).write_all(repeated.as_bytes()).is_ok()
        {
            thread::sleep(SHORT / 4);
        }
    });
    check(&peer::read_all(&stream), 408, "invalid_request");
    assert!(started.elapsed() < 20 * SHORT, "{:?}", started.elapsed());
}

/// Guards against a request that has arrived in part when the server ends, and gets no answer.
#[yare::parameterized(
    head = { "GET / HTTP/1.1\r\n" },
    body = { &post("content-length: 9\r\n", "ab") },
    chunked_body = { &post("transfer-encoding: chunked\r\n", "1\r\na\r\n") },
)]
fn refuses_incomplete_request_of_a_stopping_server(start: &str) {
    let handle = peer::echo(http::Limits::default());
    let stream = peer::connect(handle.local_address(), start.as_bytes());
    // Lets the server read the first part.
    thread::sleep(SHORT);
    handle.refuse_incomplete();
    check(&peer::read_all(&stream), 503, "shutting_down");
    assert_eq!(handle.counts().requests, 0);
    drop(stream);
    futures_lite::future::block_on(handle.drain());
}

/// Guards against a limit on idle connections that cuts callers which send or read slowly.
#[yare::parameterized(
    head = { "GET / HTTP/1.1\r\n", "host: a\r\n\r\n", "GET / " },
    body = { &post("content-length: 2\r\n", "a"), "b", "POST /x ab" },
    chunked_body = { &post("transfer-encoding: chunked\r\n", "1\r\na\r\n"), "0\r\n\r\n", "POST /x a" },
)]
fn idle_timeout_spares_slow_request(start: &str, rest: &str, end: &str) {
    let handle = peer::echo(http::Limits::default().idle_timeout(SHORT));
    let stream = peer::connect(handle.local_address(), start.as_bytes());
    thread::sleep(4 * SHORT);
    (&stream).write_all(rest.as_bytes()).expect("sent");
    let response = peer::read_until(&stream, end);
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    // The connection is idle from now on.
    check(&peer::read_all(&stream), 408, "connection_idle");
}

/// Guards against a response that is cut because its caller pauses for longer than a connection may be idle.
#[test]
fn idle_timeout_spares_slow_reader() {
    const LENGTH: usize = 32 << 20;
    let server = http::Server::bind(([127, 0, 0, 1], 0)).expect("a free port");
    let server = server.limits(http::Limits::default().idle_timeout(SHORT));
    let handle = server.start(peer::background(), |_| async {
        http::Response::new(200).body(vec![b'a'; LENGTH])
    });
    let get = format!("GET / HTTP/1.1\r\n{HOST}connection: close\r\n\r\n");
    let stream = peer::connect(handle.local_address(), get.as_bytes());
    thread::sleep(4 * SHORT);
    let response = peer::read_all(&stream);
    assert_eq!(
        response.len() - response.find("aa").expect("a body"),
        LENGTH
    );
}

/// Guards against idle connections that are never closed.
#[test]
fn closes_idle_connection() {
    let handle = peer::echo(http::Limits::default().idle_timeout(time::Duration::from_millis(100)));
    let stream = peer::connect(handle.local_address(), b"");
    assert_eq!(peer::read_all(&stream), "");
    assert_eq!(handle.counts().malformed, 0);
}

/// Guards against a refused connection that gets no error response.
#[test]
fn refuses_connection_over_limit() {
    let handle = peer::echo(http::Limits::default().max_connections(1));
    let first = peer::connect(handle.local_address(), post("", "").as_bytes());
    peer::read_until(&first, "POST /x ");
    let second = peer::connect(handle.local_address(), post("", "").as_bytes());
    check(&peer::read_all(&second), 503, "queue_full");
    assert_eq!((handle.counts().accepted, handle.counts().refused), (1, 1));
}

/// Guards against a request that is lost because its connection was closed after an idle timeout that is not in force any
/// more.
#[test]
fn longer_idle_timeout_holds_for_idle_connections() {
    let short = time::Duration::from_millis(300);
    let handle = peer::echo(http::Limits::default().idle_timeout(short));
    let stream = peer::connect(handle.local_address(), b"");
    // The connection is accepted and idle before the limits change.
    while handle.counts().accepted == 0 {
        thread::yield_now();
    }
    handle.set_limits(http::Limits::default().idle_timeout(peer::TIMEOUT));
    thread::sleep(short * 2);
    (&stream)
        .write_all(b"GET /late HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .expect("sent");
    assert!(peer::read_all(&stream).ends_with("GET /late "));
}

/// Guards against a request that is lost because its caller does not know yet that the idle timeout is shorter.
#[test]
fn shorter_idle_timeout_takes_effect_after_the_earlier_one() {
    let earlier = 10 * SHORT;
    let handle = peer::echo(http::Limits::default().idle_timeout(earlier));
    handle.set_limits(http::Limits::default().idle_timeout(SHORT));
    let started = time::Instant::now();
    let stream = peer::connect(handle.local_address(), b"");
    thread::sleep(3 * SHORT);
    (&stream)
        .write_all(b"GET /late HTTP/1.1\r\nhost: a\r\n\r\n")
        .expect("sent");
    peer::read_until(&stream, "GET /late ");
    thread::sleep(earlier.saturating_sub(started.elapsed()));
    let since = time::Instant::now();
    let later = peer::connect(handle.local_address(), b"");
    assert_eq!(peer::read_all(&later), "");
    assert!(since.elapsed() < earlier / 2, "{:?}", since.elapsed());
}
