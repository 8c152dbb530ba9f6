//! The configuration grows by many routes, and then a route is moved to another service. Counts the requests that a host
//! on a slow link still sends to the old service after the change has to be in force.

#[path = "../standins/common.rs"]
mod common;

use common::*;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::{Arc, Mutex};
use std::thread;

/// The routes that `big_config` adds at a time on the site.
const ROUTES: usize = 1_400;
/// The largest value that the store accepts.
const VALUE_BYTES: usize = 1_048_576;

fn route(name: &str, prefix: &str, service: &str, public: bool) -> String {
    format!(
        r#"{{"name":"{name}","hostname":"{HOSTNAME}","prefix":"{prefix}","route_type":"idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"{service}","max_attempts":2,"public":{public},"sticky":false,"resumable":false}}"#
    )
}

fn config(version: u64, more: usize, service: &str) -> String {
    let mut routes = route("r-moved", "/moved/", service, true);
    let _ = write!(routes, ",{}", route("r-keyed", "/keyed/", service, false));
    for number in 0..more {
        let _ = write!(routes, ",{}", route(&format!("r-{number:07}"), &format!("/more{number}/"), "old", false));
    }
    let text = format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"old","max_connections":240}},{{"name":"new","max_connections":240}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"tenant","api_keys":["{KEY}"],"unit":"tokens","plain_tokens":200,"rate_per_s":1000000,"burst":1000000}}]}}"#
    );
    assert!(text.len() <= VALUE_BYTES, "the store accepts no larger value");
    text
}

fn main() {
    let (case, temporary) = folders();
    let record = Record::create(&case.join("record.txt"));
    let store = Store::start(&record);
    let mut version = 1;
    store.put("op/config", &config(version, 0, "old"));
    let ran_at = Arc::new(Mutex::new(BTreeMap::<String, &'static str>::new()));
    for (service, id) in [("old", "i-1"), ("old", "i-2"), ("new", "i-3"), ("new", "i-4")] {
        let (ran_at, log) = (ran_at.clone(), record.clone());
        let address = serve(move |request, stream| {
            let request_id = request.header("x-request-id").unwrap_or_default().to_owned();
            if request.header("x-expect-instance").is_some_and(|expected| expected != id) {
                return stream.write_all(&response(421, "", "")).is_ok();
            }
            log.line(format!("{id} of the service {service} runs {request_id}"));
            ran_at.lock().unwrap().insert(request_id.clone(), service);
            thread::sleep(ms(15));
            let headers = format!("X-Request-Id: {request_id}\r\nX-Server-Stamp: {id}.{request_id}\r\n");
            stream.write_all(&response(200, &headers, "slot 10:30")).is_ok()
        });
        register(&store, id, service, address, || r#""slots":6"#.to_owned());
    }
    let slow_link = link(store.address, GROWN_SMALL.link_mbps);
    let hosts = [
        Host::start(&temporary, "frontend-1", store.address, GROWN_LARGE),
        Host::start(&temporary, "frontend-2", slow_link, GROWN_SMALL),
    ];
    if !hosts.iter().all(|host| host.wait_until_ready(ms(10_000))) {
        finish(&record, &temporary, 2, "a host did not become ready");
    }
    thread::sleep(ms(4_000));
    let mut more = 0;
    if with_trouble() {
        for _ in 0..3 {
            more += ROUTES;
            version += 1;
            let text = config(version, more, "old");
            store.put("op/config", &text);
            record.line(format!("version {version} is confirmed: {ROUTES} routes more, {} bytes", text.len()));
            thread::sleep(ms(5_000));
        }
    }
    version += 1;
    store.put("op/config", &config(version, more, "new"));
    let confirmed = record.seconds();
    record.line(format!("version {version} is confirmed: the routes /moved/ and /keyed/ lead to the service new"));
    let due = confirmed + f64::from(GROWN_LARGE.apply_ms) / 1_000.0;
    let mut callers: Vec<_> = hosts.iter().map(|host| Caller::new(host.callers)).collect();
    let mut counts = BTreeMap::<(String, &str, String), u32>::new();
    let mut stale = 0;
    for number in 0.. {
        if record.seconds() > confirmed + 20.0 {
            break;
        }
        for (host, caller) in hosts.iter().zip(&mut callers) {
            for (path, key) in [("/moved/", String::new()), ("/keyed/", format!("X-Credential: {KEY}\r\n"))] {
                let id = format!("{}{}{number:06x}", &host.name[9..], &path[1..2]);
                let head = format!("GET {path}{number} HTTP/1.1\r\nHost: {HOSTNAME}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 4000\r\n{key}");
                let sent = record.seconds();
                let answer = match caller.send(&head, "", ms(4_000)) {
                    Answer::Whole(status, _) => status.to_string(),
                    other => format!("{other:?}"),
                };
                let service = ran_at.lock().unwrap().get(&id).copied();
                record.line(format!("{} answers {answer} to {id} for {path}, sent {:.2} s after the confirmation", host.name, sent - confirmed));
                if sent > due {
                    let outcome = service.map_or(answer, |service| format!("run by the service {service}"));
                    *counts.entry((host.name.clone(), path, outcome)).or_default() += 1;
                    if service == Some("old") {
                        stale += 1;
                        record.line(format!("{id} was sent later than the bound and run by the old service"));
                    }
                }
            }
        }
        thread::sleep(ms(100));
    }
    for host in &hosts {
        record.line(format!("{} is {}ready", host.name, if host.is_ready() { "" } else { "not " }));
    }
    let mut text = format!("of the requests sent later than the bound, {stale} were run by the old service");
    for ((host, path, outcome), count) in &counts {
        let _ = write!(text, "; {host} {path} {outcome}: {count}");
    }
    drop(hosts);
    finish(&record, &temporary, i32::from(stale > 0), &text);
}
