//! Idle connections that the server closes while their callers may send the next request.

use std::io::Write as _;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use carawaycleat_net as http;

use crate::peer;

/// An idle timeout that a test reaches at once.
const SHORT: time::Duration = time::Duration::from_millis(100);

fn get(id: u32) -> Vec<u8> {
    format!("GET / HTTP/1.1\r\nhost: a\r\nx-id: {id}\r\n\r\n").into_bytes()
}

/// Waits until the server has sent something or has closed the connection.
fn wait_for_bytes(stream: &net::TcpStream) -> usize {
    stream.peek(&mut [0]).expect("an open connection")
}

fn close_idle(handle: &http::Handle) {
    handle.close_idle();
}

fn wait(_: &http::Handle) {}

/// Guards against a request that gets neither a response nor a refusal because it crosses the close of its idle
/// connection: its caller could not know whether it has run.
#[yare::parameterized(
    stop = { http::Limits::default(), close_idle },
    idle_timeout = { http::Limits::default().idle_timeout(SHORT), wait },
    shorter_idle_timeout = { http::Limits::default().idle_timeout(5 * SHORT), |handle: &http::Handle| {
        handle.set_limits(http::Limits::default().idle_timeout(SHORT));
    } },
)]
fn refuses_request_that_crosses_the_close(limits: http::Limits, close: fn(&http::Handle)) {
    let (sender, reports) = async_channel::unbounded();
    let runs = sync::Arc::new(atomic::AtomicUsize::new(0));
    let counter = runs.clone();
    let server = http::Server::bind(([127, 0, 0, 1], 0))
        .expect("a free port")
        .limits(limits)
        .observe_unanswered("x-id", move |report| {
            sender.try_send(report).expect("a receiver");
        });
    let handle = server.start(peer::background(), move |_| {
        counter.fetch_add(1, atomic::Ordering::SeqCst);
        async { http::Response::new(200).body("done") }
    });
    let mut stream = peer::connect(handle.local_address(), &get(6));
    peer::read_until(&stream, "done");
    close(&handle);
    assert_eq!(wait_for_bytes(&stream), 1, "closed without a refusal");
    // The caller has not read anything yet, as if the refusal were still on its way.
    stream.write_all(&get(7)).expect("sent");
    let response = peer::read_all(&stream);
    assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
    for part in [
        "connection: close\r\n",
        "carawaycleat-outcome: not_run\r\n",
        "connection_idle",
    ] {
        assert!(response.to_ascii_lowercase().contains(part), "{response}");
    }
    drop(stream);
    let report = reports.recv_blocking().expect("a report");
    let reason = http::Reason::Refused {
        status: 408,
        code: "connection_idle",
    };
    assert_eq!((report.id.as_deref(), report.reason), (Some("7"), reason));
    assert_eq!(runs.load(atomic::Ordering::SeqCst), 1);
    futures_lite::future::block_on(handle.drain());
    assert!(reports.is_empty());
}

/// Guards against a stop that waits for a caller who goes on sending on a connection that was closed because it was idle.
#[test]
fn caller_that_keeps_sending_does_not_hold_the_stop() {
    const BOUND: time::Duration = time::Duration::from_secs(3);
    let server = http::Server::bind(([127, 0, 0, 1], 0)).expect("a free port");
    let handle = server.start(peer::background(), |_| async {
        http::Response::new(200).body("done")
    });
    let stream = peer::connect(handle.local_address(), &get(1));
    peer::read_until(&stream, "done");
    close_idle(&handle);
    wait_for_bytes(&stream);
    let started = time::Instant::now();
    thread::spawn(move || {
        // The server ends the connection at the latest when it drops it.
        while started.elapsed() < 4 * BOUND && (&stream).write_all(b"x").is_ok() {
            thread::sleep(SHORT);
        }
    });
    futures_lite::future::block_on(handle.drain());
    assert!(started.elapsed() < BOUND, "{:?}", started.elapsed());
}

/// Guards against reports of idle connections whose callers send nothing, and against a stop that waits for such callers.
#[test]
fn closes_silent_connections_without_a_report() {
    const BOUND: time::Duration = time::Duration::from_millis(1_000);
    let (sender, reports) = async_channel::unbounded();
    let server = http::Server::bind(([127, 0, 0, 1], 0))
        .expect("a free port")
        .observe_unanswered("x-id", move |report| {
            sender.try_send(report).expect("a receiver");
        });
    let handle = server.start(peer::background(), |_| async {
        http::Response::new(200).body("done")
    });
    let streams: Vec<_> = (0..30)
        .map(|id| {
            let stream = peer::connect(handle.local_address(), &get(id));
            peer::read_until(&stream, "done");
            stream
        })
        .collect();
    let started = time::Instant::now();
    futures_lite::future::block_on(handle.drain());
    assert!(started.elapsed() < BOUND, "{:?}", started.elapsed());
    assert!(reports.is_empty() && handle.counts().malformed == 0);
    drop(streams);
}
