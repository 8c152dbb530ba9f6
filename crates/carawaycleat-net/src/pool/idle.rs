use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

/// A connection that is older is not reused; it is shorter than the idle time of the server, so that the server rarely
/// closes a connection while a request is on its way.
const MAX_IDLE: time::Duration = time::Duration::from_secs(30);

pub(super) type Connection = sync::Arc<async_io::Async<net::TcpStream>>;

type Connections = collections::HashMap<net::SocketAddr, Vec<(time::Instant, Connection)>>;

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

    /// Returns the connection used last that the server has not closed.
    pub(super) fn take(&self, address: net::SocketAddr) -> Option<Connection> {
        let mut connections = self.lock();
        let list = connections.get_mut(&address)?;
        let mut taken = None;
        while let Some((since, connection)) = list.pop() {
            if since.elapsed() >= MAX_IDLE {
                // The others were put back earlier.
                list.clear();
            } else if is_open(&connection) {
                taken = Some(connection);
                break;
            }
        }
        if list.is_empty() {
            connections.remove(&address);
        }
        taken
    }

    fn put(&self, address: net::SocketAddr, connection: Connection) {
        let mut connections = self.lock();
        let list = connections.entry(address).or_default();
        if list.len() < self.limit {
            list.push((time::Instant::now(), connection));
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
}

impl Home {
    pub(super) fn new(idle: &sync::Arc<Idle>, address: net::SocketAddr) -> Self {
        Self {
            idle: idle.clone(),
            address,
        }
    }

    pub(super) fn put(self, connection: Connection) {
        self.idle.put(self.address, connection);
    }
}
