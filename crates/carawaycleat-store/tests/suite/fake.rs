//! A fake store: a server whose responses are chosen by the test.

use std::net as std_net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use carawaycleat_net as net;
use carawaycleat_store as store;

/// The timeout of the client; only reached if the fake hangs.
pub(crate) const TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// How the fake reacts to a call.
#[derive(Clone, Debug)]
pub(crate) enum Behavior {
    /// Sends this status and body.
    Respond(u16, Vec<u8>),
    /// Never responds.
    Hang,
    /// Closes the connection in the middle of the response.
    Disconnect,
    /// Sends the body in pieces of 16 KiB, with a pause of 20 ms before each.
    Slow(Vec<u8>),
}

/// A running fake store.
pub(crate) struct Fake {
    pub(crate) address: std_net::SocketAddr,
    pub(crate) calls: sync::Arc<atomic::AtomicUsize>,
    _handle: net::Handle,
}

/// Runs an executor on a separate thread.
fn background() -> sync::Arc<net::Executor> {
    let executor = sync::Arc::new(net::Executor::new());
    let runner = executor.clone();
    thread::spawn(move || futures_lite::future::block_on(runner.run(std::future::pending::<()>())));
    executor
}

/// Starts a fake that reacts to each call, numbered from 0, as `behavior` returns.
pub(crate) fn start(behavior: impl Fn(usize) -> Behavior + Send + Sync + 'static) -> Fake {
    let server = net::Server::bind(([127, 0, 0, 1], 0)).expect("a free port");
    let calls = sync::Arc::new(atomic::AtomicUsize::new(0));
    let counter = calls.clone();
    let behavior = sync::Arc::new(behavior);
    let handle = server.start(background(), move |_| {
        let behavior = behavior(counter.fetch_add(1, atomic::Ordering::Relaxed));
        async move {
            match behavior {
                Behavior::Respond(status, body) => net::Response::new(status).body(body),
                Behavior::Hang => std::future::pending().await,
                Behavior::Disconnect => {
                    // Dropping an unfinished writer closes the connection.
                    let (writer, stream) = net::stream();
                    writer.send(b"{".to_vec()).await.ok();
                    net::Response::new(200).stream(stream)
                }
                Behavior::Slow(body) => {
                    let (writer, stream) = net::stream();
                    thread::spawn(move || {
                        for piece in body.chunks(16 * 1024) {
                            thread::sleep(time::Duration::from_millis(20));
                            futures_lite::future::block_on(writer.send(piece.to_vec())).ok();
                        }
                        writer.finish();
                    });
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
