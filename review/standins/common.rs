//! Stand-ins for the users' platform on loopback: the key-value store, engines, callers, and the start and stop of entry
//! hosts. Only the standard library is used.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The entry host program, as in the deploy file.
pub const PROGRAM: &str = "target/release/carawaycleat-platform";
pub const KEY: &str = "key-of-the-tenant";
pub const HOSTNAME: &str = "review.example";

/// The longest time of a run.
const MAX_TIME: Duration = Duration::from_secs(116);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The record of a run, with times in seconds since its beginning.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(fs::File::create(path).expect("a writable record"))),
        }
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.4} {}\n", self.seconds(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// JSON

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let mut parser = Parser { bytes, at: 0 };
        parser.value()
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Object(fields) => fields.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<String> {
        match self.get(name) {
            Some(Self::Text(text)) => Some(text.clone()),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Self::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Self::List(list)) => list,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, byte: u8) -> bool {
        self.skip();
        let found = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.eat(b'}') {
                    return Some(Json::Object(fields));
                }
                loop {
                    self.skip();
                    let name = self.string()?;
                    if !self.eat(b':') {
                        return None;
                    }
                    fields.push((name, self.value()?));
                    if !self.eat(b',') {
                        return self.eat(b'}').then_some(Json::Object(fields));
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.eat(b']') {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if !self.eat(b',') {
                        return self.eat(b']').then_some(Json::List(list));
                    }
                }
            }
            b'"' => Some(Json::Text(self.string()?)),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b))
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                Some(Json::Number(text.parse().ok()?))
            }
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn string(&mut self) -> Option<String> {
        if !self.eat(b'"') {
            return None;
        }
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    text.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        b'r' => b'\r',
                        other => other,
                    });
                }
                other => text.push(other),
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let get = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = get(0) << 16 | get(1) << 8 | get(2);
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * index)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------------------------------
// HTTP

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn parameter(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.filter(|(n, _)| *n == name).map(|(_, v)| v).next();
        decode_percent(value.unwrap_or_default())
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
            decoded.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
            at += 3;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads the start line and the headers of a message.
fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let line = |reader: &mut dyn BufRead| {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(length) if length > 0 && line.ends_with('\n') => Some(line.trim_end().to_owned()),
            _ => None,
        }
    };
    let start = line(reader)?;
    let mut headers = Vec::new();
    loop {
        let text = line(reader)?;
        if text.is_empty() {
            return Some((start, headers));
        }
        let (name, value) = text.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<Vec<u8>> {
    if find(headers, "transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = find(headers, "content-length").map_or(Some(0), |v| v.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

pub fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (start, headers) = read_head(reader)?;
    let mut words = start.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let body = read_body(reader, &headers)?;
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    })
}

/// Returns a response with a length.
pub fn response(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

pub fn json(status: u16, body: &str) -> Vec<u8> {
    response(status, "Content-Type: application/json\r\n", body)
}

/// A server that serves each connection on a thread of its own.
pub struct Server {
    pub address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// The handler writes the response; it returns false to close the connection.
    pub fn start<H>(handler: H) -> Self
    where
        H: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let handler = Arc::new(handler);
        let is_stopped = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(Mutex::new(Vec::new()));
        let server = Self {
            address,
            is_stopped: is_stopped.clone(),
            connections: connections.clone(),
        };
        thread::spawn(move || {
            for stream in listener.incoming() {
                if is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(mut stream) = stream else { continue };
                let handler = handler.clone();
                if let Ok(copy) = stream.try_clone() {
                    connections.lock().unwrap().push(copy);
                }
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let Ok(copy) = stream.try_clone() else { return };
                    let mut reader = BufReader::new(copy);
                    while let Some(request) = read_request(&mut reader) {
                        if !handler(&request, &mut stream) {
                            let _ = stream.shutdown(std::net::Shutdown::Both);
                            return;
                        }
                    }
                });
            }
        });
        server
    }

    /// Closes the listener and all connections.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Starts a server that is never stopped.
pub fn serve<H>(handler: H) -> SocketAddr
where
    H: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    Server::start(handler).address
}

/// How a request of a caller ended.
#[derive(Clone, Debug)]
pub enum Answer {
    /// The status and the whole body.
    Whole(u16, Vec<u8>),
    /// The connection ended or was reset.
    Broken,
    /// Nothing complete arrived in time.
    Silent,
}

/// A caller that keeps its connection.
pub struct Caller {
    address: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

impl Caller {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Returns whether the next request is sent on the connection of the last one.
    pub fn is_open(&self) -> bool {
        self.connection.is_some()
    }

    /// Sends a request and waits up to `timeout` for the whole answer.
    pub fn send(&mut self, head: &str, body: &str, timeout: Duration) -> Answer {
        let deadline = Instant::now() + timeout;
        if self.connection.is_none() {
            match TcpStream::connect_timeout(&self.address, ms(1_000)) {
                Ok(stream) => {
                    let _ = stream.set_nodelay(true);
                    self.connection = Some(BufReader::new(stream));
                }
                Err(_) => return Answer::Broken,
            }
        }
        let mut reader = self.connection.take().expect("set above");
        let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        if reader.get_mut().write_all(text.as_bytes()).is_err() {
            return Answer::Broken;
        }
        let _ = reader
            .get_ref()
            .set_read_timeout(Some(deadline.saturating_duration_since(Instant::now()).max(ms(1))));
        let answer = read_head(&mut reader).and_then(|(start, headers)| {
            let status = start.split(' ').nth(1)?.parse().ok()?;
            let body = read_body(&mut reader, &headers)?;
            let closes = find(&headers, "connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
            Some((status, body, closes))
        });
        match answer {
            Some((status, body, closes)) => {
                if !closes {
                    self.connection = Some(reader);
                }
                Answer::Whole(status, body)
            }
            None if Instant::now() >= deadline => Answer::Silent,
            None => Answer::Broken,
        }
    }
}

pub fn get(address: SocketAddr, path: &str, timeout: Duration) -> Answer {
    Caller::new(address).send(&format!("GET {path} HTTP/1.1\r\nHost: local\r\n"), "", timeout)
}

// ---------------------------------------------------------------------------------------------------------------------
// The store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

/// The platform's key-value store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<StoreState>, Condvar)>,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"create_rev":{},"lease":{}}}"#,
        item.value, item.revision, item.created, item.lease
    )
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
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
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key);
        }
        true
    }
}

impl Store {
    /// Starts a store that records the writes of the system's own keys.
    pub fn start(record: &Record) -> Self {
        let log = record.clone();
        let shared = Arc::new((
            Mutex::new(StoreState {
                revision: 1,
                next_lease: 1_000,
                ..StoreState::default()
            }),
            Condvar::new(),
        ));
        let serving = shared.clone();
        let address = serve(move |request, stream| {
            let answer = handle_store(&serving, request, &log);
            stream.write_all(&answer).is_ok()
        });
        let expiring = shared.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(ms(20));
                let mut state = expiring.0.lock().unwrap();
                let now = Instant::now();
                let ended: Vec<u64> = state.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
                for lease in &ended {
                    state.end_lease(*lease);
                }
                if !ended.is_empty() {
                    expiring.1.notify_all();
                }
            }
        });
        Self { address, shared }
    }

    /// Writes a key without a lease, as the operator and engines do.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        self.shared.1.notify_all();
    }
}

fn handle_store(shared: &(Mutex<StoreState>, Condvar), request: &Request, log: &Record) -> Vec<u8> {
    let mut state = shared.0.lock().unwrap();
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/-/kv-key") => {
            let key = request.parameter("key");
            match state.items.get(&key) {
                Some(item) => {
                    let text = item_json(&key, item);
                    let text = format!("{},\"as_of\":{}}}", &text[..text.len() - 1], state.revision);
                    json(200, &text)
                }
                None => json(404, "{}"),
            }
        }
        ("GET", "/-/kv-range") => {
            let (prefix, after) = (request.parameter("prefix"), request.parameter("after"));
            let matching = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
            let mut items: Vec<_> = matching.map(|(key, item)| item_json(key, item)).collect();
            let truncated = items.len() > 500;
            items.truncate(500);
            json(
                200,
                &format!(
                    r#"{{"items":[{}],"truncated":{truncated},"as_of":{}}}"#,
                    items.join(","),
                    state.revision
                ),
            )
        }
        ("GET", "/-/kv-watch") => {
            let prefix = request.parameter("prefix");
            let after: u64 = request.parameter("after").parse().unwrap_or(0);
            let wait: u64 = request.parameter("wait_ms").parse().unwrap_or(0);
            let deadline = Instant::now() + ms(wait.min(30_000));
            loop {
                let events: Vec<_> = state
                    .history
                    .iter()
                    .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                    .map(|(revision, key, item)| match item {
                        Some(item) => item_json(key, item),
                        None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
                    })
                    .collect();
                let now = Instant::now();
                if !events.is_empty() || now >= deadline {
                    let text = format!(r#"{{"events":[{}],"as_of":{}}}"#, events.join(","), state.revision);
                    return json(200, &text);
                }
                state = shared.1.wait_timeout(state, deadline - now).unwrap().0;
            }
        }
        ("POST", "/-/kv-txn") => {
            let Some(body) = Json::parse(&request.body) else {
                return json(400, "{}");
            };
            let current = |state: &StoreState, key: &str| state.items.get(key).map_or(0, |item| item.revision);
            for row in body.list("precondition") {
                let key = row.text("key").unwrap_or_default();
                if current(&state, &key) != row.number("revision").unwrap_or(0) {
                    let items = state.items.get(&key).map(|item| item_json(&key, item));
                    return json(412, &format!(r#"{{"items":[{}]}}"#, items.unwrap_or_default()));
                }
            }
            for put in body.list("puts") {
                let lease = put.number("lease").unwrap_or(0);
                if lease != 0 && !state.leases.contains_key(&lease) {
                    return json(404, "{}");
                }
            }
            state.revision += 1;
            for put in body.list("puts") {
                let (key, value) = (put.text("key").unwrap_or_default(), put.text("value").unwrap_or_default());
                log.line(format!("store: {key} = {value} (base64) at revision {}", state.revision));
                state.put(&key, value, put.number("lease").unwrap_or(0));
            }
            for key in body.list("drop") {
                if let Json::Text(key) = key {
                    state.remove(key);
                }
            }
            shared.1.notify_all();
            json(200, &format!(r#"{{"revision":{}}}"#, state.revision))
        }
        ("POST", "/-/kv-lease") => {
            let ttl = Json::parse(&request.body).and_then(|body| body.number("ttl_ms")).unwrap_or(1_000);
            let ttl = ttl.clamp(1_000, 600_000);
            state.next_lease += 1;
            let lease = state.next_lease;
            state.leases.insert(lease, (Instant::now() + ms(ttl), ms(ttl)));
            json(200, &format!(r#"{{"lease":{lease},"ttl_ms":{ttl}}}"#))
        }
        ("POST", path) if path.starts_with("/-/kv-keep/") => {
            let lease: u64 = path["/-/kv-keep/".len()..].parse().unwrap_or(0);
            match state.leases.get_mut(&lease) {
                Some((end, ttl)) => {
                    *end = Instant::now() + *ttl;
                    let text = format!(r#"{{"ttl_ms":{}}}"#, ttl.as_millis());
                    json(200, &text)
                }
                None => json(404, "{}"),
            }
        }
        ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
            let lease: u64 = path["/-/kv-lease-end/".len()..].parse().unwrap_or(0);
            let known = state.end_lease(lease);
            shared.1.notify_all();
            json(if known { 200 } else { 404 }, "{}")
        }
        _ => json(404, "{}"),
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Engines

pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}

/// Keeps the entry of an engine in the store, written each 1.2 s, until the program ends.
pub fn register(store: &Store, id: &str, service: &str, address: SocketAddr, fields: impl Fn() -> String + Send + 'static) {
    let (store, id, service, born) = (store.clone(), id.to_owned(), service.to_owned(), unix_millis());
    let count = AtomicU64::new(1);
    let write = move || {
        let seq = count.fetch_add(1, Ordering::Relaxed);
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"zone-a","version":"v1","state":"ready","cold_remaining_ms":0,"seq":{seq},"born":{born},{}}}"#,
            fields()
        );
        store.put(&format!("servers/{id}"), &entry);
    };
    write();
    thread::spawn(move || {
        loop {
            thread::sleep(ms(1_200));
            write();
        }
    });
}

// ---------------------------------------------------------------------------------------------------------------------
// Entry hosts

fn free_ports(count: usize) -> Vec<u16> {
    let listeners: Vec<_> = (0..count)
        .map(|_| TcpListener::bind(("127.0.0.1", 0)).expect("a free port"))
        .collect();
    let ports = listeners.iter().map(|l| l.local_addr().expect("an address").port());
    ports.collect()
}

/// What the settings of a host take from its site.
#[derive(Clone, Copy)]
pub struct Site {
    pub cpu_share: f64,
    pub memory_mb: u32,
    pub link_mbps: f64,
    pub contact_ms: u32,
    /// The bounds `config_apply_ms` and `drain_ms`, which are equal on these sites.
    pub apply_ms: u32,
}

/// An entry host of savannah-rounds.
pub const SAVANNAH: Site = Site {
    cpu_share: 0.19,
    memory_mb: 260,
    link_mbps: 1000.0,
    contact_ms: 3000,
    apply_ms: 2000,
};

/// One of the larger entry hosts of savannah-rounds-grown.
pub const GROWN_LARGE: Site = Site {
    cpu_share: 0.5,
    memory_mb: 512,
    link_mbps: 200.0,
    contact_ms: 4000,
    apply_ms: 3000,
};

/// One of the smaller entry hosts of savannah-rounds-grown.
pub const GROWN_SMALL: Site = Site {
    cpu_share: 0.09,
    memory_mb: 160,
    link_mbps: 10.0,
    ..GROWN_LARGE
};

/// Forwards connections to `target` with the bandwidth of a machine's link, which all of them share, in each direction.
pub fn link(target: SocketAddr, mbps: f64) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let free_at = [(); 2].map(|()| Arc::new(Mutex::new(Instant::now())));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let Ok(other) = TcpStream::connect(target) else { continue };
            let pairs = [(&stream, &other, &free_at[0]), (&other, &stream, &free_at[1])];
            for (from, to, free_at) in pairs {
                let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else { continue };
                let _ = to.set_nodelay(true);
                let free_at = free_at.clone();
                thread::spawn(move || {
                    let mut buffer = [0; 4096];
                    while let Ok(length) = from.read(&mut buffer) {
                        if length == 0 {
                            break;
                        }
                        let until = {
                            let mut free_at = free_at.lock().unwrap();
                            let time = Duration::from_secs_f64(length as f64 * 8.0 / (mbps * 1e6));
                            *free_at = (*free_at).max(Instant::now()) + time;
                            *free_at
                        };
                        thread::sleep(until.saturating_duration_since(Instant::now()));
                        if to.write_all(&buffer[..length]).is_err() {
                            break;
                        }
                    }
                    let _ = to.shutdown(std::net::Shutdown::Write);
                    let _ = from.shutdown(std::net::Shutdown::Read);
                });
            }
        }
    });
    address
}

/// The processes that were started and have not been waited for.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// An entry host process.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let child = run(settings, log);
    PROCESSES.lock().unwrap().push(child.id());
    child
}

fn run(settings: &Path, log: &Path) -> Child {
    let output = fs::OpenOptions::new().create(true).append(true).open(log).expect("a writable log");
    // The platform limits the descriptors of a process to `max_fds`.
    Command::new("sh")
        .args(["-c", "ulimit -n 4100 && exec \"$0\" entry", PROGRAM])
        .env_clear()
        .env("PATH", std::env::var("PATH").unwrap_or_default())
        .env("CARAWAYCLEAT_CONFIG", settings)
        .stdin(Stdio::null())
        .stderr(output.try_clone().expect("a copy of the log"))
        .stdout(output)
        .spawn()
        .expect("the program of the deploy file")
}

impl Host {
    /// Starts a host.
    ///
    /// Another process may bind a chosen port before the host does; the host is then started again with other ports.
    pub fn start(folder: &Path, name: &str, store: SocketAddr, site: Site) -> Self {
        for _ in 0..20 {
            let mut host = Self::try_start(folder, name, store, site);
            let deadline = Instant::now() + ms(5_000);
            while host.has_exited().is_none() && Instant::now() < deadline {
                let listens = [host.callers, host.ready].iter().all(|address| TcpStream::connect(address).is_ok());
                if listens && fs::read_to_string(&host.log).is_ok_and(|log| log.contains("\"event\":\"started\"")) {
                    return host;
                }
                thread::sleep(ms(20));
            }
        }
        panic!("{name} does not start");
    }

    fn try_start(folder: &Path, name: &str, store: SocketAddr, site: Site) -> Self {
        let mut ports = free_ports(4);
        ports.sort_unstable();
        let (first, last) = (ports[0], ports[3]);
        let (callers, ready) = (ports[1], ports[2]);
        let text = format!(
            r#"node_name = "{name}"
role = "entry"
machine_class = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = "zone-a"
region = "region-a"
internal_ports = [{first},{last}]
seeds = []
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","tenants","quota","platform"]
[zones]
zone-a = "region-a"
[listen]
front = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
[limits]
cpu_share = {}
cores = 1
memory_mb = {}
max_fds = 4100
link_mbps = {:.1}
disk_mb = 0
[bounds]
contact_ms = {}
drain_ms = {}
grace_s = 8
loss_slack_ms = 200
config_apply_ms = {}
downgrade_slack_ms = 250
max_stretch_ms = 5000
strict_revoke = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 56
quota_window_s = 8
quota_overshoot = 0.1
quota_slack = 7500
recover_s = 12
fencing_enforced = false
lease_ms = 3000
thaw_ms = 300
[platform]
address = "{}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#,
            site.cpu_share, site.memory_mb, site.link_mbps, site.contact_ms, site.apply_ms, site.apply_ms, store
        );
        let settings = folder.join(format!("{name}.toml"));
        let log = folder.join(format!("{name}.log"));
        let _ = fs::remove_file(&log);
        fs::write(&settings, text).expect("a writable folder");
        let child = spawn(&settings, &log);
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            name: name.to_owned(),
            callers: address(callers),
            ready: address(ready),
            settings,
            log,
            child,
        }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id();
        PROCESSES.lock().unwrap().retain(|other| *other != id);
    }

    pub fn has_exited(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Starts the process again.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.settings, &self.log);
    }

    pub fn is_ready(&self) -> bool {
        matches!(get(self.ready, "/-/readyz", ms(1_000)), Answer::Whole(200, _))
    }

    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            thread::sleep(ms(20));
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns whether the disruption is to happen: unless the second argument, which the script takes from `TROUBLE`, is 0.
pub fn with_trouble() -> bool {
    std::env::args().nth(2).as_deref() != Some("0")
}

/// Returns the folder of the case, the first argument, and a new temporary folder.
pub fn folders() -> (PathBuf, PathBuf) {
    let case = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let temporary = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_millis()));
    fs::create_dir_all(&temporary).expect("a temporary folder");
    let folder = temporary.clone();
    thread::spawn(move || {
        thread::sleep(MAX_TIME);
        end_processes();
        let _ = fs::remove_dir_all(&folder);
        println!("the run takes too long");
        std::process::exit(2)
    });
    (case, temporary)
}

fn end_processes() {
    for id in PROCESSES.lock().unwrap().drain(..) {
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
}

/// Ends all processes and the run.
pub fn finish(record: &Record, temporary: &Path, code: i32, text: &str) -> ! {
    record.line(format!("exit {code}: {text}"));
    println!("{text}");
    end_processes();
    let _ = fs::remove_dir_all(temporary);
    std::process::exit(code)
}
