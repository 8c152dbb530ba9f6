//! A stand-in for the platform's key-value store on a loopback address.
//!
//! Values are kept as the base64 text that callers send; only the entries of the operator and the engines are encoded here.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Json};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

/// The store. Clones share it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    /// The value of the header `Store-Era`; none for a store that has never been restored.
    era: Option<u64>,
    state: Arc<Mutex<State>>,
}

impl Store {
    /// Starts a store on a free port that has never been restored.
    pub fn start() -> Self {
        Self::start_in(None)
    }

    /// Starts a store on a free port that was restored from a copy `era` times, long ago.
    pub fn start_in(era: Option<u64>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            era,
            state: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    http::serve(stream, |request| {
                        let (status, body) = store.handle(&request);
                        let mut response = http::Response::json(status, &body);
                        if let Some(era) = store.era {
                            response.headers.push_str(&format!("Store-Era: {era}\r\n"));
                        }
                        response
                    });
                });
            }
        });
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            expiring.state.lock().expect("a lock").expire();
        });
        store
    }

    /// Writes a key without a lease, as the operator and the engines do.
    pub fn put(&self, key: &str, text: &str) {
        let value = base64(text.as_bytes());
        self.state.lock().expect("a lock").put(key, value, 0);
    }

    /// Removes a key, as the platform does with the entry of an engine that is gone.
    pub fn remove(&self, key: &str) {
        self.state.lock().expect("a lock").remove(key);
    }

    fn handle(&self, request: &http::Request) -> (u16, String) {
        let path = request.path();
        let number = |name: &str| request.query(name).parse::<u64>().unwrap_or(0);
        match (request.method.as_str(), path) {
            ("GET", "/-/kv-key") => {
                let state = self.state.lock().expect("a lock");
                match state.items.get(&request.query("key")) {
                    None => (404, "{}".to_owned()),
                    Some(item) => (200, row(&request.query("key"), item, Some(state.revision))),
                }
            }
            ("GET", "/-/kv-range") => {
                let state = self.state.lock().expect("a lock");
                let prefix = request.query("prefix");
                let rows: Vec<_> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix))
                    .map(|(key, item)| row(key, item, None))
                    .collect();
                let rows = rows.join(",");
                let revision = state.revision;
                (200, format!("{{\"items\":[{rows}],\"truncated\":false,\"as_of\":{revision}}}"))
            }
            ("GET", "/-/kv-watch") => {
                let end = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
                let (prefix, after) = (request.query("prefix"), number("after"));
                loop {
                    {
                        let state = self.state.lock().expect("a lock");
                        if after > state.revision {
                            return (410, "{}".to_owned());
                        }
                        let events: Vec<_> = state
                            .history
                            .iter()
                            .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                            .map(|(revision, key, item)| match item {
                                Some(item) => row(key, item, None),
                                None => format!(
                                    "{{\"key\":{},\"revision\":{revision},\"removed\":true}}",
                                    json::quote(key)
                                ),
                            })
                            .collect();
                        if !events.is_empty() || Instant::now() >= end {
                            let revision = state.revision;
                            let events = events.join(",");
                            return (200, format!("{{\"events\":[{events}],\"as_of\":{revision}}}"));
                        }
                    }
                    thread::sleep(Duration::from_millis(5));
                }
            }
            ("POST", "/-/kv-txn") => {
                let Some(body) = json::parse(&request.body) else {
                    return (400, "{}".to_owned());
                };
                self.state.lock().expect("a lock").transact(&body)
            }
            ("POST", "/-/kv-lease") => {
                let ttl = json::parse(&request.body).map_or(1_000, |body| body.get("ttl_ms").number());
                let ttl = ttl.clamp(1_000, 600_000);
                let mut state = self.state.lock().expect("a lock");
                state.next_lease += 1;
                let id = state.next_lease;
                let ttl_time = Duration::from_millis(ttl);
                state.leases.insert(id, (Instant::now() + ttl_time, ttl_time));
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let mut state = self.state.lock().expect("a lock");
                state.expire();
                match state.leases.get_mut(&last_number(path)) {
                    None => (404, "{}".to_owned()),
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                self.state.lock().expect("a lock").end_lease(last_number(path));
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<_> = self.items.iter().filter(|(_, item)| item.lease == id).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<_> = self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        self.expire();
        for condition in body.get("precondition").list() {
            let key = condition.get("key").text();
            let revision = self.items.get(&key).map_or(0, |item| item.revision);
            if revision != condition.get("revision").number() {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        let puts = body.get("puts").list();
        for put in &puts {
            let lease = put.get("lease").number();
            if lease != 0 && !self.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
            let key = put.get("key").text();
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".to_owned());
            }
        }
        for put in &puts {
            self.put(&put.get("key").text(), put.get("value").text(), put.get("lease").number());
        }
        for key in body.get("drop").list() {
            self.remove(&key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

fn row(key: &str, item: &Item, as_of: Option<u64>) -> String {
    let as_of = as_of.map_or(String::new(), |revision| format!(",\"as_of\":{revision}"));
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"create_rev\":{},\"lease\":{}{as_of}}}",
        json::quote(key), item.value, item.revision, item.created, item.lease
    )
}

fn last_number(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = [0; 3];
        bits[..group.len()].copy_from_slice(group);
        let value = u32::from(bits[0]) << 16 | u32::from(bits[1]) << 8 | u32::from(bits[2]);
        for digit in 0..4 {
            if digit <= group.len() {
                let index = value >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
