//! Measures what the path adds to the engine: latency, processor time and memory of an entry host.
//!
//! `cargo run --release -p carawaycleat-standin --example overhead [SECONDS [SEED]]`
//!
//! The entry host is a child process with one thread. The store, the engines, the sidecars and the load share the
//! threads of this process, so that the child's processor time is that of the entry host alone.

use std::env;
use std::fs;
use std::io;
use std::io::BufRead as _;
use std::net;
use std::process;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use carawaycleat::entry;
use carawaycleat::settings;
use carawaycleat::side;
use carawaycleat_core::key;
use carawaycleat_core::name;
use carawaycleat_core::resource;
use carawaycleat_net as http;
use carawaycleat_standin as standin;
use standin::engine;

const SECRET: &str = "secret-of-the-load";
const WAIT: time::Duration = time::Duration::from_secs(60);
const THREADS: usize = 5;
/// The unit of the processor times in `/proc/PID/stat`, per second.
const TICKS: f64 = 100.0;
const STREAM_TOKENS: u32 = 425;
const PACED_STEP: time::Duration = time::Duration::from_millis(10);
const SLOW_STEP: time::Duration = time::Duration::from_millis(200);
const FAST_STEP: time::Duration = time::Duration::from_micros(1);
const PACED: usize = 8;
const FAST: usize = 4;
const SLOW: usize = 4;
/// The part of a step by which the load may see a token earlier than the reference stream does.
const EARLY: time::Duration = time::Duration::from_millis(2);
const SHORT_PER_SECOND: f64 = 50.0;
const OPEN_STREAMS: usize = 1_000;
const CALLERS: usize = 64;

type Times = sync::Arc<sync::Mutex<Vec<(usize, time::Instant)>>>;

/// Everything but the entry host, and where it listens.
struct Bench {
    executor: sync::Arc<http::Executor>,
    pool: http::Pool,
    engines: Vec<standin::Handle<engine::State>>,
    sides: Vec<side::Daemon>,
    callers: net::SocketAddr,
    operators: net::SocketAddr,
    pid: u32,
}

fn main() {
    let arguments: Vec<_> = env::args().collect();
    if let [_, role, store] = arguments.as_slice()
        && role == "entry"
    {
        return serve(store.parse().expect("the address of the store"));
    }
    let number = |index: usize, default: u64| {
        let text = arguments.get(index);
        text.map_or(default, |text| text.parse().expect("a number"))
    };
    let (seconds, seed) = (number(1, 8), number(2, 1));
    let executor = sync::Arc::new(http::Executor::new());
    for _ in 0..THREADS {
        let executor = executor.clone();
        thread::spawn(move || {
            async_io::block_on(executor.run(futures_lite::future::pending::<()>()))
        });
    }
    let options = standin::store::Options::default();
    let store = standin::Store::start(&executor, options).expect("a store");
    let mut child = process::Command::new(env::current_exe().expect("the path of this program"))
        .args(["entry", &store.local_address().to_string()])
        .stdout(process::Stdio::piped())
        .spawn()
        .expect("an entry host");
    // The reader stays open, because a log line to a closed pipe is an error.
    let mut lines = io::BufReader::new(child.stdout.take().expect("its output")).lines();
    let addresses = lines.find_map(|line| {
        let line = line.expect("a line");
        line.strip_prefix("addresses ").map(str::to_owned)
    });
    let addresses: Vec<net::SocketAddr> = addresses
        .expect("the addresses")
        .split(' ')
        .map(|text| text.parse().expect("an address"))
        .collect();
    let mut bench = Bench {
        executor,
        pool: http::Pool::new(time::Duration::from_secs(5), 2_048),
        engines: Vec::new(),
        sides: Vec::new(),
        callers: addresses[0],
        operators: addresses[1],
        pid: child.id(),
    };
    println!("seed {seed}, {seconds} s per load, load average {}", load());
    async_io::block_on(async {
        bench.start(addresses[2]).await;
        bench.measure(seconds, seed).await;
    });
    println!("load average {}", load());
    child.kill().expect("the entry host ends");
    child.wait().expect("the entry host has ended");
}

/// Runs the entry host until the process is ended.
fn serve(store: net::SocketAddr) {
    let loopback: net::SocketAddr = ([127, 0, 0, 1], 0).into();
    let mut settings = settings::Entry {
        host: text("entry-1"),
        listen: settings::Listen {
            callers: loopback,
            operators: loopback,
            peers: loopback,
        },
        peers: Vec::new(),
        ..settings::Entry::default()
    };
    settings.store.endpoints = vec![store];
    settings.placement.loads_per_second = 100.0;
    settings.placement.loads_in_flight = 20;
    let executor = sync::Arc::new(http::Executor::new());
    let daemon = entry::Daemon::start(executor.clone(), settings).expect("an entry host");
    let all = daemon.addresses();
    println!("addresses {} {} {}", all.callers, all.operators, all.peers);
    async_io::block_on(executor.run(futures_lite::future::pending::<()>()));
}

fn text(name: &str) -> name::Name {
    name::Name::parse(name).expect("a valid name")
}

impl Bench {
    async fn start(&mut self, peers: net::SocketAddr) {
        let steps = [(PACED, PACED_STEP), (FAST, FAST_STEP), (SLOW, SLOW_STEP)];
        for (count, step) in steps {
            for _ in 0..count {
                self.start_engine(peers, step);
            }
        }
        while self.get("/readyz").await != 200 {
            async_io::Timer::after(time::Duration::from_millis(50)).await;
        }
        self.apply().await;
        for number in 0..self.engines.len() {
            let started = time::Instant::now();
            while !self.call(self.callers, number, 1, false, None).await {
                assert!(started.elapsed() < WAIT, "model {number} is not reachable");
                async_io::Timer::after(time::Duration::from_millis(50)).await;
            }
        }
    }

    fn start_engine(&mut self, peers: net::SocketAddr, step: time::Duration) {
        let options = engine::Options {
            max_batch: 4_096,
            step_base: step,
            step_per_request: time::Duration::ZERO,
            prefill_per_token: time::Duration::ZERO,
            site: standin::weights::Site {
                loads_per_second: 100.0,
                ..standin::weights::Site::SAVANNAH
            },
            ..engine::Options::default()
        };
        let engine = standin::Engine::start(&self.executor, options).expect("an engine");
        let name = text(&format!("engine-{}", self.engines.len()));
        let mut settings = settings::Side {
            host: name.clone(),
            upstream: name,
            entries: vec![peers],
            order_settle_ms: 500,
            ..settings::Side::default()
        };
        settings.listen.work = ([127, 0, 0, 1], 0).into();
        settings.engine.address = engine.local_address();
        settings.engine.max_requests = 0;
        let side = side::Daemon::start(self.executor.clone(), settings).expect("a sidecar");
        self.engines.push(engine);
        self.sides.push(side);
    }

    async fn apply(&self) {
        let work = text("load");
        let rate = resource::Rate {
            workspace: work.clone(),
            tokens_per_second: 100_000_000,
            burst_tokens: 100_000_000,
        };
        let key = resource::Key {
            workspace: work,
            digest: key::Digest::of(SECRET).to_hex(),
        };
        let route = resource::Route {
            prefix: "/v1".to_owned(),
            target: resource::Target::Models,
            group: None,
            open: false,
            workspaces: Vec::new(),
            non_idempotent: Vec::new(),
            cost_tokens: 1,
            timeout_ms: 120_000,
        };
        let workspace = resource::Workspace { weight: 1 };
        self.put("load", resource::Resource::Workspace(workspace))
            .await;
        self.put("load", resource::Resource::Key(key)).await;
        self.put("load", resource::Resource::Rate(rate)).await;
        self.put("models", resource::Resource::Route(route)).await;
        for number in 0..self.engines.len() {
            let (model, group) = (format!("model-{number}"), format!("group-{number}"));
            let weights = resource::Version {
                model: text(&model),
                bytes: 1_000_000_000,
            };
            let version = format!("{model}@1");
            self.put(&version, resource::Resource::Version(weights))
                .await;
            let resource = resource::Model {
                version: text(&version),
                group: text(&group),
            };
            self.put(&model, resource::Resource::Model(resource)).await;
            let upstream = resource::Upstream {
                group: text(&group),
                address: self.engines[number].local_address(),
                side_address: Some(self.sides[number].local_address()),
                availability_zone: text("zone-1"),
                memory_bytes: 80_000_000_000,
                fencing: resource::Fencing::Ignored,
                leaving: false,
            };
            let name = format!("engine-{number}");
            self.put(&name, resource::Resource::Upstream(upstream))
                .await;
        }
    }

    async fn put(&self, name: &str, resource: resource::Resource) {
        let path = format!("/v1/resources/{}/{name}", resource.kind());
        let body = serde_json::to_vec(&resource).expect("a resource");
        let request = http::Request::new("PUT", path).body(body);
        let reply = self.pool.send(self.operators, request, WAIT).await;
        let status = reply.expect("an answer").status;
        assert!(status < 300, "the resource {name} was refused: {status}");
    }

    async fn get(&self, path: &str) -> u16 {
        let request = http::Request::new("GET", path);
        let reply = self.pool.send(self.operators, request, WAIT).await;
        reply.map_or(0, |reply| reply.status)
    }

    /// Sends one completion, notes when each event arrives, and returns whether the answer is complete.
    async fn call(
        &self,
        address: net::SocketAddr,
        number: usize,
        max_tokens: u32,
        stream: bool,
        times: Option<&Times>,
    ) -> bool {
        let body = serde_json::json!({
            "model": format!("model-{number}"),
            "prompt": "Plan the round",
            "max_tokens": max_tokens,
            "stream": stream,
        });
        let request = http::Request::new("POST", "/v1/completions")
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {SECRET}"))
            .body(body.to_string().into_bytes());
        let Ok(mut reply) = self.pool.send(address, request, WAIT).await else {
            return false;
        };
        let mut last = Vec::new();
        loop {
            match reply.body.next().await {
                Ok(Some(piece)) => {
                    if let Some(times) = times {
                        let now = time::Instant::now();
                        // Each event ends with two line feeds and contains no others.
                        let events = piece.iter().filter(|byte| **byte == b'\n').count() / 2;
                        let mut times = times.lock().expect("no panic");
                        times.extend(std::iter::repeat_n((number, now), events));
                    }
                    last = piece;
                }
                Ok(None) => break,
                Err(_) => return false,
            }
        }
        reply.status == 200 && (!stream || last.ends_with(b"data: [DONE]\n\n"))
    }

    async fn measure(self, seconds: u64, seed: u64) {
        let bench = sync::Arc::new(self);
        for requests in [16.0, 64.0] {
            let direct = bench.paced(false, requests, seconds, seed).await;
            let path = bench.paced(true, requests, seconds, seed).await;
            println!("{requests} streams/s of {STREAM_TOKENS} tokens:");
            for (what, direct, path) in [
                ("token", &direct.tokens, &path.tokens),
                ("request", &direct.requests, &path.requests),
            ] {
                let of = |part| (quantile(direct, part), quantile(path, part));
                let ((d50, p50), (d99, p99)) = (of(0.5), of(0.99));
                println!(
                    "  {what}: direct p50 {d50:.3} p99 {d99:.3}, path p50 {p50:.3} p99 {p99:.3}, \
                     added p50 {:.3} p99 {:.3} ms ({} and {} samples)",
                    p50 - d50,
                    p99 - d99,
                    direct.len(),
                    path.len()
                );
            }
            let rate = path.tokens.len() as f64 / path.seconds;
            // The short requests take part of the processor time, so the figure per event is an upper bound.
            println!(
                "  {rate:.0} events/s at {:.1}% of a core, which is {:.0} events per second of processor time; \
                 {} calls failed",
                100.0 * path.processor / path.seconds,
                path.tokens.len() as f64 / path.processor,
                direct.failed + path.failed
            );
        }
        bench.saturate("short requests", 1, false, seconds).await;
        bench
            .saturate("streamed tokens", 1_000, true, seconds)
            .await;
        bench.memory().await;
    }

    /// Sends streams at a rate through the path or straight to the engines, and short requests beside them.
    async fn paced(
        self: &sync::Arc<Self>,
        path: bool,
        rate: f64,
        seconds: u64,
        seed: u64,
    ) -> Paced {
        let mut random = fastrand::Rng::with_seed(seed);
        let (reference, seen) = (Times::default(), Times::default());
        let warm = PACED_STEP * STREAM_TOKENS + time::Duration::from_millis(500);
        let span = warm + time::Duration::from_secs(seconds);
        let steps = span.as_millis() / PACED_STEP.as_millis() + 500;
        let steps = u32::try_from(steps).expect("a short run");
        let references: Vec<_> = (0..PACED)
            .map(|number| {
                let (bench, times) = (self.clone(), reference.clone());
                self.executor.spawn(async move {
                    let address = bench.engines[number].local_address();
                    bench.call(address, number, steps, true, Some(&times)).await
                })
            })
            .collect();
        let failed = sync::Arc::new(atomic::AtomicUsize::new(0));
        let short = sync::Arc::new(sync::Mutex::new(Vec::new()));
        let started = time::Instant::now();
        let (mut next_stream, mut next_short) = (0.0, 0.0);
        let (mut processor, mut began) = (None, started);
        while started.elapsed() < span {
            let now = started.elapsed().as_secs_f64();
            if processor.is_none() && started.elapsed() >= warm {
                processor = Some(self.processor());
                began = time::Instant::now();
            }
            while next_stream <= now {
                next_stream += -(1.0 - random.f64()).ln() / rate;
                let number = random.usize(..PACED);
                let (bench, times, failed) = (self.clone(), seen.clone(), failed.clone());
                let address = self.address(path, number);
                let task = async move {
                    let call = bench.call(address, number, STREAM_TOKENS, true, Some(&times));
                    if !call.await {
                        failed.fetch_add(1, atomic::Ordering::Relaxed);
                    }
                };
                self.executor.spawn(task).detach();
            }
            while next_short <= now {
                next_short += -(1.0 - random.f64()).ln() / SHORT_PER_SECOND;
                let number = PACED + random.usize(..FAST);
                let (bench, short, failed) = (self.clone(), short.clone(), failed.clone());
                let address = self.address(path, number);
                let task = async move {
                    let sent = time::Instant::now();
                    if bench.call(address, number, 1, false, None).await {
                        let span = sent.elapsed().as_secs_f64() * 1e3;
                        short.lock().expect("no panic").push(span);
                    } else {
                        failed.fetch_add(1, atomic::Ordering::Relaxed);
                    }
                };
                self.executor.spawn(task).detach();
            }
            let next = next_stream.min(next_short);
            async_io::Timer::at(started + time::Duration::from_secs_f64(next)).await;
        }
        let ended = time::Instant::now();
        let processor = self.processor() - processor.unwrap_or_default();
        for reference in references {
            assert!(reference.await, "a reference stream was cut");
        }
        let (reference, seen) = (taken(&reference), taken(&seen));
        let requests = std::mem::take(&mut *short.lock().expect("no panic"));
        Paced {
            tokens: pair(&reference, &seen, began, ended),
            requests,
            processor,
            seconds: ended.duration_since(began).as_secs_f64(),
            failed: failed.load(atomic::Ordering::Relaxed),
        }
    }

    fn address(&self, path: bool, number: usize) -> net::SocketAddr {
        if path {
            self.callers
        } else {
            self.engines[number].local_address()
        }
    }

    /// Keeps the entry host busy with a fixed number of callers.
    async fn saturate(self: &sync::Arc<Self>, what: &str, tokens: u32, stream: bool, seconds: u64) {
        let (started, processor) = (time::Instant::now(), self.processor());
        let caller = |caller: usize| {
            let bench = self.clone();
            self.executor.spawn(async move {
                let (mut done, mut failed) = (0_usize, 0_usize);
                while started.elapsed() < time::Duration::from_secs(seconds) {
                    let number = PACED + caller % FAST;
                    if bench
                        .call(bench.callers, number, tokens, stream, None)
                        .await
                    {
                        done += tokens as usize;
                    } else {
                        failed += 1;
                    }
                }
                (done, failed)
            })
        };
        let (mut done, mut failed) = (0, 0);
        for task in (0..CALLERS).map(caller).collect::<Vec<_>>() {
            let (more, cut) = task.await;
            (done, failed) = (done + more, failed + cut);
        }
        let span = started.elapsed().as_secs_f64();
        let processor = self.processor() - processor;
        println!(
            "{what}: {:.0}/s at {:.1}% of a core, which is {:.0} per second of processor time; {failed} calls failed",
            done as f64 / span,
            100.0 * processor / span,
            done as f64 / processor
        );
    }

    async fn memory(self: &sync::Arc<Self>) {
        let before = self.resident();
        let times = Times::default();
        let tasks: Vec<_> = (0..OPEN_STREAMS)
            .map(|stream| {
                let (bench, times) = (self.clone(), times.clone());
                let number = PACED + FAST + stream % SLOW;
                self.executor.spawn(async move {
                    bench
                        .call(bench.callers, number, 40, true, Some(&times))
                        .await
                })
            })
            .collect();
        async_io::Timer::after(time::Duration::from_secs(4)).await;
        let open = tasks.iter().filter(|task| !task.is_finished()).count();
        println!(
            "resident: {:.1} MB before, {:.1} MB with {open} open streams",
            before,
            self.resident()
        );
        let mut failed = 0;
        for task in tasks {
            failed += usize::from(!task.await);
        }
        println!("resident: {failed} streams failed");
    }

    /// Returns the processor time of the entry host, in seconds.
    fn processor(&self) -> f64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid)).expect("a process");
        let (_, rest) = stat.rsplit_once(") ").expect("a name");
        let ticks: f64 = rest
            .split(' ')
            .skip(11)
            .take(2)
            .map(|field| field.parse::<f64>().expect("a number"))
            .sum();
        ticks / TICKS
    }

    /// Returns the resident memory of the entry host, in megabytes.
    fn resident(&self) -> f64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid)).expect("a process");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kibibytes = line.expect("a size").trim().trim_end_matches(" kB");
        kibibytes.parse::<f64>().expect("a number") * 1024.0 / 1e6
    }
}

/// What a paced load has seen; the times are in milliseconds.
struct Paced {
    tokens: Vec<f64>,
    requests: Vec<f64>,
    processor: f64,
    seconds: f64,
    failed: usize,
}

fn taken(times: &Times) -> Vec<(usize, time::Instant)> {
    let mut times = std::mem::take(&mut *times.lock().expect("no panic"));
    times.sort_unstable();
    times
}

/// Returns how much later than the reference stream of its engine, which gets a token in each step, each token arrived.
fn pair(
    reference: &[(usize, time::Instant)],
    seen: &[(usize, time::Instant)],
    began: time::Instant,
    ended: time::Instant,
) -> Vec<f64> {
    let inside = seen.iter().filter(|(_, at)| (began..ended).contains(at));
    inside
        .filter_map(|&(number, at)| {
            let index =
                reference.partition_point(|&(other, time)| (other, time) <= (number, at + EARLY));
            let (other, time) = *reference.get(index.checked_sub(1)?)?;
            (other == number).then(|| {
                let late = at.saturating_duration_since(time).as_secs_f64();
                (late - time.saturating_duration_since(at).as_secs_f64()) * 1e3
            })
        })
        .collect()
}

fn quantile(values: &[f64], part: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable_by(f64::total_cmp);
    let index = (sorted.len() as f64 * part) as usize;
    sorted
        .get(index.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(f64::NAN)
}

fn load() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').take(1).collect()
}
