//! Reports of requests without a complete response.

use std::io::Write as _;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use carawaycleat_net as http;

use crate::peer;

type Reports = async_channel::Receiver<http::Unanswered>;

/// What the handler of a request does, by the path of the request.
async fn handle(request: http::Request) -> http::Response {
    let (writer, stream) = http::stream();
    match request.path.as_str() {
        "/waits" => std::future::pending().await,
        "/aborts" => drop(writer),
        // The response does not end before the connection does.
        "/streams" => std::mem::forget(writer),
        "/large" => return http::Response::new(200).body(vec![b'a'; 64 << 20]),
        _ => writer.finish(),
    }
    http::Response::new(200).stream(stream)
}

/// Starts a server that reports its requests without a complete response to the returned receiver.
fn start(executor: sync::Arc<http::Executor>, limits: http::Limits) -> (http::Handle, Reports) {
    let (handle, reports, _) = start_counting(executor, limits);
    (handle, reports)
}

/// Starts a server like [`start`], and counts the requests whose handler has begun.
fn start_counting(
    executor: sync::Arc<http::Executor>,
    limits: http::Limits,
) -> (http::Handle, Reports, sync::Arc<atomic::AtomicUsize>) {
    let server = http::Server::bind(([127, 0, 0, 1], 0)).expect("a free port");
    let (sender, reports) = async_channel::unbounded();
    let server = server
        .limits(limits)
        .cancel_on_disconnect()
        .observe_unanswered("x-id", move |report| {
            sender.try_send(report).expect("a receiver");
        });
    let begun = sync::Arc::new(atomic::AtomicUsize::new(0));
    let counter = begun.clone();
    let handle = server.start(executor, move |request| {
        counter.fetch_add(1, atomic::Ordering::SeqCst);
        handle(request)
    });
    (handle, reports, begun)
}

fn next(reports: &Reports) -> http::Unanswered {
    let report = async { reports.recv().await.ok() };
    let timeout = async {
        async_io::Timer::after(peer::TIMEOUT).await;
        None
    };
    futures_lite::future::block_on(futures_lite::future::or(report, timeout)).expect("a report")
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\nx-id: 7\r\n\r\n")
}

fn disconnect(_: &http::Handle, stream: &net::TcpStream) {
    stream.shutdown(net::Shutdown::Both).expect("closed");
}

fn abort(handle: &http::Handle, _: &net::TcpStream) {
    handle.abort();
}

fn wait(_: &http::Handle, _: &net::TcpStream) {}

/// Guards against requests that end without a response and without a trace of which side ended them.
#[yare::parameterized(
    gone_during_handler = { &get("/waits"), "", disconnect, http::Reason::GoneDuringHandler, false },
    gone_during_stream = { &get("/streams"), "\r\n\r\n", disconnect, http::Reason::GoneDuringStream, true },
    aborted_in_handler = { &get("/waits"), "", abort, http::Reason::ServerAborted, false },
    aborted_in_stream = { &get("/streams"), "\r\n\r\n", abort, http::Reason::ServerAborted, true },
    stream_aborted = { &get("/aborts"), "", wait, http::Reason::StreamAborted, true },
    write_timed_out = { &get("/large"), "HTTP", wait, http::Reason::WriteTimedOut, true },
    write_failed = { &get("/large"), "HTTP", disconnect, http::Reason::WriteFailed, true },
    body_too_slow = { "POST / HTTP/1.1\r\nhost: a\r\nx-id: 7\r\ncontent-length: 9\r\n\r\n12", "", wait, http::Reason::TooSlow, false },
    body_truncated = { "POST / HTTP/1.1\r\nhost: a\r\nx-id: 7\r\ncontent-length: 9\r\n\r\n12", "", disconnect, http::Reason::Truncated, false },
)]
fn reports_reason(
    request: &str,
    until: &str,
    end: fn(&http::Handle, &net::TcpStream),
    reason: http::Reason,
    head_written: bool,
) {
    const STALL: time::Duration = time::Duration::from_millis(500);
    let limits = http::Limits::default()
        .body_stall_timeout(STALL)
        .write_stall_timeout(STALL);
    let (handle, reports, begun) = start_counting(peer::background(), limits);
    let stream = peer::connect(handle.local_address(), request.as_bytes());
    // A caller that leaves before the handler begins is reported with another reason.
    let is_whole = request.ends_with("\r\n\r\n");
    let is_begun = || match is_whole {
        true => begun.load(atomic::Ordering::SeqCst) > 0,
        false => handle.active_requests() > 0,
    };
    while !is_begun() && reports.is_empty() {
        std::thread::yield_now();
    }
    peer::read_until(&stream, until);
    if handle.active_requests() > 0 {
        assert_eq!(handle.unfinished().len(), 1);
    }
    end(&handle, &stream);
    let report = next(&reports);
    assert_eq!(
        (report.id.as_deref(), report.reason, report.head_written),
        (Some("7"), reason, head_written)
    );
    assert!(handle.unfinished().is_empty() && reports.is_empty());
}

/// Guards against a head that breaks off or arrives too slowly without a trace.
#[yare::parameterized(
    too_slow = { wait, http::Reason::TooSlow },
    truncated = { disconnect, http::Reason::Truncated },
)]
fn reports_partial_head(end: fn(&http::Handle, &net::TcpStream), reason: http::Reason) {
    let limits = http::Limits::default().header_timeout(time::Duration::from_millis(100));
    let (handle, reports) = start(peer::background(), limits);
    let stream = peer::connect(handle.local_address(), b"GET / HTTP/1.1\r\n");
    end(&handle, &stream);
    let report = next(&reports);
    assert_eq!((report.id, report.reason), (None, reason));
}

/// Guards against a pipelined request that disappears without a trace when its connection is closed.
#[test]
fn reports_discarded_request() {
    let (handle, reports) = start(peer::background(), http::Limits::default());
    let pipelined = get("/first").replace("x-id: 7", "x-id: 6") + &get("/second");
    let mut stream = peer::connect(handle.local_address(), pipelined.as_bytes());
    stream.flush().expect("sent");
    assert!(peer::read_all(&stream).contains("connection: close"));
    drop(stream);
    let report = next(&reports);
    assert_eq!(
        (report.id.as_deref(), report.reason),
        (Some("7"), http::Reason::Discarded)
    );
}

/// Guards against reports of requests that were answered.
#[test]
fn reports_no_answered_request() {
    let (handle, reports) = start(peer::background(), http::Limits::default());
    let stream = peer::connect(handle.local_address(), get("/").as_bytes());
    peer::read_until(&stream, "0\r\n\r\n");
    drop(stream);
    futures_lite::future::block_on(handle.drain());
    assert!(reports.is_empty());
}

/// Guards against refusals that leave no trace.
#[yare::parameterized(
    invalid = { http::Limits::default(), "GET / HTTP/1.1\r\n\r\n", None, 400, "invalid_request" },
    long_body = { http::Limits::default(), "POST / HTTP/1.1\r\nhost: a\r\nx-id: 7\r\ncontent-length: 999999999\r\n\r\n", Some("7"), 413, "body_too_large" },
    busy = { http::Limits::default().max_requests(0), &get("/"), Some("7"), 503, "queue_full" },
    connections = { http::Limits::default().max_connections(0), &get("/"), None, 503, "queue_full" },
)]
fn reports_refusal(
    limits: http::Limits,
    request: &str,
    id: Option<&str>,
    status: u16,
    code: &'static str,
) {
    let (handle, reports) = start(peer::background(), limits);
    let stream = peer::connect(handle.local_address(), request.as_bytes());
    assert!(peer::read_all(&stream).starts_with(&format!("HTTP/1.1 {status} ")));
    let report = next(&reports);
    let reason = http::Reason::Refused { status, code };
    assert_eq!((report.id.as_deref(), report.reason), (id, reason));
    assert!(reports.is_empty());
}

/// Guards against work for a caller that has disconnected by the time its request is read: the handler must not be
/// started, and the request is reported.
#[test]
fn starts_no_handler_for_disconnected_caller() {
    peer::run(async |executor| {
        let (entered, entries) = async_channel::unbounded::<()>();
        let (abandoned, reports) = async_channel::unbounded();
        let server = http::Server::bind(([127, 0, 0, 1], 0)).expect("a free port");
        let server = server
            .cancel_on_disconnect()
            .observe_unanswered("x-id", move |unanswered| {
                abandoned.try_send(unanswered).expect("a receiver");
            });
        // Before the server runs, the request and the end of its connection are already there.
        drop(peer::connect(
            server.local_address(),
            b"GET /late HTTP/1.1\r\nhost: a\r\nx-id: late\r\n\r\n",
        ));
        let handle = server.start(executor, move |_| {
            entered.try_send(()).expect("a receiver");
            std::future::pending()
        });
        let report = futures_lite::future::or(async { reports.recv().await.ok() }, async {
            async_io::Timer::after(peer::TIMEOUT).await;
            None
        });
        let report = report.await.expect("a report");
        assert_eq!(report.id.as_deref(), Some("late"));
        assert_eq!(report.reason, http::Reason::GoneBeforeHandler);
        handle.drain().await;
        assert!(entries.is_empty(), "the handler was started");
    });
}

/// Guards against a request that was read during the response before it, and disappears without a trace when that response
/// breaks off.
#[yare::parameterized(
    aborted = { |writer: http::Writer, _: &net::TcpStream| drop(writer), http::Reason::StreamAborted },
    disconnected = { |writer: http::Writer, stream: &net::TcpStream| {
        stream.shutdown(net::Shutdown::Both).expect("closed");
        futures_lite::future::block_on(writer.closed());
    }, http::Reason::GoneDuringStream },
)]
fn reports_request_behind_a_broken_response(
    end: fn(http::Writer, &net::TcpStream),
    reason: http::Reason,
) {
    let server = http::Server::bind(([127, 0, 0, 1], 0)).expect("a free port");
    let (sender, reports) = async_channel::unbounded();
    let (opened, writers) = async_channel::unbounded();
    let handle = server
        .observe_unanswered("x-id", move |report| {
            sender.try_send(report).expect("a receiver");
        })
        .start(peer::background(), move |_| {
            let (writer, stream) = http::stream();
            opened.try_send(writer).expect("a receiver");
            async { http::Response::new(200).stream(stream) }
        });
    let mut stream = peer::connect(handle.local_address(), get("/first").as_bytes());
    peer::read_until(&stream, "\r\n\r\n");
    let second = get("/second").replace("x-id: 7", "x-id: 8");
    stream.write_all(second.as_bytes()).expect("sent");
    // Lets the server read the second request.
    std::thread::sleep(time::Duration::from_millis(100));
    end(writers.recv_blocking().expect("a writer"), &stream);
    let reasons = [next(&reports), next(&reports)].map(|report| (report.id, report.reason));
    let expected = [("7", reason), ("8", http::Reason::Discarded)];
    for (id, reason) in expected {
        assert!(
            reasons.contains(&(Some(id.to_owned()), reason)),
            "{reasons:?}"
        );
    }
}
