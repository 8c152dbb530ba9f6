use std::time;

/// The default length of a head in bytes, and the longest head of an answer that `async-h1` decodes.
pub(crate) const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;

/// Limits of a server.
///
/// # Examples
///
/// ```
/// use carawaycleat_net as net;
///
/// let limits = net::Limits::default().body_bytes(1024).connections(16);
/// assert!(format!("{limits:?}").contains("1024"));
/// ```
#[derive(Clone, Debug)]
pub struct Limits {
    pub(crate) header_bytes: usize,
    pub(crate) body_bytes: usize,
    pub(crate) connections: usize,
    pub(crate) requests: usize,
    pub(crate) idle: time::Duration,
    pub(crate) header: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: MAX_HEAD_BYTES,
            body_bytes: 4 * 1024 * 1024,
            connections: 4096,
            requests: 2048,
            idle: time::Duration::from_secs(60),
            header: time::Duration::from_secs(60),
        }
    }
}

impl Limits {
    /// Sets the longest head of a request in bytes.
    #[must_use]
    pub fn header_bytes(mut self, bytes: usize) -> Self {
        self.header_bytes = bytes;
        self
    }

    /// Sets the longest body of a request in bytes.
    #[must_use]
    pub fn body_bytes(mut self, bytes: usize) -> Self {
        self.body_bytes = bytes;
        self
    }

    /// Sets the highest number of open connections.
    #[must_use]
    pub fn connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the highest number of requests in progress.
    #[must_use]
    pub fn requests(mut self, requests: usize) -> Self {
        self.requests = requests;
        self
    }

    /// Sets how long a connection may be idle, a request may take to arrive and the caller may take to receive
    /// 64 KiB of an answer.
    #[must_use]
    pub fn idle(mut self, idle: time::Duration) -> Self {
        self.idle = idle;
        self
    }

    /// Sets how long the head of a request may take from its first byte. It is at most the idle time.
    #[must_use]
    pub fn header_time(mut self, header: time::Duration) -> Self {
        self.header = header;
        self
    }
}
