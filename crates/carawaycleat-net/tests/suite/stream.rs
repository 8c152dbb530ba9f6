//! Streamed responses.

use std::io::Write as _;
use std::net;
use std::sync;
use std::thread;
use std::time;

use carawaycleat_net as http;

use crate::peer;

/// Starts a server that sends the writer of each streamed response to the returned receiver.
fn streaming() -> (http::Handle, async_channel::Receiver<http::Writer>) {
    let (sender, writers) = async_channel::unbounded();
    let server = http::Server::bind(([127, 0, 0, 1], 0)).expect("a free port");
    let handle = server.start(peer::background(), move |_| {
        let sender = sender.clone();
        async move {
            let (writer, stream) = http::stream();
            sender.send(writer).await.expect("a receiver");
            http::Response::new(200)
                .header("content-type", "text/event-stream")
                .stream(stream)
        }
    });
    (handle, writers)
}

async fn open(
    handle: &http::Handle,
    writers: &async_channel::Receiver<http::Writer>,
) -> (http::Reply, http::Writer) {
    let request = http::Request::new("GET", "/");
    let reply = http::Pool::default()
        .send(handle.local_address(), request, peer::TIMEOUT)
        .await
        .expect("a response");
    assert_eq!(reply.headers.get("Content-Type"), Some("text/event-stream"));
    (reply, writers.recv().await.expect("a writer"))
}

/// Guards against chunks that are buffered until the end, lost or reordered.
#[test]
fn sends_chunks_as_written() {
    peer::run(async |_| {
        let (handle, writers) = streaming();
        let (mut reply, writer) = open(&handle, &writers).await;
        for count in 0..3 {
            writer.send(format!("{count}")).await.expect("sent");
            let piece = reply
                .body
                .next_within(peer::TIMEOUT)
                .await
                .expect("a piece");
            assert_eq!(piece, Some(format!("{count}").into_bytes()));
        }
        writer
            .send("")
            .await
            .expect("an empty chunk does not end the body");
        writer.send("end").await.expect("sent");
        assert_eq!(handle.active_requests(), 1);
        writer.finish();
        assert_eq!(reply.bytes(10).await.expect("a clean end"), b"end");
    });
}

/// Guards against bytes that are lost when many chunks are joined in one write or read.
#[test]
fn joins_many_chunks() {
    peer::run(async |executor: sync::Arc<http::Executor>| {
        let (handle, writers) = streaming();
        let (reply, writer) = open(&handle, &writers).await;
        let expected: String = (0..20_000).map(|count| format!("{count},")).collect();
        let task = executor.spawn(async move {
            for count in 0..20_000 {
                writer.send(format!("{count},")).await.expect("sent");
            }
            writer.finish();
        });
        assert!(reply.bytes(1 << 20).await.expect("a body") == expected.into_bytes());
        task.await;
    });
}

/// Guards against an abandoned response that looks complete.
#[test]
fn dropped_writer_truncates_body() {
    peer::run(async |_| {
        let (handle, writers) = streaming();
        let (mut reply, writer) = open(&handle, &writers).await;
        writer.send("part").await.expect("sent");
        drop(writer);
        assert_eq!(
            reply.body.next().await.expect("a piece"),
            Some(b"part".to_vec())
        );
        assert!(matches!(
            reply.body.next().await,
            Err(http::Error::Incomplete)
        ));
        assert!(matches!(
            reply.body.next().await,
            Err(http::Error::Incomplete)
        ));
    });
}

/// Guards against work that continues after the caller has disconnected, while nothing is being written.
#[yare::parameterized(
    silent = { b"GET / HTTP/1.1\r\nhost: a\r\n\r\n" },
    with_pipelined_bytes = { b"GET / HTTP/1.1\r\nhost: a\r\n\r\nGET / HTTP/1.1\r\n" },
)]
fn writer_sees_disconnect(request: &[u8]) {
    let (handle, writers) = streaming();
    let stream = peer::connect(handle.local_address(), request);
    let writer = writers.recv_blocking().expect("a writer");
    peer::read_until(&stream, "\r\n\r\n");
    assert!(!writer.is_closed());
    stream.shutdown(net::Shutdown::Both).expect("closed");
    futures_lite::future::block_on(writer.closed());
    assert!(matches!(writer.try_send("late"), Err(http::Error::Closed)));
}

/// Guards against a request that is lost because it arrived while the response before it was being streamed: the head of
/// that response promised that the connection is kept.
#[yare::parameterized(
    whole = { 0, 1_000 },
    part = { 0, 500 },
    rest_behind_the_limit = { 40_000, 1_000 },
)]
fn serves_request_that_arrives_during_a_stream(body: usize, early: usize) {
    let (handle, writers) = streaming();
    let first = b"GET /1 HTTP/1.1\r\nhost: a\r\n\r\n";
    let stream = peer::connect(handle.local_address(), first);
    let writer = writers.recv_blocking().expect("a writer");
    let head = peer::read_until(&stream, "\r\n\r\n");
    assert!(!head.contains("connection: close"), "{head}");
    let second = format!("POST /2 HTTP/1.1\r\nhost: a\r\ncontent-length: {body}\r\n\r\n");
    let second = second + &"b".repeat(body);
    let early = second.len() * early / 1_000;
    (&stream)
        .write_all(&second.as_bytes()[..early])
        .expect("sent");
    // Lets the server read the bytes before the response ends.
    thread::sleep(time::Duration::from_millis(200));
    writer.finish();
    assert_eq!(peer::read_until(&stream, "0\r\n\r\n"), "0\r\n\r\n");
    (&stream)
        .write_all(&second.as_bytes()[early..])
        .expect("sent");
    let head = peer::read_until(&stream, "\r\n\r\n");
    assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
    writers.recv_blocking().expect("a writer").finish();
    assert_eq!(peer::read_until(&stream, "0\r\n\r\n"), "0\r\n\r\n");
    assert_eq!((handle.counts().accepted, handle.counts().requests), (1, 2));
}

/// Guards against an unbounded queue of chunks.
#[test]
fn stream_is_bounded() {
    let (writer, stream) = http::stream();
    let sent = (0..1000)
        .take_while(|_| writer.try_send("a").is_ok())
        .count();
    assert!((64..1000).contains(&sent));
    assert!(matches!(writer.try_send("a"), Err(http::Error::Full)));
    drop(stream);
    assert!(matches!(writer.try_send("a"), Err(http::Error::Closed)));
}
