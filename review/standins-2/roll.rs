//! Streams that callers take up when one of two hosts is killed a few seconds after the other one was restarted as planned,
//! with a store that was restored from a copy long ago.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
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
const CALLERS: usize = 60;
/// The kill comes this long after the restarted host is ready, so that it has been in touch for `contact_ms` (3 s).
const KILL_AFTER_READY: Duration = Duration::from_millis(3_700);
const GRACE: Duration = Duration::from_secs(8);
const MIN_TAKEN_UP: u64 = 12;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"drafts","hostname":"rounds.example","prefix":"/drafts/",
"route_type":"streaming","resumable":true,"sticky":true,"timeout_ms":12000,"target_latency_ms":500,"gap_aim_ms":150,
"priority":1,"max_attempts":2,"service":"round-assistant"}],
"services":[{"name":"round-assistant","max_connections":370,"health_path":"/healthz","engine":{"slots":64,
"kv_capacity":158517,"weights_mb":200000,"adapter_slots":8,"loads_per_s":1.4,
"models":[{"name":"m0","weights_mb":72700,"load_s":5.8,"adapters":0,"adapter_mb":66}]}}],
"limits":{"max_header_bytes":8000,"max_body_bytes":1000000,"header_timeout_ms":10000,"idle_timeout_ms":30000},
"tenants":[{"name":"crews","api_keys":["key-of-crews"],"rate_per_s":0,"burst":0,"unit":"tokens","plain_tokens":100}]}"#;

/// What the callers have seen after the kill: streams, and those of which events came.
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
    let store = Store::start_in(Some(1));
    store.put("op/config", CONFIG);
    for (id, zone) in [("i-1", "arima"), ("i-2", "tunapuna"), ("i-3", "arima")] {
        let engine = Engine::start(id, "v1", "m0", EVENTS, setup.now_ms - 60_000, setup.record.clone());
        store.put(&format!("servers/{id}"), &engine.entry("round-assistant", zone, 64));
    }
    let zones = [("frontend-arima-1", "arima"), ("frontend-tunapuna-1", "tunapuna")];
    let mut hosts = zones.map(|(name, zone)| Host::start(&setup.repository, &setup.folder, name, zone, store.address, false));
    if !hosts.iter().all(|host| host.wait_until_ready(Duration::from_secs(15))) {
        setup.record.line("a host is not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(8));
    let addresses = [hosts[0].callers, hosts[1].callers];
    // The hosts that the balancer sends new connections to.
    let in_rotation = Arc::new(Mutex::new(vec![addresses[0], addresses[1]]));
    let (is_over, is_late) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let (new, taken_up) = (Arc::new(Count::default()), Arc::new(Count::default()));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (in_rotation, is_over, is_late) = (in_rotation.clone(), is_over.clone(), is_late.clone());
            let (new, taken_up, record) = (new.clone(), taken_up.clone(), setup.record.clone());
            thread::spawn(move || {
                let mut count = 0;
                while !is_over.load(Ordering::Relaxed) {
                    count += 1;
                    thread::sleep(Duration::from_millis(random::between(20..400)));
                    let was_late = is_late.load(Ordering::Relaxed);
                    let id = format!("c{number:02}-{count:03}");
                    let first = begin(choose(&in_rotation), &id, None);
                    let last = last_event(&first.body);
                    record.line(&format!("{id} got status {}, whole {}, {last} events", first.status, first.is_complete));
                    if was_late {
                        new.add(last > 0);
                    }
                    if first.is_complete || last == 0 {
                        continue;
                    }
                    let mut went_on = false;
                    // The callers of this kind try once more.
                    for attempt in 2..4 {
                        thread::sleep(Duration::from_millis(random::between(100..300)));
                        let next = begin(choose(&in_rotation), &format!("{id}-{attempt}"), Some((&id, last)));
                        went_on = next.status == 200 && last_event(&next.body) > last;
                        let why = if next.status == 200 { String::new() } else { String::from_utf8_lossy(&next.body).into_owned() };
                        record.line(&format!("{id} taken up: status {}, whole {} {why}", next.status, next.is_complete));
                        if went_on {
                            break;
                        }
                    }
                    taken_up.add(went_on);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    setup.record.line("planned: the second host gets SIGTERM");
    in_rotation.lock().expect("a lock").truncate(1);
    hosts[1].stop(GRACE);
    hosts[1].start_again(&setup.repository);
    if !hosts[1].wait_until_ready(Duration::from_secs(15)) {
        setup.record.line("the second host is not ready again");
        return 2;
    }
    let ready = Instant::now();
    setup.record.line("the second host is ready again");
    in_rotation.lock().expect("a lock").push(addresses[1]);
    thread::sleep((ready + KILL_AFTER_READY).saturating_duration_since(Instant::now()));
    is_late.store(true, Ordering::Relaxed);
    if setup.has_trouble {
        setup.record.line("the first host is killed");
        in_rotation.lock().expect("a lock").remove(0);
        hosts[0].kill();
    }
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let ((went_on, taken), (new_begun, new_sent)) = (taken_up.get(), new.get());
    let text = format!("{went_on} of {taken} streams that were taken up went on; {new_begun} of {new_sent} new ones began since the kill");
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
    http::send(address, request.as_bytes(), Duration::from_secs(12))
}

fn last_event(body: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(body).into_owned();
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).last().unwrap_or(0)
}
