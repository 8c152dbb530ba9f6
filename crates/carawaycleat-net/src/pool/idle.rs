use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use crate::pool::ledger;

/// The idle time after which a connection is not reused. It is shorter than the idle timeout of the server, so that the
/// server rarely closes a connection while a request is in transit.
const MAX_IDLE_TIME: time::Duration = time::Duration::from_secs(30);

pub(super) type Connection = sync::Arc<ledger::Socket>;

type Connections = collections::HashMap<net::SocketAddr, Vec<Entry>>;

/// The percentage of the server's announced keep-alive time during which a connection is reused.
const KEEP_ALIVE_PERCENT: u32 = 60;

#[derive(Debug)]
struct Entry {
    since: time::Instant,
    /// How long the server keeps the connection; none if the server did not say.
    keep_alive: Option<time::Duration>,
    connection: Connection,
}

impl Entry {
    fn is_usable(&self, max_idle: time::Duration) -> bool {
        let usable = self
            .keep_alive
            .map(|keep_alive| keep_alive.min(MAX_IDLE_TIME * 100) * KEEP_ALIVE_PERCENT / 100);
        let limit = usable.map_or(max_idle, |usable| usable.min(max_idle));
        self.since.elapsed() < limit && is_open(&self.connection)
    }
}

/// Idle connections, by server address.
#[derive(Debug)]
pub(super) struct Idle {
    max_per_address: usize,
    sweep_interval: time::Duration,
    state: sync::Mutex<State>,
}

#[derive(Debug)]
struct State {
    connections: Connections,
    /// When unusable connections were last searched for.
    swept_at: time::Instant,
}

impl Idle {
    pub(super) fn new(max_per_address: usize, sweep_interval: time::Duration) -> Self {
        let state = State {
            connections: Connections::new(),
            swept_at: time::Instant::now(),
        };
        Self {
            max_per_address,
            sweep_interval,
            state: sync::Mutex::new(state),
        }
    }

    pub(super) fn max_per_address(&self) -> usize {
        self.max_per_address
    }

    pub(super) fn len(&self) -> usize {
        self.lock().connections.values().map(Vec::len).sum()
    }

    /// Removes and returns the most recently used connection that the server has not closed and that was idle for less
    /// than `max_idle`.
    pub(super) fn take(
        &self,
        address: net::SocketAddr,
        max_idle: time::Duration,
    ) -> Option<Connection> {
        let connections = &mut self.lock().connections;
        let entries = connections.get_mut(&address)?;
        let max_idle = max_idle.min(MAX_IDLE_TIME);
        let mut taken = None;
        while let Some(entry) = entries.pop() {
            if entry.is_usable(max_idle) {
                taken = Some(entry.connection);
                break;
            }
            if entry.is_usable(MAX_IDLE_TIME) {
                // Requests that may be repeated can still use it. The connections below it were returned earlier.
                entries.push(entry);
                break;
            }
        }
        if entries.is_empty() {
            connections.remove(&address);
        }
        taken
    }

    /// Closes the connections to a server.
    pub(super) fn forget(&self, address: net::SocketAddr) {
        let forgotten = self.lock().connections.remove(&address);
        drop(forgotten);
    }

    /// Closes up to `count` connections to a server, those that were returned first, and returns how many.
    pub(super) fn close_oldest(&self, address: net::SocketAddr, count: usize) -> usize {
        let connections = &mut self.lock().connections;
        let Some(entries) = connections.get_mut(&address) else {
            return 0;
        };
        let closed = entries.drain(..count.min(entries.len())).count();
        if entries.is_empty() {
            connections.remove(&address);
        }
        closed
    }

    fn put(
        &self,
        address: net::SocketAddr,
        keep_alive: Option<time::Duration>,
        connection: Connection,
    ) {
        let now = time::Instant::now();
        let mut state = self.lock();
        if now.duration_since(state.swept_at) >= self.sweep_interval {
            state.swept_at = now;
            state.sweep();
        }
        let entries = state.connections.entry(address).or_default();
        if entries.len() < self.max_per_address {
            entries.push(Entry {
                since: now,
                keep_alive,
                connection,
            });
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl State {
    /// Closes the connections that cannot be used any more. No request finds those to a server that has left.
    fn sweep(&mut self) {
        self.connections.retain(|_, entries| {
            entries.retain(|entry| entry.is_usable(MAX_IDLE_TIME));
            !entries.is_empty()
        });
    }
}

/// Returns whether the server has neither closed the connection nor sent unsolicited bytes.
fn is_open(connection: &Connection) -> bool {
    matches!(connection.get_ref().peek(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

/// Returns a connection to the pool after its response has been read.
#[derive(Debug)]
pub(super) struct Recycler {
    idle: sync::Arc<Idle>,
    ledger: sync::Arc<ledger::Ledger>,
    address: net::SocketAddr,
    keep_alive: Option<time::Duration>,
}

impl Recycler {
    pub(super) fn new(
        idle: &sync::Arc<Idle>,
        ledger: &sync::Arc<ledger::Ledger>,
        address: net::SocketAddr,
    ) -> Self {
        Self {
            idle: idle.clone(),
            ledger: ledger.clone(),
            address,
            keep_alive: None,
        }
    }

    /// Sets how long the server keeps the connection idle; none if it did not say.
    pub(super) fn set_keep_alive(&mut self, keep_alive: Option<time::Duration>) {
        self.keep_alive = keep_alive;
    }

    /// Keeps the connection, unless more are open than may be.
    pub(super) fn put(self, connection: Connection) {
        if self.ledger.excess(self.address) > 0 {
            return;
        }
        self.idle.put(self.address, self.keep_alive, connection);
    }
}
