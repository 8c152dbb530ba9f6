//! The platform's store: keys with revisions, leases, and watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::json;

const HEADERS: &str = "Content-Type: application/json\r\n";

#[derive(Clone, Debug)]
struct Item {
    /// The value as base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes, each with its revision and key; none for a removal.
    history: Vec<(u64, String, Option<Item>)>,
    /// The end and the length of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
}

/// A store that all threads share.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("a bound address"),
            state: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(http::Connection::new(stream)));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.lock().expire();
                expiring.state.1.notify_all();
            }
        });
        store
    }

    /// Writes a key as the operator and the engines do.
    pub fn put(&self, key: &str, value: &str) {
        self.lock().put(key, encode(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no panic while locked")
    }

    fn serve(&self, mut connection: http::Connection) {
        while let Ok(request) = connection.message() {
            let (status, body) = self.handle(&request);
            self.state.1.notify_all();
            if connection.respond(status, HEADERS, &body).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &http::Message) -> (u16, String) {
        match (request.method(), request.path()) {
            ("GET", "/-/kv-key") => self.lock().key(&request.parameter("key")),
            ("GET", "/-/kv-range") => (200, self.lock().range(&request.parameter("prefix"))),
            ("GET", "/-/kv-watch") => self.watch(request),
            ("POST", "/-/kv-txn") => self.lock().transact(&request.body),
            ("POST", "/-/kv-lease") => self.lock().grant(&request.body),
            ("POST", path) if path.starts_with("/-/kv-keep/") => self.lock().keep(path),
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => self.lock().end(path),
            _ => (404, "{}".to_owned()),
        }
    }

    /// Waits for the first change after a revision.
    fn watch(&self, request: &http::Message) -> (u16, String) {
        let prefix = request.parameter("prefix");
        let after = request.parameter("after").parse().unwrap_or(0);
        let wait = request.parameter("wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        loop {
            let events = state.events(&prefix, after);
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, as_of) = (events.join(","), state.revision);
                return (200, format!(r#"{{"events":[{events}],"as_of":{as_of}}}"#));
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.expect("no panic while locked").0;
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (end, _))| *end <= now);
        let ended: Vec<_> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.remove_lease(id);
        }
    }

    fn remove_lease(&mut self, id: u64) -> bool {
        let keys = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<_> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
        self.leases.remove(&id).is_some()
    }

    fn row(key: &str, item: &Item) -> String {
        let Item {
            value,
            revision,
            created,
            lease,
        } = item;
        format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"create_rev":{created},"lease":{lease}}}"#
        )
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<String> {
        let changes = self.history.iter().rev();
        let changes = changes.take_while(|(revision, ..)| *revision > after);
        let changes = changes.filter(|(_, key, _)| key.starts_with(prefix));
        let mut events: Vec<_> = changes
            .map(|(revision, key, item)| match item {
                Some(item) => Self::row(key, item),
                None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
            })
            .collect();
        events.reverse();
        events
    }

    fn key(&self, key: &str) -> (u16, String) {
        match self.items.get(key) {
            Some(item) => (200, Self::row(key, item)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str) -> String {
        let items = self.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let items: Vec<_> = items.map(|(key, item)| Self::row(key, item)).collect();
        let (items, as_of) = (items.join(","), self.revision);
        format!(r#"{{"items":[{items}],"truncated":false,"as_of":{as_of}}}"#)
    }

    fn transact(&mut self, body: &[u8]) -> (u16, String) {
        let Some(call) = json::parse(body) else {
            return (400, "{}".to_owned());
        };
        for row in call.list("precondition") {
            let key = row.text("key").unwrap_or_default();
            let revision = self.items.get(key).map_or(0, |item| item.revision);
            if Some(revision) != row.number("revision") {
                return (412, r#"{"items":[]}"#.to_owned());
            }
        }
        let lease_of = |put: &json::Value| put.number("lease").unwrap_or(0);
        let is_unknown = |lease: u64| lease != 0 && !self.leases.contains_key(&lease);
        if call.list("puts").iter().map(lease_of).any(is_unknown) {
            return (404, "{}".to_owned());
        }
        for put in call.list("puts") {
            let key = put.text("key").unwrap_or_default();
            let value = put.text("value").unwrap_or_default().to_owned();
            self.put(key, value, lease_of(put));
        }
        for key in call.list("drop") {
            if let json::Value::Text(key) = key {
                self.remove(key);
            }
        }
        (200, format!(r#"{{"revision":{}}}"#, self.revision))
    }

    fn grant(&mut self, body: &[u8]) -> (u16, String) {
        let ttl = json::parse(body).and_then(|call| call.number("ttl_ms"));
        let ttl = ttl.unwrap_or(1_000);
        let length = Duration::from_millis(ttl);
        self.revision += 1;
        let id = self.revision;
        self.leases.insert(id, (Instant::now() + length, length));
        (200, format!(r#"{{"lease":{id},"ttl_ms":{ttl}}}"#))
    }

    fn keep(&mut self, path: &str) -> (u16, String) {
        match self.leases.get_mut(&lease_id(path)) {
            Some((end, length)) => {
                *end = Instant::now() + *length;
                (200, format!(r#"{{"ttl_ms":{}}}"#, length.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn end(&mut self, path: &str) -> (u16, String) {
        match self.remove_lease(lease_id(path)) {
            true => (200, "{}".to_owned()),
            false => (404, "{}".to_owned()),
        }
    }
}

fn lease_id(path: &str) -> u64 {
    let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
    id.unwrap_or(0)
}

/// Encodes bytes as standard base64 text with padding.
fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() {
                digit.into()
            } else {
                '='
            });
        }
    }
    text
}
