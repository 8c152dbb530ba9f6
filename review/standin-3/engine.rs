//! Engines of a service without models, which stream events.

use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;

use crate::host;
use crate::http;
use crate::record::Record;
use crate::store::Store;

pub const SERVICE: &str = "reports";
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The requests that wait for a slot at most.
const MAX_QUEUED: u32 = 4;
/// The time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// One process of an engine.
struct Process {
    id: String,
    version: &'static str,
    address: SocketAddr,
    slots: u32,
    /// The requests that run, and those that wait for a slot.
    running: AtomicU32,
    queued: AtomicU32,
    /// The number of events of a stream.
    events: u64,
    born: u64,
    has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    store: Store,
    record: Record,
}

/// An engine, whose process can be ended and started again under the same identifier and address.
pub struct Engine {
    process: Arc<Process>,
}

impl Engine {
    /// Starts an engine on a free port and registers it.
    pub fn start(
        store: &Store,
        record: &Record,
        id: &str,
        version: &'static str,
        slots: u32,
        events: u64,
    ) -> Self {
        let listener = host::listen();
        Self::run(listener, store, record, id, version, slots, events)
    }

    fn run(
        listener: TcpListener,
        store: &Store,
        record: &Record,
        id: &str,
        version: &'static str,
        slots: u32,
        events: u64,
    ) -> Self {
        listener.set_nonblocking(true).expect("a socket");
        let process = Arc::new(Process {
            id: id.to_owned(),
            version,
            address: listener.local_addr().expect("a bound address"),
            slots,
            running: AtomicU32::new(0),
            queued: AtomicU32::new(0),
            events,
            born: unix_millis(),
            has_ended: AtomicBool::new(false),
            connections: Mutex::default(),
            store: store.clone(),
            record: record.clone(),
        });
        process
            .record
            .add(format!("engine {id} starts at version {version}"));
        process.register();
        let accepting = process.clone();
        thread::spawn(move || accepting.accept(&listener));
        let beating = process.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if beating.has_ended() {
                    return;
                }
                beating.register();
            }
        });
        Self { process }
    }

    /// Ends the process as a crash does: it says nothing, and its connections break off.
    pub fn crash(&self) {
        let process = &self.process;
        process.record.add(format!("engine {} crashes", process.id));
        process.has_ended.store(true, Ordering::SeqCst);
        // The listener is closed within the poll interval.
        thread::sleep(POLL_INTERVAL * 2);
        for connection in process.connections.lock().expect("no panic").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Starts the engine again, at a version of its software, under the identifier and the address that it had.
    pub fn restart(&mut self, version: &'static str) -> io::Result<()> {
        let old = &self.process;
        let listener = TcpListener::bind(old.address)?;
        let (store, record) = (&old.store, &old.record);
        *self = Self::run(
            listener, store, record, &old.id, version, old.slots, old.events,
        );
        Ok(())
    }
}

impl Process {
    fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst)
    }

    /// Writes the entry of the engine.
    fn register(&self) {
        let Self {
            id,
            version,
            address,
            slots,
            born,
            ..
        } = self;
        let key = format!("servers/{id}");
        let entry = format!(
            r#"{{"service":"{SERVICE}","address":"{address}","zone":"arima","version":"{version}","slots":{slots},"state":"ready","cold_remaining_ms":0,"born":{born},"seq":0}}"#
        );
        self.store.put(&key, &entry);
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        while !self.has_ended() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let copy = stream.try_clone().expect("a socket");
                    self.connections.lock().expect("no panic").push(copy);
                    let process = self.clone();
                    thread::spawn(move || {
                        let _ = process.serve(http::Connection::new(stream));
                    });
                }
                Err(_) => thread::sleep(POLL_INTERVAL),
            }
        }
    }

    fn serve(&self, mut connection: http::Connection) -> io::Result<()> {
        loop {
            let request = connection.message()?;
            if self.has_ended() {
                return Ok(());
            }
            let instance = format!("X-Instance-Id: {}\r\n", self.id);
            if request
                .header("x-expect-instance")
                .is_some_and(|id| id != self.id)
            {
                connection.respond(421, &instance, "")?;
            } else if request.path() == "/-/report" {
                let report = format!(
                    r#"{{"stage":"both","models":[],"busy":false,"seq":0,"queued":0,"running":0,"kv_used":0,"kv_total":0,"handles":0,"born":{}}}"#,
                    self.born
                );
                connection.respond(200, &instance, &report)?;
            } else if self.take_slot() {
                let result = self.stream(&request, &mut connection);
                self.running.fetch_sub(1, Ordering::SeqCst);
                result?;
            } else {
                let echoed = request.header("x-request-id").unwrap_or_default();
                let headers = format!("X-Request-Id: {echoed}\r\nX-Not-Executed: 1\r\n");
                connection.respond(503, &headers, "")?;
            }
        }
    }

    /// Waits for a slot. Returns false if the queue is full.
    fn take_slot(&self) -> bool {
        if self.queued.fetch_add(1, Ordering::SeqCst) >= MAX_QUEUED + self.free_slots() {
            self.queued.fetch_sub(1, Ordering::SeqCst);
            return false;
        }
        let has_room = |running| (running < self.slots).then_some(running + 1);
        let order = Ordering::SeqCst;
        while self.running.fetch_update(order, order, has_room).is_err() {
            thread::sleep(POLL_INTERVAL);
        }
        self.queued.fetch_sub(1, Ordering::SeqCst);
        true
    }

    fn free_slots(&self) -> u32 {
        self.slots
            .saturating_sub(self.running.load(Ordering::SeqCst))
    }

    /// Sends the events after the last one that the request names.
    fn stream(&self, request: &http::Message, connection: &mut http::Connection) -> io::Result<()> {
        let id = request.header("x-request-id").unwrap_or_default();
        let last = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok());
        let last: u64 = last.unwrap_or(0);
        let (engine, version, born) = (&self.id, self.version, self.born);
        self.record.add(format!(
            "engine {engine} {version} runs {id} after event {last}"
        ));
        connection.send(
            format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
                 X-Request-Id: {id}\r\nX-Server-Stamp: {engine}.{born}\r\n\r\n"
            )
            .as_bytes(),
        )?;
        for number in last + 1..=self.events {
            thread::sleep(EVENT_INTERVAL);
            if self.has_ended() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let event = format!("id: {number}\ndata: {version} {engine} {id}\n\n");
            connection.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        connection.send(b"0\r\n\r\n")
    }
}

fn unix_millis() -> u64 {
    let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    time.map_or(0, |time| time.as_millis() as u64)
}
