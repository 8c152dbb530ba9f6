//! The bound on the connections of a pool, and what is known of a request before its first byte is sent.

use std::io::Write as _;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use carawaycleat_net as http;

use crate::peer;

/// A peer that counts the connections that are open at the same time, and answers one request after another on each.
struct Counting {
    address: net::SocketAddr,
    most_open: sync::Arc<atomic::AtomicUsize>,
    accepted: sync::Arc<atomic::AtomicUsize>,
}

fn counting(work: time::Duration) -> Counting {
    let listener = net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let [open, most_open, accepted] = std::array::from_fn(|_| sync::Arc::default());
    let counting = Counting {
        address,
        most_open: sync::Arc::clone(&most_open),
        accepted: sync::Arc::clone(&accepted),
    };
    let open: sync::Arc<atomic::AtomicUsize> = open;
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.expect("a connection");
            accepted.fetch_add(1, atomic::Ordering::SeqCst);
            most_open.fetch_max(
                open.fetch_add(1, atomic::Ordering::SeqCst) + 1,
                atomic::Ordering::SeqCst,
            );
            let open = open.clone();
            thread::spawn(move || {
                while stream.peek(&mut [0]).is_ok_and(|length| length > 0) {
                    peer::read_until(&stream, "\r\n\r\n");
                    thread::sleep(work);
                    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                    if (&stream).write_all(response).is_err() {
                        break;
                    }
                }
                open.fetch_sub(1, atomic::Ordering::SeqCst);
            });
        }
    });
    counting
}

async fn get(pool: &http::Pool, address: net::SocketAddr) -> Result<u16, http::Failure> {
    let request = http::Request::new("GET", "/");
    let reply = pool
        .send_fresh(address, request, peer::TIMEOUT, time::Duration::MAX)
        .await?;
    let status = reply.status;
    reply.bytes(16).await.expect("a body");
    Ok(status)
}

/// Guards against connections beyond the limit, which the server resets, and against idle connections that keep the place of
/// one that a request needs.
#[test]
fn pool_opens_no_connection_beyond_its_limit() {
    const LIMIT: usize = 3;
    let peer = counting(time::Duration::from_millis(50));
    let pool = http::Pool::default();
    pool.limit_connections(peer.address, Some(LIMIT));
    peer::run(async |executor| {
        for _ in 0..3 {
            let requests: Vec<_> = (0..3 * LIMIT)
                .map(|_| {
                    let (pool, address) = (pool.clone(), peer.address);
                    executor.spawn(async move { get(&pool, address).await })
                })
                .collect();
            let mut served = 0;
            for request in requests {
                match request.await {
                    Ok(_) => served += 1,
                    Err(failure) => {
                        assert!(!failure.sent);
                        assert_eq!(failure.cause(), http::Cause::Limited);
                    }
                }
                assert!(pool.open_connections(peer.address) <= LIMIT);
            }
            assert_eq!(served, LIMIT);
        }
        assert_eq!(pool.connections().idle, LIMIT);
        // A request that may use no idle connection gets the place of one.
        let request = http::Request::new("GET", "/");
        let idle = time::Duration::ZERO;
        pool.send_fresh(peer.address, request, peer::TIMEOUT, idle)
            .await
            .expect("a place");
        pool.limit_connections(peer.address, Some(1));
        assert!(pool.open_connections(peer.address) <= 1);
    });
    assert!(peer.most_open.load(atomic::Ordering::SeqCst) <= LIMIT);
    let connections = pool.connections();
    let accepted = peer.accepted.load(atomic::Ordering::SeqCst);
    assert_eq!(
        (connections.opened, accepted),
        (LIMIT as u64 + 1, LIMIT + 1)
    );
    assert_eq!(connections.refused, 3 * 2 * LIMIT as u64);
}

/// Guards against a request that is refused as not run while its connection is made, and is sent once that is there.
#[test]
fn withdrawn_request_is_not_sent() {
    let peer = counting(time::Duration::ZERO);
    let pool = http::Pool::default();
    peer::run(async |_| {
        let mut stages = Vec::new();
        let observe = |stage| {
            stages.push(stage);
            stage != http::Stage::Connected
        };
        let request = http::Request::new("GET", "/");
        let idle = time::Duration::MAX;
        let failure = pool
            .send_observed(peer.address, request, peer::TIMEOUT, idle, observe)
            .await
            .expect_err("withdrawn");
        assert!(!failure.sent, "{failure}");
        assert_eq!(stages, [http::Stage::Connecting, http::Stage::Connected]);
        assert_eq!(pool.open_connections(peer.address), 0);
    });
}
