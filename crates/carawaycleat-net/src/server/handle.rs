use std::net;
use std::sync;
use std::time;

use crate::limits;
use crate::server::counts;
use crate::server::state;
use crate::server::unanswered;

/// Controls a running server. The server keeps running when all handles are dropped.
#[derive(Clone, Debug)]
pub struct Handle {
    address: net::SocketAddr,
    state: sync::Arc<state::State>,
}

impl Handle {
    pub(super) fn new(address: net::SocketAddr, state: sync::Arc<state::State>) -> Self {
        Self { address, state }
    }

    /// Returns the address that the listener is bound to.
    #[must_use]
    pub fn local_address(&self) -> net::SocketAddr {
        self.address
    }

    /// Replaces the limits. A request that is already being received keeps the old timeouts and header limit; its body may
    /// be checked against the new limit. A shorter idle timeout takes effect once the earlier one has passed, because
    /// callers may learn of it later than the server.
    pub fn set_limits(&self, limits: limits::Limits) {
        self.state.set_limits(limits, time::Instant::now());
    }

    /// Closes each connection after its next response. New connections are still accepted.
    pub fn close_after_responses(&self) {
        self.state.close_after_responses();
    }

    /// Closes idle connections now and each other connection after its response. New connections are still accepted.
    pub fn close_idle(&self) {
        self.state.close_after_responses();
        self.state.close_idle.close();
    }

    /// Refuses each request that has arrived only in part, now or later, with status 503, and closes its connection.
    pub fn refuse_incomplete(&self) {
        self.state.close_after_responses();
        self.state.refuse_incomplete.close();
    }

    /// Closes the listener. Connections that callers have opened by then are still accepted. Open connections are closed
    /// after their next response.
    pub fn stop_accepting(&self) {
        self.state.stop_accepting();
    }

    /// Waits until no connection has been accepted for `quiet`.
    pub async fn connections_ceased(&self, quiet: time::Duration) {
        self.state.connections_ceased(quiet).await;
    }

    /// Returns the number of requests in progress, including those whose response is being streamed.
    #[must_use]
    pub fn active_requests(&self) -> usize {
        self.state.active_requests()
    }

    /// Shuts the server down: closes the listener, waits until no request is in progress, closes the idle connections,
    /// and waits until all connections are closed. Requests that arrive meanwhile on open connections are still served.
    pub async fn drain(&self) {
        self.state.stop_accepting();
        self.state.listener_closed().await;
        self.state.requests_finished().await;
        self.state.close_idle.close();
        self.state.connections_closed().await;
    }

    /// Closes the listener and all connections; the futures of handlers in progress are dropped.
    pub fn abort(&self) {
        self.state.stop_accepting();
        self.state.abort.close();
    }

    /// Returns the requests in progress as ones that the end of the process leaves without a complete response. They are
    /// not reported to the observer.
    #[must_use]
    pub fn unfinished(&self) -> Vec<unanswered::Unanswered> {
        self.state.unfinished()
    }

    /// Returns the counters of the server since its start.
    #[must_use]
    pub fn counts(&self) -> counts::Counts {
        self.state.counts()
    }
}
