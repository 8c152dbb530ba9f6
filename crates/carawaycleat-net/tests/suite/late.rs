//! A server whose thread is busy with another task: what has arrived meanwhile goes before what has expired.

use std::io::Write as _;
use std::net;
use std::thread;
use std::time;

use carawaycleat_net as http;

use crate::peer;

const LIMIT: time::Duration = time::Duration::from_millis(200);
/// More than the server reads before it gives way to other tasks.
const BODY_BYTES: usize = 200_000;

/// Keeps the only thread of `executor` busy for longer than [`LIMIT`]. Returns once it is.
fn block(executor: &http::Executor) {
    let (sender, blocked) = async_channel::bounded(1);
    let task = executor.spawn(async move {
        sender.try_send(()).expect("room");
        thread::sleep(3 * LIMIT);
    });
    task.detach();
    blocked.recv_blocking().expect("a busy thread");
}

/// Guards against a request that is refused or dropped by a timer that expired while the request was waiting to be read.
#[yare::parameterized(
    idle = { http::Limits::default().idle_timeout(LIMIT), 0 },
    head = { http::Limits::default().header_timeout(LIMIT), 20 },
    stalled_body = { http::Limits::default().body_stall_timeout(LIMIT), 100 },
    body = { http::Limits::default().body_timeout(LIMIT), 100 },
)]
fn reads_data_before_timers(limits: http::Limits, early: usize) {
    let executor = peer::background();
    let server = http::Server::bind(([127, 0, 0, 1], 0)).expect("a free port");
    let handle = server
        .limits(limits)
        .start(executor.clone(), |request| async move {
            http::Response::new(200).body(format!("{} bytes", request.body.len()))
        });
    let head = format!(
        "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    let request = (head + &"b".repeat(BODY_BYTES)).into_bytes();
    let stream = peer::connect(handle.local_address(), &request[..early]);
    // Lets the server read the first part.
    thread::sleep(LIMIT / 4);
    block(&executor);
    (&stream).write_all(&request[early..]).expect("sent");
    let response = peer::read_all(&stream);
    assert!(response.ends_with("200000 bytes"), "{response}");
}

/// Guards against a connection that is closed in front of its caller's next request, because the server began to close
/// idle connections during a response whose head promised to keep it.
#[yare::parameterized(
    streamed = { true },
    accepted = { false },
)]
fn serves_next_request_while_idle_connections_are_closed(streamed: bool) {
    let server = http::Server::bind(([127, 0, 0, 1], 0)).expect("a free port");
    let (sender, writers) = async_channel::unbounded();
    let handle = server.start(peer::background(), move |_| {
        let (writer, stream) = http::stream();
        sender.try_send(writer).expect("a receiver");
        async { http::Response::new(200).stream(stream) }
    });
    let get = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    let stream = peer::connect(handle.local_address(), if streamed { get } else { b"" });
    if streamed {
        let head = peer::read_until(&stream, "\r\n\r\n");
        assert!(!head.contains("connection: close"), "{head}");
    }
    while handle.counts().accepted == 0 {
        thread::yield_now();
    }
    handle.close_idle();
    if streamed {
        let writer = writers.recv_blocking().expect("a writer");
        writer.finish();
        peer::read_until(&stream, "0\r\n\r\n");
    }
    // The time in which a caller that has just read a response may send its next request.
    thread::sleep(time::Duration::from_millis(10));
    (&stream).write_all(get).expect("sent");
    let head = peer::read_until(&stream, "\r\n\r\n");
    assert!(head.contains("connection: close"), "{head}");
    writers.recv_blocking().expect("a writer").finish();
    assert_eq!(peer::read_all(&stream), "0\r\n\r\n");
    stream.shutdown(net::Shutdown::Both).expect("closed");
    futures_lite::future::block_on(handle.drain());
}

/// Guards against a request that is lost because its connection was waiting to be accepted when the listener was closed.
#[test]
fn serves_connections_that_wait_when_the_listener_closes() {
    let executor = peer::background();
    let server = http::Server::bind(([127, 0, 0, 1], 0)).expect("a free port");
    let handle = server.start(executor.clone(), |_| async {
        http::Response::new(200).body("done")
    });
    block(&executor);
    let get = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    let streams = [(); 3].map(|()| peer::connect(handle.local_address(), get));
    futures_lite::future::block_on(handle.drain());
    for stream in streams {
        let response = peer::read_all(&stream);
        assert!(response.ends_with("done"), "{response}");
    }
}
