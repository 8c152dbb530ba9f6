//! Streams that callers take up because their host stands still, when the first engine of another software version comes into
//! service.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::engine::Engine;
use crate::host::Host;
use crate::http;
use crate::random;
use crate::store::Store;
use crate::Setup;

const EVENTS: u64 = 60;
const CALLERS: usize = 90;
/// The longest gap after which callers leave a stream: the longest of 2 s, four times the objective and eight times the pause.
const MAX_GAP: Duration = Duration::from_secs(2);
/// How long the host stands still.
const FREEZE_TIME: Duration = Duration::from_secs(5);
/// How long after the beginning of that the release begins.
const RELEASE_DELAY: Duration = Duration::from_millis(700);
/// The time in which the balancer finds out that a host does not answer: two questions, one a second.
const BALANCER_TIME: Duration = Duration::from_millis(1_900);
const MIN_TAKEN_UP: u64 = 12;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"drafts","hostname":"rounds.example","prefix":"/drafts/",
"route_type":"streaming","resumable":true,"sticky":true,"timeout_ms":12000,"target_latency_ms":500,"gap_aim_ms":150,
"priority":1,"max_attempts":2,"service":"round-assistant"}],
"services":[{"name":"round-assistant","max_connections":370,"health_path":"/healthz","engine":{"slots":64,
"kv_capacity":158517,"weights_mb":200000,"adapter_slots":8,"loads_per_s":1.4,
"models":[{"name":"m0","weights_mb":72700,"load_s":5.8,"adapters":0,"adapter_mb":66}]}}],
"limits":{"max_header_bytes":8000,"max_body_bytes":1000000,"header_timeout_ms":10000,"idle_timeout_ms":30000},
"tenants":[{"name":"crews","api_keys":["key-of-crews"],"rate_per_s":0,"burst":0,"unit":"tokens","plain_tokens":100}]}"#;

/// Streams, and those of which events came.
#[derive(Default)]
struct Count {
    sent: AtomicU64,
    begun: AtomicU64,
}

impl Count {
    fn add(&self, has_begun: bool) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.begun.fetch_add(u64::from(has_begun), Ordering::Relaxed);
    }

    fn get(&self) -> (u64, u64) {
        (self.begun.load(Ordering::Relaxed), self.sent.load(Ordering::Relaxed))
    }
}

pub fn run(setup: &Setup) -> u8 {
    let store = Store::start();
    store.put("op/config", CONFIG);
    let start = |id, version, zone| {
        let registered = (store.clone(), "round-assistant", zone, 64);
        Engine::start_registered(id, version, (&["m0"], &["m0"]), EVENTS, setup.now_ms - 60_000, registered, setup.record.clone())
    };
    let _engines = [("i-1", "arima"), ("i-2", "tunapuna"), ("i-3", "chaguanas")].map(|(id, zone)| start(id, "v1", zone));
    let zones = [("frontend-arima-1", "arima"), ("frontend-tunapuna-1", "tunapuna"), ("frontend-chaguanas-1", "chaguanas")];
    let hosts = zones.map(|(name, zone)| Host::start(&setup.repository, &setup.folder, name, zone, store.address, true));
    if !hosts.iter().all(|host| host.wait_until_ready(Duration::from_secs(15))) {
        setup.record.line("a host is not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(6));
    let addresses = [hosts[0].callers, hosts[1].callers, hosts[2].callers];
    // The hosts that the balancer sends new connections to.
    let in_rotation = Arc::new(Mutex::new(addresses.to_vec()));
    let (is_over, is_late) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let (new, taken_up) = (Arc::new(Count::default()), Arc::new(Count::default()));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (in_rotation, is_over, is_late) = (in_rotation.clone(), is_over.clone(), is_late.clone());
            let (new, taken_up, record) = (new.clone(), taken_up.clone(), setup.record.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(random::between(0..3_000)));
                let mut count = 0;
                while !is_over.load(Ordering::Relaxed) {
                    count += 1;
                    thread::sleep(Duration::from_millis(random::between(20..200)));
                    let was_late = is_late.load(Ordering::Relaxed);
                    let id = format!("c{number:02}-{count:03}");
                    let address = choose(&in_rotation);
                    let host = addresses.iter().position(|other| *other == address).unwrap_or(0);
                    let first = begin(address, &id, None);
                    let (last, writer) = last_event(&first.body);
                    record.line(&format!("{id} at host {host} got status {}, whole {}, {last} events, {writer}", first.status, first.is_complete));
                    if was_late && host > 0 {
                        new.add(last > 0);
                    }
                    if first.is_complete || last == 0 {
                        continue;
                    }
                    thread::sleep(Duration::from_millis(random::between(20..100)));
                    let next = begin(choose(&in_rotation), &format!("{id}-2"), Some((&id, last)));
                    let (end, by) = last_event(&next.body);
                    taken_up.add(end > last);
                    let why = if next.status == 200 { by } else { String::from_utf8_lossy(&next.body).into_owned() };
                    record.line(&format!("{id} of {writer} taken up: status {}, whole {}, {why}", next.status, next.is_complete));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(10));
    is_late.store(true, Ordering::Relaxed);
    if setup.has_trouble {
        setup.record.line("host 0 stands still");
        hosts[0].signal("STOP");
    }
    thread::sleep(RELEASE_DELAY);
    setup.record.line("planned: a release begins with an engine of v2");
    let _newcomer = start("i-4", "v2", "arima");
    thread::sleep(BALANCER_TIME - RELEASE_DELAY);
    if setup.has_trouble {
        in_rotation.lock().expect("a lock").remove(0);
    }
    thread::sleep(FREEZE_TIME - BALANCER_TIME);
    if setup.has_trouble {
        hosts[0].signal("CONT");
    }
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let ((went_on, taken), (new_begun, new_sent)) = (taken_up.get(), new.get());
    let text = format!("{went_on} of {taken} streams that were taken up went on; {new_begun} of {new_sent} new ones began at the other hosts");
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

fn choose(in_rotation: &Mutex<Vec<SocketAddr>>) -> SocketAddr {
    let addresses = in_rotation.lock().expect("a lock");
    addresses[random::between(0..addresses.len() as u64) as usize]
}

fn begin(address: SocketAddr, id: &str, taken_up: Option<(&str, u64)>) -> http::Received {
    let body = "{\"prompt\":\"the rounds of tomorrow\"}";
    let taken_up = taken_up.map_or(String::new(), |(stream, last)| format!("Last-Event-Id: {last}\r\nResumes: {stream}\r\n"));
    let request = format!(
        "POST /drafts/new HTTP/1.1\r\nHost: rounds.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 12000\r\n\
         X-Credential: key-of-crews\r\nX-Model: m0\r\nX-Token-Count: 620,360\r\nX-Prompt-Prefix: 5c1e07a2:100,7700:520\r\n\
         {taken_up}Connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    http::send(address, request.as_bytes(), MAX_GAP)
}

/// Returns the number of the last event and what it says of its engine.
fn last_event(body: &[u8]) -> (u64, String) {
    let text = String::from_utf8_lossy(body).into_owned();
    let last = |name: &str| text.lines().filter_map(|line| line.strip_prefix(name)).last().map(str::to_owned);
    (last("id: ").and_then(|id| id.parse().ok()).unwrap_or(0), last("data: ").unwrap_or_default())
}
