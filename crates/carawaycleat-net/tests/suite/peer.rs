//! Raw TCP peers, and a server that responds with the request that its handler received.

use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::sync;
use std::thread;
use std::time;

use carawaycleat_net as http;

/// The timeout of every wait; a passing test does not reach it.
pub(crate) const TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Runs a test and the tasks that it spawns on one executor.
pub(crate) fn run<T>(test: impl AsyncFnOnce(sync::Arc<http::Executor>) -> T) -> T {
    let executor = sync::Arc::new(http::Executor::new());
    futures_lite::future::block_on(executor.clone().run(test(executor)))
}

/// Runs an executor on a separate thread, for tests with a blocking peer.
pub(crate) fn background() -> sync::Arc<http::Executor> {
    let executor = sync::Arc::new(http::Executor::new());
    let runner = executor.clone();
    thread::spawn(move || futures_lite::future::block_on(runner.run(std::future::pending::<()>())));
    executor
}

/// Starts a server whose response body is the method, target and body of the request.
pub(crate) fn echo(limits: http::Limits) -> http::Handle {
    let server = http::Server::bind(([127, 0, 0, 1], 0))
        .expect("a free port")
        .limits(limits);
    server.start(background(), |request: http::Request| async move {
        let mut body = format!("{} {} ", request.method, request.target()).into_bytes();
        body.extend_from_slice(&request.body);
        http::Response::new(200).body(body)
    })
}

/// Connects and sends `bytes`.
pub(crate) fn connect(address: net::SocketAddr, bytes: &[u8]) -> net::TcpStream {
    let mut stream = net::TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    stream.write_all(bytes).expect("sent");
    stream
}

/// Reads until the server closes the connection.
pub(crate) fn read_all(mut stream: &net::TcpStream) -> String {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).expect("closed in time");
    String::from_utf8(bytes).expect("text")
}

/// Reads until the received text ends with `end`.
pub(crate) fn read_until(mut stream: &net::TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut byte = [0];
    while !text.ends_with(end) {
        stream.read_exact(&mut byte).expect("more bytes in time");
        text.push(char::from(byte[0]));
    }
    text
}

/// Starts a peer that reads one request head per connection, sends the n-th of `responses` on the n-th connection and
/// closes it. The pieces of a response are sent in separate writes.
pub(crate) fn responding(responses: Vec<Vec<&'static [u8]>>) -> net::SocketAddr {
    let listener = net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for response in responses {
            let (stream, _) = listener.accept().expect("a connection");
            stream.set_nodelay(true).expect("a socket");
            read_until(&stream, "\r\n\r\n");
            for piece in response {
                (&stream).write_all(piece).expect("sent");
                // Usually lets the client read the piece separately; the result must not depend on it.
                thread::sleep(time::Duration::from_millis(20));
            }
        }
    });
    address
}

/// How long an endless peer sends.
pub(crate) const ENDLESS: time::Duration = time::Duration::from_secs(3);

/// Sends `repeated` until the other side closes the connection, for at most [`ENDLESS`].
pub(crate) fn send_endlessly(mut stream: &net::TcpStream, repeated: &[u8]) {
    let block = repeated.repeat(1 + 64 * 1024 / repeated.len());
    let started = time::Instant::now();
    while started.elapsed() < ENDLESS && stream.write_all(&block).is_ok() {}
}

/// Starts a peer that responds to one request with `start` and then with `repeated` without end.
pub(crate) fn endless(start: &'static [u8], repeated: &'static [u8]) -> net::SocketAddr {
    let listener = net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_until(&stream, "\r\n\r\n");
        stream.write_all(start).expect("sent");
        send_endlessly(&stream, repeated);
    });
    address
}

/// Runs `task` beside a timer on one thread, and returns the longest pause between two ticks of the timer.
pub(crate) async fn longest_pause(task: impl Future<Output = ()>) -> time::Duration {
    let mut last = time::Instant::now();
    let mut longest = time::Duration::ZERO;
    let ticks = async {
        loop {
            async_io::Timer::after(time::Duration::from_millis(5)).await;
            longest = longest.max(last.elapsed());
            last = time::Instant::now();
        }
    };
    futures_lite::future::or(task, ticks).await;
    longest.max(last.elapsed())
}
