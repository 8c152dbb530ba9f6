//! Streams that callers take up after a host was killed, in a fleet most of whose hosts have links of 10 Mbit/s, while two
//! software versions serve side by side.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::Engine;
use crate::host::Host;
use crate::http;
use crate::link;
use crate::random;
use crate::store::Store;
use crate::Setup;

/// The hosts by the bandwidth of their links, as on the sheet.
const FAST_LINKS: usize = 6;
const SLOW_LINKS: usize = 24;
const FAST_MBIT_PER_S: f64 = 200.0;
const SLOW_MBIT_PER_S: f64 = 10.0;
/// The streams that begin per second.
const STREAMS_PER_SECOND: u64 = 651;
const LOAD_TIME: Duration = Duration::from_secs(75);
const LONG_EVENTS: u64 = 60;
/// The long streams that run at the host that is killed.
const LONG_STREAMS: usize = 60;
/// When the host is killed, after the load began.
const KILL_TIME: Duration = Duration::from_secs(70);
/// The fewest streams taken up for which the rule holds.
const MIN_TAKEN_UP: u64 = 12;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"drafts","hostname":"rounds.example","prefix":"/drafts/",
"route_type":"streaming","resumable":true,"sticky":true,"timeout_ms":12000,"target_latency_ms":500,"gap_aim_ms":200,
"priority":1,"max_attempts":2,"service":"round-assistant"},{"name":"briefs","hostname":"rounds.example","prefix":"/briefs/",
"route_type":"streaming","resumable":true,"sticky":true,"timeout_ms":4000,"target_latency_ms":1500,"gap_aim_ms":200,
"priority":0,"max_attempts":2,"service":"round-assistant"}],
"services":[{"name":"round-assistant","max_connections":2000,"health_path":"/healthz","engine":{"slots":400,
"kv_capacity":158517,"weights_mb":200000,"adapter_slots":8,"loads_per_s":9,
"models":[{"name":"m0","weights_mb":72700,"load_s":5.8,"adapters":0,"adapter_mb":66}]}}],
"limits":{"max_header_bytes":8000,"max_body_bytes":1000000,"header_timeout_ms":10000,"idle_timeout_ms":30000},
"tenants":[{"name":"crews","api_keys":["key-of-crews"],"rate_per_s":0,"burst":0,"unit":"tokens","plain_tokens":100}]}"#;

/// What the callers have seen: streams sent and streams of which events came.
#[derive(Default)]
struct Count {
    sent: AtomicU64,
    begun: AtomicU64,
}

impl Count {
    fn add(&self, has_events: bool) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.begun.fetch_add(u64::from(has_events), Ordering::Relaxed);
    }

    fn get(&self) -> (u64, u64) {
        (self.begun.load(Ordering::Relaxed), self.sent.load(Ordering::Relaxed))
    }
}

pub fn run(setup: &Setup) -> u8 {
    let store = Store::start();
    store.put("op/config", CONFIG);
    let versions = [("i-1", "v1", "arima"), ("i-2", "v2", "arima"), ("i-3", "v1", "tunapuna"), ("i-4", "v2", "tunapuna")];
    for (id, version, zone) in versions {
        let record = setup.record.clone();
        let engine = Engine::start(id, version, "m0", LONG_EVENTS, setup.now_ms - 60_000, record);
        store.put(&format!("servers/{id}"), &engine.entry("round-assistant", zone, 400));
    }
    let mut hosts: Vec<_> = (0..FAST_LINKS + SLOW_LINKS)
        .map(|number| {
            let rate = if number < FAST_LINKS { FAST_MBIT_PER_S } else { SLOW_MBIT_PER_S };
            let zone = ["arima", "tunapuna", "chaguanas"][number % 3];
            let link = link::start(store.address, rate);
            let name = format!("frontend-{zone}-{number}");
            Host::start_on(&setup.repository, &setup.folder, &name, zone, link, true, rate)
        })
        .collect();
    if !hosts.iter().all(|host| host.wait_until_ready(Duration::from_secs(10))) {
        setup.record.line("a host is not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    let addresses: Vec<_> = hosts.iter().map(|host| host.callers).collect();
    let (new, late_new, taken_up) = (Arc::new(Count::default()), Arc::new(Count::default()), Arc::new(Count::default()));
    let (is_over, is_late) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let begun = Instant::now();
    let load = {
        let (addresses, new, late_new) = (addresses.clone(), new.clone(), late_new.clone());
        let (is_over, is_late) = (is_over.clone(), is_late.clone());
        thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::Relaxed) {
                number += 1;
                let due = begun + Duration::from_micros(number * 1_000_000 / STREAMS_PER_SECOND);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                // The balancer sends no new connection to the host that was killed.
                let is_late = is_late.load(Ordering::Relaxed);
                let first = usize::from(is_late);
                let address = addresses[first + number as usize % (addresses.len() - first)];
                let (new, late_new) = (new.clone(), late_new.clone());
                thread::spawn(move || {
                    let received = begin(address, "/briefs/new", &format!("n{number:06}"), None);
                    let count = if is_late { &late_new } else { &new };
                    count.add(!received.body.is_empty());
                });
            }
        })
    };
    thread::sleep((begun + KILL_TIME - Duration::from_millis(1_500)).saturating_duration_since(Instant::now()));
    setup.record.line(&format!("new streams before: {:?} begun of", new.get()));
    // The callers of long streams are at the first host.
    let callers: Vec<_> = (0..LONG_STREAMS)
        .map(|number| {
            let (addresses, taken_up, record) = (addresses.clone(), taken_up.clone(), setup.record.clone());
            thread::spawn(move || {
                let id = format!("d{number:03}");
                let first = begin(addresses[0], "/drafts/new", &id, None);
                let last = last_event(&first.body);
                record.line(&format!("{id} got status {}, whole {}, {last} events", first.status, first.is_complete));
                if first.is_complete || last == 0 {
                    return;
                }
                thread::sleep(Duration::from_millis(random::between(50..600)));
                let address = addresses[1 + number % (addresses.len() - 1)];
                let begun = Instant::now();
                let rest = begin(address, "/drafts/new", &format!("{id}-2"), Some((&id, last)));
                taken_up.add(!rest.body.is_empty() && rest.status == 200);
                let (status, host, ms) = (rest.status, 1 + number % (addresses.len() - 1), begun.elapsed().as_millis());
                let body = if status == 200 { String::new() } else { String::from_utf8_lossy(&rest.body).into_owned() };
                record.line(&format!("{id} taken up at host {host}: status {status}, whole {}, {ms} ms {body}", rest.is_complete));
            })
        })
        .collect();
    thread::sleep((begun + KILL_TIME).saturating_duration_since(Instant::now()));
    is_late.store(true, Ordering::Relaxed);
    if setup.has_trouble {
        setup.record.line("the first host is killed");
        hosts[0].kill();
    }
    thread::sleep((begun + LOAD_TIME).saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let _ = load.join();
    thread::sleep(Duration::from_secs(3));
    let ((went_on, taken), (new_begun, new_sent)) = (taken_up.get(), late_new.get());
    let text = format!("{went_on} of {taken} streams that were taken up went on; {new_begun} of {new_sent} new ones began in that time");
    setup.record.line(&text);
    println!("{text}");
    if !setup.has_trouble {
        return u8::from(taken > 0);
    }
    if taken < MIN_TAKEN_UP || new_sent == 0 {
        return 2;
    }
    let share = |begun: u64, sent: u64| begun as f64 / sent as f64;
    u8::from(share(went_on, taken) < share(new_begun, new_sent) / 2.0)
}

fn begin(address: SocketAddr, path: &str, id: &str, taken_up: Option<(&str, u64)>) -> http::Received {
    let body = "{\"prompt\":\"the rounds of tomorrow\"}";
    let taken_up = taken_up.map_or(String::new(), |(stream, last)| format!("Last-Event-Id: {last}\r\nResumes: {stream}\r\n"));
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: rounds.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 12000\r\n\
         X-Credential: key-of-crews\r\nX-Model: m0\r\nX-Token-Count: 620,280\r\nX-Prompt-Prefix: 5c1e07a2:100,7700:520\r\n\
         {taken_up}Connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    http::send(address, request.as_bytes(), Duration::from_secs(12))
}

fn last_event(body: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(body).into_owned();
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).last().unwrap_or(0)
}
