//! An engine answers one request with interim responses without end. Counts the requests to the sound engines that have
//! no answer half a second after the time limit of their route.

#[path = "../standins/common.rs"]
mod common;

use common::*;
use std::io::Write as _;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

/// The time limit of the route.
const TIMEOUT_MS: u64 = 2_000;
/// The bandwidth of a machine's link, in bytes per second.
const LINK_BYTES_PER_S: f64 = 125e6;
const INTERIM: &[u8] = b"HTTP/1.1 100 C\r\n\r\n";

struct Sent {
    id: String,
    at: f64,
    /// When and how it was answered.
    answered: Option<(f64, String)>,
}

fn main() {
    let (case, temporary) = folders();
    let record = Record::create(&case.join("record.txt"));
    let store = Store::start(&record);
    let route = format!(
        r#"{{"name":"lookup","hostname":"{HOSTNAME}","prefix":"/lookup/","route_type":"idempotent","timeout_ms":{TIMEOUT_MS},"target_latency_ms":300,"priority":2,"service":"app","max_attempts":2,"public":false}}"#
    );
    let config = format!(
        r#"{{"version":1,"routes":[{route}],"services":[{{"name":"app","max_connections":110}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"tenant","api_keys":["{KEY}"],"unit":"tokens","plain_tokens":200,"rate_per_s":1000000,"burst":1000000}}]}}"#
    );
    store.put("op/config", &config);
    // Set when the next request at the first engine is to be answered without end.
    let armed = Arc::new(AtomicBool::new(false));
    let flooded = Arc::new(AtomicU64::new(0));
    for number in 1..=3 {
        let id = format!("i-{number}");
        let (engine, armed, flooded, record_) = (id.clone(), armed.clone(), flooded.clone(), record.clone());
        let address = serve(move |request, stream| {
            let request_id = request.header("x-request-id").unwrap_or_default().to_owned();
            if request.header("x-expect-instance").is_some_and(|expected| expected != engine) {
                return stream.write_all(&response(421, "", "")).is_ok();
            }
            if number == 1 && armed.swap(false, Ordering::SeqCst) {
                record_.line(format!("{engine} answers {request_id} with interim responses until the caller closes"));
                let block = INTERIM.repeat(64 * 1024 / INTERIM.len());
                let (started, mut sent) = (Instant::now(), 0_u64);
                while stream.write_all(&block).is_ok() {
                    sent += block.len() as u64;
                    flooded.store(sent, Ordering::Relaxed);
                    let due = sent as f64 / LINK_BYTES_PER_S;
                    let ahead = due - started.elapsed().as_secs_f64();
                    if ahead > 0.001 {
                        thread::sleep(std::time::Duration::from_secs_f64(ahead));
                    }
                }
                record_.line(format!("{engine}: the caller has closed after {sent} bytes, {:.1} s", started.elapsed().as_secs_f64()));
                return false;
            }
            thread::sleep(ms(20));
            record_.line(format!("{engine} runs {request_id}"));
            let headers = format!("X-Request-Id: {request_id}\r\nX-Server-Stamp: {engine}.{request_id}\r\nKeep-Alive: timeout=15\r\n");
            stream.write_all(&response(200, &headers, "slot 10:30")).is_ok()
        });
        register(&store, &id, "app", address, || r#""slots":6"#.to_owned());
    }
    let host = Host::start(&temporary, "frontend-1", store.address, SAVANNAH);
    if !host.wait_until_ready(ms(10_000)) {
        finish(&record, &temporary, 2, "the host did not become ready");
    }
    let requests = Arc::new(Mutex::new(Vec::<Sent>::new()));
    let ends = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..16)
        .map(|caller| {
            let (requests, ends, record, address) = (requests.clone(), ends.clone(), record.clone(), host.callers);
            thread::spawn(move || {
                let mut connection = Caller::new(address);
                for number in 0.. {
                    if ends.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{caller:02x}{number:06x}");
                    let head = format!(
                        "GET /lookup/{number} HTTP/1.1\r\nHost: {HOSTNAME}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 4000\r\nX-Credential: {KEY}\r\n"
                    );
                    record.line(format!("caller sends {id}"));
                    let index = {
                        let mut requests = requests.lock().unwrap();
                        requests.push(Sent { id: id.clone(), at: record.seconds(), answered: None });
                        requests.len() - 1
                    };
                    let answer = match connection.send(&head, "", ms(4_000)) {
                        Answer::Whole(status, _) => Some(status.to_string()),
                        Answer::Broken => Some("closed connection".to_owned()),
                        Answer::Silent => None,
                    };
                    record.line(format!("caller gets {} for {id}", answer.as_deref().unwrap_or("nothing within its 4 s")));
                    let at = record.seconds();
                    requests.lock().unwrap()[index].answered = answer.map(|answer| (at, answer));
                    thread::sleep(ms(50));
                }
            })
        })
        .collect();
    thread::sleep(ms(6_000));
    let began = record.seconds();
    if with_trouble() {
        armed.store(true, Ordering::SeqCst);
    }
    thread::sleep(ms(12_000));
    let ready = host.is_ready();
    record.line(format!("the readiness probe {}", if ready { "gets 200" } else { "gets no 200" }));
    ends.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let requests = requests.lock().unwrap();
    let limit = TIMEOUT_MS as f64 / 1_000.0;
    let (mut unanswered, mut late, mut served) = (0, 0, 0);
    for request in requests.iter().filter(|request| request.at >= began) {
        let after = request.answered.as_ref().map_or(f64::INFINITY, |(at, _)| at - request.at);
        served += usize::from(request.answered.as_ref().is_some_and(|(_, answer)| answer == "200"));
        if after >= limit {
            unanswered += 1;
            if after > limit + 0.5 {
                late += 1;
                record.line(format!("no answer within {:.1} s: {}", limit + 0.5, request.id));
            }
        }
    }
    let text = format!(
        "after the disruption: {served} requests served; {unanswered} unanswered at the time limit of the route, {late} of them half a second later; {} bytes sent without end",
        flooded.load(Ordering::Relaxed)
    );
    let broken = late >= 8 && late * 2 > unanswered;
    drop(host);
    finish(&record, &temporary, i32::from(broken), &text);
}
