use std::time;

use crate::memory;

/// The default maximum length of a request head in bytes, and the longest response head that `async-h1` decodes.
pub(crate) const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;

/// The default of the time for which a caller may make no progress: send nothing of a body, or take nothing of a response.
/// A connection whose packets are lost several times in a row makes none for some seconds.
const DEFAULT_STALL_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// The default of the time that a whole body may take: the largest one at 35 KiB a second, the rate of a slow mobile link.
const DEFAULT_BODY_TIMEOUT: time::Duration = time::Duration::from_secs(120);

/// The resource limits of a server.
///
/// # Examples
///
/// ```
/// use carawaycleat_net as net;
///
/// let limits = net::Limits::default().max_body_bytes(1024).max_connections(16);
/// assert!(format!("{limits:?}").contains("1024"));
/// ```
#[derive(Clone, Debug)]
pub struct Limits {
    pub(crate) max_header_bytes: usize,
    pub(crate) max_body_bytes: usize,
    pub(crate) max_connections: usize,
    pub(crate) max_requests: usize,
    pub(crate) idle_timeout: time::Duration,
    pub(crate) header_timeout: time::Duration,
    pub(crate) body_stall_timeout: time::Duration,
    pub(crate) body_timeout: time::Duration,
    pub(crate) write_stall_timeout: time::Duration,
    pub(crate) memory: Option<memory::Memory>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: MAX_HEAD_BYTES,
            max_body_bytes: 4 * 1024 * 1024,
            max_connections: 4096,
            max_requests: 2048,
            idle_timeout: time::Duration::from_secs(60),
            header_timeout: time::Duration::from_secs(60),
            body_stall_timeout: DEFAULT_STALL_TIMEOUT,
            body_timeout: DEFAULT_BODY_TIMEOUT,
            write_stall_timeout: DEFAULT_STALL_TIMEOUT,
            memory: None,
        }
    }
}

impl Limits {
    /// Sets the maximum length of a request head in bytes.
    #[must_use]
    pub fn max_header_bytes(mut self, bytes: usize) -> Self {
        self.max_header_bytes = bytes;
        self
    }

    /// Sets the maximum length of a request body in bytes.
    #[must_use]
    pub fn max_body_bytes(mut self, bytes: usize) -> Self {
        self.max_body_bytes = bytes;
        self
    }

    /// Sets the maximum number of open connections.
    #[must_use]
    pub fn max_connections(mut self, connections: usize) -> Self {
        self.max_connections = connections;
        self
    }

    /// Sets the maximum number of requests in progress.
    #[must_use]
    pub fn max_requests(mut self, requests: usize) -> Self {
        self.max_requests = requests;
        self
    }

    /// Sets how long a connection may be idle between two requests.
    #[must_use]
    pub fn idle_timeout(mut self, timeout: time::Duration) -> Self {
        self.idle_timeout = timeout;
        self
    }

    /// Sets how long the head of a request may take to arrive, counted from its first byte.
    #[must_use]
    pub fn header_timeout(mut self, timeout: time::Duration) -> Self {
        self.header_timeout = timeout;
        self
    }

    /// Sets how long nothing of a body may arrive.
    #[must_use]
    pub fn body_stall_timeout(mut self, timeout: time::Duration) -> Self {
        self.body_stall_timeout = timeout;
        self
    }

    /// Sets how long a whole body may take to arrive, counted from the end of the head.
    #[must_use]
    pub fn body_timeout(mut self, timeout: time::Duration) -> Self {
        self.body_timeout = timeout;
        self
    }

    /// Sets how long a caller may take no byte of a response that is ready to be sent.
    #[must_use]
    pub fn write_stall_timeout(mut self, timeout: time::Duration) -> Self {
        self.write_stall_timeout = timeout;
        self
    }

    /// Sets the account of memory for the bodies of requests, from their arrival until their responses are written. A
    /// request for which it has too little left is refused with status 503. Twice the length of a body is reserved, for
    /// the body and for a copy that is passed on.
    #[must_use]
    pub fn memory(mut self, memory: memory::Memory) -> Self {
        self.memory = Some(memory);
        self
    }
}
