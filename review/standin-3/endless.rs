//! Engines in trouble whose answers are bytes that do not end.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::host::Host;
use crate::http;
use crate::record::Record;
use crate::store::Store;

const SERVICE: &str = "round-assistant";
/// The engines, and how many of them are in trouble: 0.56 of them. The site file has up to 0.6 for `garble`.
const ENGINES: usize = 9;
const TROUBLED_ENGINES: usize = 5;
/// The slots of an engine.
const SLOTS: u32 = 64;
const HOSTS: usize = 2;
const CLIENTS_PER_HOST: usize = 230;
/// The events of a sound stream, and the time between two of them.
const EVENTS: u64 = 47;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// The time without an event after which a client leaves, and the time limit of the route and of the clients.
const PATIENCE: Duration = Duration::from_secs(2);
const TIMEOUT_MS: u64 = 12_000;
/// The time after a stream that was not complete until the client sends the next one.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// A client takes this many bytes in this time: 2 Mbit/s.
const READ_BYTES: usize = 16 * 1024;
const READ_INTERVAL: Duration = Duration::from_millis(64);
/// The bytes of an engine in trouble between two line feeds.
const LINE_BYTES: usize = 200_000;
/// The memory of a host, in the larger sense of a megabyte.
const MEMORY_BYTES: u64 = 260 * 1024 * 1024;
/// The time after which a host that was killed starts again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const WARM_UP_TIME: Duration = Duration::from_secs(4);
const TROUBLE_TIME: Duration = Duration::from_secs(45);
/// A host counts as faulty when its process ends by itself this often, and the rule is broken by this many such hosts.
const MIN_ENDS: usize = 3;
const MIN_FAULTY_HOSTS: usize = 2;

/// What all threads of the clients and engines know.
#[derive(Clone)]
struct Shared {
    is_troubled: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    complete: Arc<AtomicU64>,
}

pub fn run(folder: &Path, is_disturbed: bool) -> crate::Result {
    crate::in_temporary_folder(|temporary| {
        let record = Record::create(&folder.join("record.txt"))?;
        play(temporary, &record, is_disturbed)
    })
}

fn play(temporary: &Path, record: &Record, is_disturbed: bool) -> crate::Result {
    let shared = Shared {
        is_troubled: Arc::default(),
        has_ended: Arc::default(),
        sent: Arc::default(),
        complete: Arc::default(),
    };
    let store = Store::start();
    store.put("op/config", &config());
    for number in 0..ENGINES {
        start_engine(&store, number, &shared)?;
    }
    let mut hosts = Vec::new();
    for number in 1..=HOSTS {
        let mut host = Host::start(temporary, &format!("entry-{number}"), store.address)?;
        if !host.wait_until_ready() {
            return Err(format!("{} is not ready: {}", host.name, host.log()).into());
        }
        hosts.push(host);
    }
    for number in 0..HOSTS * CLIENTS_PER_HOST {
        let (address, shared) = (hosts[number % HOSTS].front, shared.clone());
        let builder = thread::Builder::new().stack_size(128 * 1024);
        builder.spawn(move || keep_sending(address, number, &shared))?;
    }
    let mut ends = vec![0; HOSTS];
    let mut peaks = vec![0; HOSTS];
    let started = Instant::now();
    let mut reported = 0;
    while started.elapsed() < WARM_UP_TIME + TROUBLE_TIME {
        thread::sleep(Duration::from_millis(50));
        let elapsed = started.elapsed();
        if is_disturbed
            && elapsed >= WARM_UP_TIME
            && !shared.is_troubled.swap(true, Ordering::SeqCst)
        {
            record.add(format!(
                "{TROUBLED_ENGINES} of {ENGINES} engines are in trouble"
            ));
        }
        for (number, host) in hosts.iter_mut().enumerate() {
            let used = memory_of(host.id());
            peaks[number] = used.max(peaks[number]);
            if elapsed.as_secs() > reported {
                let (name, mb) = (&host.name, used / 1_000_000);
                record.add(format!("{name} uses {mb} MB"));
            }
            let has_ended = host.has_ended();
            if has_ended {
                return Err(format!("{} has ended: {}", host.name, host.log()).into());
            }
            if used <= MEMORY_BYTES {
                continue;
            }
            ends[number] += 1;
            let (name, mb) = (&host.name, used / 1_000_000);
            record.add(format!("{name} ends; it uses {mb} MB"));
            // The platform kills a process that exceeds its memory, and starts it again after a short delay.
            host.kill();
            thread::sleep(RESTART_DELAY);
            host.restart()?;
        }
        if elapsed.as_secs() > reported {
            reported = elapsed.as_secs();
            let sent = shared.sent.load(Ordering::Relaxed);
            let complete = shared.complete.load(Ordering::Relaxed);
            record.add(format!("{sent} streams sent, {complete} complete"));
        }
    }
    shared.has_ended.store(true, Ordering::SeqCst);
    for (host, (ends, peak)) in hosts.iter().zip(ends.iter().zip(&peaks)) {
        let (name, mb) = (&host.name, peak / 1_000_000);
        record.add(format!("{name} ended {ends} times; it used up to {mb} MB"));
    }
    let faulty = ends.iter().filter(|ends| **ends >= MIN_ENDS).count();
    record.add(format!("{faulty} hosts ended {MIN_ENDS} times or more"));
    Ok(if faulty >= MIN_FAULTY_HOSTS {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Returns the memory of a process that holds no file, in bytes; 0 when it has ended.
fn memory_of(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"));
    let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// Returns the operator's configuration.
fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","hostname":"ficu95.example","prefix":"/lohu930/","route_type":"streaming","timeout_ms":{TIMEOUT_MS},"target_latency_ms":500,"priority":1,"service":"{SERVICE}","max_attempts":2,"public":true,"sticky":false,"resumable":true,"gap_aim_ms":150}}],"services":[{{"name":"{SERVICE}","health_path":"/healthz","max_connections":370,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[]}}"#
    )
}

fn start_engine(store: &Store, number: usize, shared: &Shared) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let (store, address) = (store.clone(), listener.local_addr()?);
    thread::spawn(move || {
        loop {
            let entry = format!(
                r#"{{"service":"{SERVICE}","address":"{address}","zone":"arima","version":"v1","slots":{SLOTS},"state":"ready","cold_remaining_ms":0,"born":1700000000000,"seq":0}}"#
            );
            store.put(&format!("servers/i-{number}"), &entry);
            thread::sleep(Duration::from_millis(1_200));
        }
    });
    let shared = shared.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = shared.clone();
            let builder = thread::Builder::new().stack_size(128 * 1024);
            let _ = builder.spawn(move || {
                let _ = serve(http::Connection::new(stream), number, &shared);
            });
        }
    });
    Ok(())
}

fn serve(mut connection: http::Connection, number: usize, shared: &Shared) -> io::Result<()> {
    loop {
        let request = connection.message()?;
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        connection.send(
            format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
                 X-Request-Id: {id}\r\nX-Server-Stamp: i-{number}\r\n\r\n"
            )
            .as_bytes(),
        )?;
        let is_troubled = number < TROUBLED_ENGINES && shared.is_troubled.load(Ordering::SeqCst);
        if is_troubled {
            let mut line = vec![b'x'; LINE_BYTES];
            line[0] = b':';
            line.extend(b"\n\n");
            // Until the caller closes.
            loop {
                send_chunk(&mut connection, &line)?;
            }
        }
        let last = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok());
        for event in last.unwrap_or(0) + 1..=EVENTS {
            thread::sleep(EVENT_INTERVAL);
            let text = format!("id: {event}\ndata: {id} {event}\n\n");
            send_chunk(&mut connection, text.as_bytes())?;
        }
        connection.send(b"0\r\n\r\n")?;
    }
}

fn send_chunk(connection: &mut http::Connection, bytes: &[u8]) -> io::Result<()> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend(bytes);
    chunk.extend(b"\r\n");
    connection.send(&chunk)
}

/// Sends one stream after another.
fn keep_sending(address: SocketAddr, client: usize, shared: &Shared) {
    let mut count = 0;
    while !shared.has_ended.load(Ordering::SeqCst) {
        count += 1;
        shared.sent.fetch_add(1, Ordering::Relaxed);
        match read_stream(address, &format!("request-{client}-{count}")) {
            Ok(true) => {
                shared.complete.fetch_add(1, Ordering::Relaxed);
            }
            _ => thread::sleep(RETRY_DELAY),
        }
    }
}

/// Reads a stream at the pace of the client, which leaves when there is no event for [`PATIENCE`]. Returns whether the
/// stream was complete.
fn read_stream(address: SocketAddr, id: &str) -> io::Result<bool> {
    use std::io::Read as _;
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let mut connection = http::Connection::new(stream);
    connection.send(
        format!(
            "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {id}\r\nX-Token-Count: 715,282\r\n\
             X-Deadline-Ms: {TIMEOUT_MS}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        )
        .as_bytes(),
    )?;
    let mut last_event = Instant::now();
    let mut bytes = vec![0; READ_BYTES];
    let mut events = 0;
    loop {
        let length = connection.stream.read(&mut bytes)?;
        if length == 0 {
            return Ok(events >= EVENTS);
        }
        let found = bytes[..length]
            .windows(4)
            .filter(|four| *four == b"id: ")
            .count();
        if found > 0 {
            events += found as u64;
            last_event = Instant::now();
        }
        if last_event.elapsed() >= PATIENCE {
            return Ok(false);
        }
        if length == READ_BYTES {
            thread::sleep(READ_INTERVAL);
        }
    }
}
