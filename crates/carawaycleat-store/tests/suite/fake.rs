//! A fake of the store: a server whose answers the test chooses.

use std::net as std_net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use carawaycleat_net as net;
use carawaycleat_store as store;

/// No call waits this long unless the fake hangs.
pub(crate) const TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// What the fake does with a call.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    /// It answers with this status and body.
    Body(u16, Vec<u8>),
    /// It never answers.
    Hang,
    /// It closes the connection within the answer.
    Cut,
}

/// A running fake.
pub(crate) struct Fake {
    pub(crate) address: std_net::SocketAddr,
    pub(crate) calls: sync::Arc<atomic::AtomicUsize>,
    _handle: net::Handle,
}

/// Runs an executor on a thread of its own.
fn background() -> sync::Arc<net::Executor> {
    let executor = sync::Arc::new(net::Executor::new());
    let runner = executor.clone();
    thread::spawn(move || futures_lite::future::block_on(runner.run(std::future::pending::<()>())));
    executor
}

/// Starts a fake that answers the call with each number, from 0, as `answer` says.
pub(crate) fn start(answer: impl Fn(usize) -> Answer + Send + Sync + 'static) -> Fake {
    let server = net::Server::bind(([127, 0, 0, 1], 0)).expect("a free port");
    let calls = sync::Arc::new(atomic::AtomicUsize::new(0));
    let counter = calls.clone();
    let answer = sync::Arc::new(answer);
    let handle = server.start(background(), move |_| {
        let chosen = answer(counter.fetch_add(1, atomic::Ordering::Relaxed));
        async move {
            match chosen {
                Answer::Body(status, body) => net::Response::new(status).body(body),
                Answer::Hang => std::future::pending().await,
                Answer::Cut => {
                    // A writer that is dropped before its end cuts the connection.
                    let (writer, stream) = net::stream();
                    writer.send(b"{".to_vec()).await.ok();
                    net::Response::new(200).stream(stream)
                }
            }
        }
    });
    Fake {
        address: handle.local_address(),
        calls,
        _handle: handle,
    }
}

/// Returns an address that refuses connections.
pub(crate) fn closed() -> std_net::SocketAddr {
    let listener = std_net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    listener.local_addr().expect("a bound address")
}

pub(crate) fn client(endpoints: &[std_net::SocketAddr]) -> store::Client {
    store::Client::new(net::Pool::default(), endpoints, TIMEOUT)
}

pub(crate) fn write() -> store::Transaction {
    store::Transaction::new()
        .when(store::Condition::Absent("/a".to_owned()))
        .write(store::Write::put("/a", b"1"))
        .otherwise_get("/a")
}
