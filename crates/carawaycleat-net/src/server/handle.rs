use std::net;
use std::sync;

use crate::limits;
use crate::server::counts;
use crate::server::shared;

/// Controls a running server. The server runs on when all handles are dropped.
#[derive(Clone, Debug)]
pub struct Handle {
    address: net::SocketAddr,
    shared: sync::Arc<shared::Shared>,
}

impl Handle {
    pub(super) fn new(address: net::SocketAddr, shared: sync::Arc<shared::Shared>) -> Self {
        Self { address, shared }
    }

    /// Returns the address that the listener is bound to.
    #[must_use]
    pub fn local_address(&self) -> net::SocketAddr {
        self.address
    }

    /// Replaces the limits. Requests that have begun to arrive keep the limits they began with.
    pub fn set_limits(&self, limits: limits::Limits) {
        self.shared.set_limits(limits);
    }

    /// Makes each connection close after its next answer, while new connections are still accepted.
    pub fn close_after_responses(&self) {
        self.shared.close_after_responses();
    }

    /// Closes the connections that wait for a request, and each other one after its answer. New connections are still
    /// accepted.
    pub fn close_idle(&self) {
        self.shared.close_after_responses();
        self.shared.idle.close();
    }

    /// Closes the listener. Open connections are closed after their next answer.
    pub fn stop_accepting(&self) {
        self.shared.stop_accepting();
    }

    /// Returns the number of requests in progress, answers being streamed included.
    #[must_use]
    pub fn active_requests(&self) -> usize {
        self.shared.active_requests()
    }

    /// Closes the listener, waits until no request is in progress, closes the idle connections, and waits until all
    /// connections are closed. Requests that still arrive meanwhile are answered.
    pub async fn drain(&self) {
        self.shared.stop_accepting();
        self.shared.quiet().await;
        self.shared.idle.close();
        self.shared.closed().await;
    }

    /// Closes the listener and all connections; handlers in progress are dropped.
    pub fn abort(&self) {
        self.shared.stop_accepting();
        self.shared.abort.close();
    }

    /// Returns what the server has counted since its start.
    #[must_use]
    pub fn counts(&self) -> counts::Counts {
        self.shared.counts()
    }
}
