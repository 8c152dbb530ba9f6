//! Streams while engines of two software versions serve side by side and fall silent for a second by turns.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::Engine;
use crate::host::Host;
use crate::http;
use crate::random;
use crate::store::Store;
use crate::Setup;

const EVENTS: u64 = 60;
/// The callers that begin a stream at the same time in each round.
const CALLERS: usize = 24;
const ROUNDS: usize = 21;
const ROUND_TIME: Duration = Duration::from_millis(4_900);
/// The silences of one engine in a round, another one in the next: as the callers come, and during the streams. Each is
/// shorter than a second.
const FIRST_SILENCE_MS: std::ops::Range<u64> = 640..800;
const SECOND_SILENCE_MS: std::ops::Range<u64> = 800..950;
/// When the second one begins in a round.
const SECOND_SILENCE: Duration = Duration::from_millis(2_000);
/// More streams than this that hold events of two versions break the rule.
const MAX_MIXED: u64 = 2;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"drafts","hostname":"rounds.example","prefix":"/drafts/",
"route_type":"streaming","resumable":true,"sticky":true,"timeout_ms":12000,"target_latency_ms":500,"gap_aim_ms":150,
"priority":1,"max_attempts":2,"service":"round-assistant"}],
"services":[{"name":"round-assistant","max_connections":370,"health_path":"/healthz","engine":{"slots":64,
"kv_capacity":158517,"weights_mb":200000,"adapter_slots":8,"loads_per_s":1.4,
"models":[{"name":"m0","weights_mb":72700,"load_s":5.8,"adapters":0,"adapter_mb":66}]}}],
"limits":{"max_header_bytes":8000,"max_body_bytes":1000000,"header_timeout_ms":10000,"idle_timeout_ms":30000},
"tenants":[{"name":"crews","api_keys":["key-of-crews"],"rate_per_s":0,"burst":0,"unit":"tokens","plain_tokens":100}]}"#;

/// What the callers have seen.
#[derive(Default)]
struct Counts {
    whole: AtomicU64,
    other: AtomicU64,
    mixed: AtomicU64,
}

pub fn run(setup: &Setup) -> u8 {
    let store = Store::start();
    store.put("op/config", CONFIG);
    let versions = [("i-1", "v1", "arima"), ("i-2", "v2", "arima"), ("i-3", "v1", "tunapuna"), ("i-4", "v2", "tunapuna")];
    let start = |(id, version, zone)| {
        let engine = Engine::start(id, version, "m0", EVENTS, setup.now_ms - 60_000, setup.record.clone());
        store.put(&format!("servers/{id}"), &engine.entry("round-assistant", zone, 64));
        engine
    };
    let engines: Vec<_> = versions.into_iter().map(start).collect();
    let zones = [("frontend-arima-1", "arima"), ("frontend-tunapuna-1", "tunapuna")];
    let hosts = zones.map(|(name, zone)| Host::start(&setup.repository, &setup.folder, name, zone, store.address, true));
    if !hosts.iter().all(|host| host.wait_until_ready(Duration::from_secs(10))) {
        setup.record.line("a host is not ready");
        return 2;
    }
    // The hosts elect a coordinator, and record the versions in service.
    thread::sleep(Duration::from_secs(4));
    let counts = Arc::new(Counts::default());
    let mixed = Arc::new(Mutex::new(Vec::new()));
    for round in 0..ROUNDS {
        let begun = Instant::now();
        let engine = &engines[round % engines.len()];
        let fall_silent = |time| {
            if setup.has_trouble {
                engine.fall_silent(Duration::from_millis(random::between(time)));
            }
        };
        fall_silent(FIRST_SILENCE_MS);
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                let (counts, mixed, record) = (counts.clone(), mixed.clone(), setup.record.clone());
                let address = hosts[number % hosts.len()].callers;
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(random::between(0..40)));
                    let id = format!("c{number:02}-{round:03}");
                    record.line(&format!("caller {number} sends {id}"));
                    let received = begin(address, &id, number);
                    let versions = versions_of(&received.body);
                    let text = format!("{id} got status {}, whole {}, versions {versions:?}", received.status, received.is_complete);
                    record.line(&text);
                    if versions.len() > 1 {
                        counts.mixed.fetch_add(1, Ordering::Relaxed);
                        mixed.lock().expect("a lock").push((id, writers_of(&received.body)));
                    }
                    let is_whole = received.status == 200 && received.is_complete;
                    let count = if is_whole { &counts.whole } else { &counts.other };
                    count.fetch_add(1, Ordering::Relaxed);
                })
            })
            .collect();
        thread::sleep(SECOND_SILENCE);
        fall_silent(SECOND_SILENCE_MS);
        for caller in callers {
            let _ = caller.join();
        }
        thread::sleep(ROUND_TIME.saturating_sub(begun.elapsed()));
    }
    let [whole, other, count] = [&counts.whole, &counts.other, &counts.mixed].map(|count| count.load(Ordering::Relaxed));
    for (id, writers) in mixed.lock().expect("a lock").iter() {
        setup.record.line(&format!("MIXED {id}: {writers}"));
    }
    let text = format!("{whole} streams whole, {other} not, {count} with events of two software versions (at most {MAX_MIXED} allowed)");
    setup.record.line(&text);
    println!("{text}");
    if whole == 0 {
        return 2;
    }
    u8::from(count > MAX_MIXED)
}

fn begin(address: SocketAddr, id: &str, session: usize) -> http::Received {
    let body = "{\"prompt\":\"the rounds of tomorrow\"}";
    let request = format!(
        "POST /drafts/new HTTP/1.1\r\nHost: rounds.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 12000\r\n\
         X-Credential: key-of-crews\r\nX-Model: m0\r\nX-Token-Count: 620,360\r\n\
         X-Prompt-Prefix: 5c1e07a2:100,{session:04x}00:520\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    http::send(address, request.as_bytes(), Duration::from_secs(12))
}

/// Returns the data of the events, which name the engine and its version.
fn data(body: &[u8]) -> Vec<(String, String)> {
    let text = String::from_utf8_lossy(body).into_owned();
    let lines = text.lines().filter_map(|line| line.strip_prefix("data: "));
    lines.filter_map(|line| line.split_once(' ')).map(|(id, version)| (id.to_owned(), version.to_owned())).collect()
}

fn versions_of(body: &[u8]) -> BTreeSet<String> {
    data(body).into_iter().map(|(_, version)| version).collect()
}

/// Returns the engines that wrote a stream, each with the number of its events in a row.
fn writers_of(body: &[u8]) -> String {
    let mut writers: Vec<(String, u32)> = Vec::new();
    for (id, version) in data(body) {
        let name = format!("{id} {version}");
        match writers.last_mut() {
            Some((last, count)) if *last == name => *count += 1,
            _ => writers.push((name, 1)),
        }
    }
    let parts: Vec<_> = writers.into_iter().map(|(name, count)| format!("{count} events of {name}")).collect();
    parts.join(", then ")
}
