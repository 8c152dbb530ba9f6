//! Measures the throughput of short requests and of streamed chunks, with the server and the client on one thread over
//! loopback.
//!
//! `cargo run --release -p carawaycleat-net --example load`

use std::sync;
use std::time;

use carawaycleat_net as net;

const TIMEOUT: time::Duration = time::Duration::from_secs(10);
const CALLERS: usize = 32;
const REQUESTS: usize = 2_000;
const CHUNKS: usize = 20_000;

fn main() {
    let executor = sync::Arc::new(net::Executor::new());
    let server = net::Server::bind(([127, 0, 0, 1], 0)).expect("a free port");
    let tasks = executor.clone();
    let handle = server.start(executor.clone(), move |request: net::Request| {
        let tasks = tasks.clone();
        async move {
            if request.path != "/stream" {
                return net::Response::new(200).body(request.body);
            }
            let (writer, stream) = net::stream();
            tasks.spawn(write(writer)).detach();
            net::Response::new(200).stream(stream)
        }
    });
    futures_lite::future::block_on(executor.run(async {
        let seconds = callers(&executor, &handle, "/short", REQUESTS).await;
        let requests = (CALLERS * REQUESTS) as f64;
        println!("{:.0} short requests a second", requests / seconds);
        let seconds = callers(&executor, &handle, "/stream", 1).await;
        let chunks = (CALLERS * CHUNKS) as f64;
        println!("{:.0} streamed chunks a second", chunks / seconds);
    }));
}

async fn write(writer: net::Writer) {
    for count in 0..CHUNKS {
        let chunk = format!("data: {{\"position\":{count},\"text\":\"token\"}}\n\n");
        if writer.send(chunk).await.is_err() {
            return;
        }
        // One chunk per poll, as an engine produces tokens.
        futures_lite::future::yield_now().await;
    }
    writer.finish();
}

/// Sends `count` requests from each caller and returns the elapsed time in seconds.
async fn callers(
    executor: &sync::Arc<net::Executor>,
    handle: &net::Handle,
    path: &'static str,
    count: usize,
) -> f64 {
    let pool = net::Pool::default();
    let address = handle.local_address();
    let start = time::Instant::now();
    let caller = |_| {
        let pool = pool.clone();
        executor.spawn(async move {
            for _ in 0..count {
                let request = net::Request::new("POST", path).body(vec![b'a'; 200]);
                let mut reply = pool
                    .send(address, request, TIMEOUT)
                    .await
                    .expect("a response");
                while reply.body.next().await.expect("a piece").is_some() {}
            }
        })
    };
    let tasks: Vec<_> = (0..CALLERS).map(caller).collect();
    for task in tasks {
        task.await;
    }
    start.elapsed().as_secs_f64()
}
