use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

/// A connection that is older is not reused; it is shorter than the idle time of the server, so that the server rarely
/// closes a connection while a request is on its way.
const MAX_IDLE: time::Duration = time::Duration::from_secs(30);

pub(super) type Connection = sync::Arc<async_io::Async<net::TcpStream>>;

type Connections = collections::HashMap<net::SocketAddr, Vec<Entry>>;

/// The part of the server's announced idle time for which a connection is reused.
const KEEP_ALIVE_PERCENT: u32 = 60;

#[derive(Debug)]
struct Entry {
    since: time::Instant,
    /// How long the server keeps it, where it says so.
    kept: Option<time::Duration>,
    connection: Connection,
}

impl Entry {
    fn is_usable(&self, max_idle: time::Duration) -> bool {
        let announced = self.kept.map(|kept| kept * KEEP_ALIVE_PERCENT / 100);
        let limit = announced.map_or(max_idle, |announced| announced.min(max_idle));
        self.since.elapsed() < limit && is_open(&self.connection)
    }
}

/// Connections that wait for their next request.
#[derive(Debug)]
pub(super) struct Idle {
    limit: usize,
    connections: sync::Mutex<Connections>,
}

impl Idle {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            connections: sync::Mutex::default(),
        }
    }

    /// Returns the connection used last that the server has not closed and that was idle for less than `max_idle`.
    pub(super) fn take(
        &self,
        address: net::SocketAddr,
        max_idle: time::Duration,
    ) -> Option<Connection> {
        let mut connections = self.lock();
        let list = connections.get_mut(&address)?;
        let max_idle = max_idle.min(MAX_IDLE);
        let mut taken = None;
        while let Some(entry) = list.pop() {
            if entry.is_usable(max_idle) {
                taken = Some(entry.connection);
                break;
            }
            if entry.is_usable(MAX_IDLE) {
                // Good for requests that may be repeated; the others were put back earlier.
                list.push(entry);
                break;
            }
        }
        if list.is_empty() {
            connections.remove(&address);
        }
        taken
    }

    fn put(&self, address: net::SocketAddr, kept: Option<time::Duration>, connection: Connection) {
        let mut connections = self.lock();
        let list = connections.entry(address).or_default();
        if list.len() < self.limit {
            list.push(Entry {
                since: time::Instant::now(),
                kept,
                connection,
            });
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Connections> {
        self.connections
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Returns whether the server has neither closed the connection nor sent bytes without a request.
fn is_open(connection: &Connection) -> bool {
    matches!(connection.get_ref().peek(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

/// Where a connection goes after its answer has ended.
#[derive(Debug)]
pub(super) struct Home {
    idle: sync::Arc<Idle>,
    address: net::SocketAddr,
    kept: Option<time::Duration>,
}

impl Home {
    pub(super) fn new(idle: &sync::Arc<Idle>, address: net::SocketAddr) -> Self {
        Self {
            idle: idle.clone(),
            address,
            kept: None,
        }
    }

    /// Notes how long the server keeps an idle connection.
    pub(super) fn keep_for(&mut self, kept: Option<time::Duration>) {
        self.kept = kept;
    }

    pub(super) fn put(self, connection: Connection) {
        self.idle.put(self.address, self.kept, connection);
    }
}
