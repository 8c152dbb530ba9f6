//! Streams whose engine crashes and starts again, under the identifier that it had, with another version of its software.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::engine;
use crate::engine::Engine;
use crate::host::Host;
use crate::http;
use crate::record::Record;
use crate::store::Store;

const STREAMS: usize = 24;
const KEY: &str = "i9n73hh2b9wu3fexd9dn";
/// The events of a stream, which takes 6 s.
const EVENTS: u64 = 120;
/// The slots of an engine.
const SLOTS: u32 = 64;
/// Time from the first event to the crash, and from the crash to the start of the next process.
const TIME_BEFORE_CRASH: Duration = Duration::from_millis(1_500);
const DOWN_TIME: Duration = Duration::from_millis(1_000);
/// The streams that may hold events of two versions.
const MAX_JOINED: usize = 2;
/// The time limit of the route and of the clients.
const TIMEOUT_MS: u64 = 12_000;

/// What a client received.
#[derive(Debug, Default)]
struct Received {
    status: u16,
    /// The number of each event, with the version that wrote it.
    events: Vec<(u64, String)>,
    is_complete: bool,
}

pub fn run(folder: &Path, is_disturbed: bool) -> crate::Result {
    crate::in_temporary_folder(|temporary| {
        let record = Record::create(&folder.join("record.txt"))?;
        play(temporary, &record, is_disturbed)
    })
}

fn play(temporary: &Path, record: &Record, is_disturbed: bool) -> crate::Result {
    let store = Store::start();
    store.put("op/config", &config());
    // Of three engines, two run the new version already.
    let mut last = Engine::start(&store, record, "i-000000a1", "v1", SLOTS, EVENTS);
    let mut hosts = ["entry-1", "entry-2"]
        .map(|name| Host::start(temporary, name, store.address))
        .into_iter()
        .collect::<Result<Vec<_>, _>>()?;
    for host in &mut hosts {
        if !host.wait_until_ready() {
            return Err(format!("{} is not ready: {}", host.name, host.log()).into());
        }
    }
    thread::sleep(Duration::from_secs(1));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (address, record) = (hosts[number % hosts.len()].front, record.clone());
            thread::spawn(move || read_stream(address, &format!("request-{number}"), &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let _upgraded = ["i-000000a2", "i-000000a3"]
        .map(|id| Engine::start(&store, record, id, "v2", SLOTS, EVENTS));
    thread::sleep(TIME_BEFORE_CRASH);
    if is_disturbed {
        last.crash();
        thread::sleep(DOWN_TIME);
        last.restart("v2")?;
    }
    let received: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().unwrap_or_default())
        .collect();
    if !is_disturbed && !received.iter().all(|received| received.is_complete) {
        return Err("a stream was not complete without the disruption".into());
    }
    if hosts.iter_mut().any(Host::has_ended) {
        return Err("a host has ended".into());
    }
    let joined = received.iter().filter(|received| {
        let versions = received.events.iter().map(|(_, version)| version);
        versions.collect::<BTreeSet<_>>().len() > 1
    });
    let joined = joined.count();
    record.add(format!(
        "{joined} of {STREAMS} streams hold events of two versions; {MAX_JOINED} may"
    ));
    Ok(if joined > MAX_JOINED {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Returns the operator's configuration.
fn config() -> String {
    let service = engine::SERVICE;
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","hostname":"ficu95.example","prefix":"/lohu930/","route_type":"streaming","timeout_ms":{TIMEOUT_MS},"target_latency_ms":500,"priority":1,"service":"{service}","max_attempts":2,"public":false,"sticky":false,"resumable":true,"gap_aim_ms":150}}],"services":[{{"name":"{service}","health_path":"/healthz","max_connections":370,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["{KEY}"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":90405,"burst":90405}}]}}"#
    )
}

fn read_stream(address: SocketAddr, id: &str, record: &Record) -> Received {
    let mut received = Received::default();
    record.add(format!("client sends {id}"));
    let result = receive(address, id, &mut received);
    received.is_complete = result.is_ok() && received.events.len() as u64 == EVENTS;
    let mut versions = Vec::<(&str, u64, u64)>::new();
    for (number, version) in &received.events {
        match versions.last_mut() {
            Some((last, _, to)) if last == version => *to = *number,
            _ => versions.push((version, *number, *number)),
        }
    }
    let parts: Vec<_> = versions
        .iter()
        .map(|(version, from, to)| format!("{version} wrote {from} to {to}"))
        .collect();
    record.add(format!(
        "client gets {} for {id}: {}; complete: {}",
        received.status,
        parts.join(", "),
        received.is_complete
    ));
    received
}

fn receive(address: SocketAddr, id: &str, received: &mut Received) -> std::io::Result<()> {
    let stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_millis(TIMEOUT_MS)))?;
    let mut connection = http::Connection::new(stream);
    connection.send(
        format!(
            "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {id}\r\nX-Token-Count: 20,100\r\n\
             X-Deadline-Ms: {TIMEOUT_MS}\r\nX-Credential: {KEY}\r\nContent-Length: 0\r\n\r\n"
        )
        .as_bytes(),
    )?;
    let head = connection.head()?;
    received.status = head.status();
    if received.status != 200 {
        return Err(std::io::ErrorKind::Other.into());
    }
    let mut text = String::new();
    loop {
        let chunk = connection.chunk()?;
        if chunk.is_empty() {
            return Ok(());
        }
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some((event, rest)) = text.split_once("\n\n") {
            let number = event.lines().find_map(|line| line.strip_prefix("id: "));
            let data = event.lines().find_map(|line| line.strip_prefix("data: "));
            if let (Some(number), Some(data)) = (number.and_then(|n| n.parse().ok()), data) {
                let version = data.split(' ').next().unwrap_or_default();
                received.events.push((number, version.to_owned()));
            }
            text = rest.to_owned();
        }
    }
}
