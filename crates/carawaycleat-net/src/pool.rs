mod counts;
mod departure;
mod exchange;
mod failure;
mod idle;
mod ledger;
mod reader;
mod reply;
mod source;
mod stage;

use std::net;
use std::sync;
use std::time;

use crate::error;
use crate::request;

pub use counts::Connections;
pub use failure::Cause;
pub use failure::Failure;
pub use reader::Reader;
pub use reply::Reply;
pub use stage::Stage;

/// The default time between two searches for idle connections that cannot be used any more.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// An HTTP client with a connection pool. Clones share the pool.
#[derive(Clone, Debug)]
pub struct Pool {
    connect_timeout: time::Duration,
    accepts_close_delimited: bool,
    idle: sync::Arc<idle::Idle>,
    ledger: sync::Arc<ledger::Ledger>,
}

impl Default for Pool {
    /// Returns a pool with a connect timeout of 2 s and at most 256 idle connections per address.
    fn default() -> Self {
        Self::new(time::Duration::from_secs(2), 256)
    }
}

impl Pool {
    /// Returns a pool that waits at most `connect_timeout` for a connection and keeps at most `max_idle_connections` idle
    /// connections per address.
    #[must_use]
    pub fn new(connect_timeout: time::Duration, max_idle_connections: usize) -> Self {
        Self {
            connect_timeout,
            accepts_close_delimited: false,
            idle: sync::Arc::new(idle::Idle::new(max_idle_connections, SWEEP_INTERVAL)),
            ledger: sync::Arc::default(),
        }
    }

    /// Sets how often idle connections that cannot be used any more are closed, 5 s by default.
    #[must_use]
    pub fn sweep_interval(mut self, interval: time::Duration) -> Self {
        self.idle = sync::Arc::new(idle::Idle::new(self.idle.max_per_address(), interval));
        self
    }

    /// Returns the number of idle connections, which are open descriptors.
    #[must_use]
    pub fn idle_connections(&self) -> usize {
        self.idle.len()
    }

    /// Returns the number of connections by state, and of those made and refused since the start.
    #[must_use]
    pub fn connections(&self) -> Connections {
        let (open, opened, refused) = self.ledger.totals();
        let idle = self.idle.len();
        Connections {
            in_use: open.saturating_sub(idle),
            idle,
            opened,
            refused,
        }
    }

    /// Returns the number of connections to a server that are open or being made, idle ones included.
    #[must_use]
    pub fn open_connections(&self, address: net::SocketAddr) -> usize {
        self.ledger.open_to(address)
    }

    /// Sets how many connections to a server may be open, idle ones included; none for no limit. Closes idle ones beyond it.
    /// Those that carry requests stay open until these end.
    pub fn limit_connections(&self, address: net::SocketAddr, limit: Option<usize>) {
        let excess = self.ledger.set_limit(address, limit);
        self.idle.close_oldest(address, excess);
    }

    /// Closes the idle connections to a server, for example because it is silent.
    pub fn forget(&self, address: net::SocketAddr) {
        self.idle.forget(address);
    }

    /// Accepts responses without a length, whose body ends when the connection is closed. An orderly close ends such a
    /// body; a connection reset makes it fail.
    #[must_use]
    pub fn accept_close_delimited(mut self) -> Self {
        self.accepts_close_delimited = true;
        self
    }

    /// Sends a request like [`Pool::send`], either on a pooled connection that was idle for less than `max_idle` or on a
    /// new one.
    ///
    /// # Errors
    ///
    /// Returns the same failures as [`Pool::send`].
    pub async fn send_fresh(
        &self,
        address: net::SocketAddr,
        request: request::Request,
        timeout: time::Duration,
        max_idle: time::Duration,
    ) -> Result<Reply, Failure> {
        self.send_observed(address, request, timeout, max_idle, |_| true)
            .await
    }

    /// Sends a request like [`Pool::send_fresh`], and calls `observe` at each stage on its way. If that returns false before
    /// the first byte has been sent, none is.
    ///
    /// # Errors
    ///
    /// Returns the same failures as [`Pool::send`].
    pub async fn send_observed(
        &self,
        address: net::SocketAddr,
        request: request::Request,
        timeout: time::Duration,
        max_idle: time::Duration,
        observe: impl FnMut(Stage) -> bool,
    ) -> Result<Reply, Failure> {
        let mut sent = departure::Departure::new(observe);
        let exchange = self.exchange(address, request, max_idle, &mut sent);
        let expired = async {
            async_io::Timer::after(timeout).await;
            Err(error::Error::Timeout)
        };
        let result = futures_lite::future::or(exchange, expired).await;
        let sent = sent.is_sent();
        result.map_err(|error| {
            if matches!(error, error::Error::Timeout) {
                // A network that lost the connections to a server, or a server that has restarted, leaves the idle ones as
                // silent as this one, while a new one works.
                self.forget(address);
            }
            Failure { sent, error }
        })
    }

    /// Sends a request and returns the response once its head has arrived. `timeout` covers connecting, sending and
    /// receiving the head of the response. Afterwards, no idle connection to the server is used again.
    ///
    /// # Errors
    ///
    /// Returns a failure that says whether any byte of the request may have been sent. No byte of a request is sent
    /// twice.
    pub async fn send(
        &self,
        address: net::SocketAddr,
        request: request::Request,
        timeout: time::Duration,
    ) -> Result<Reply, Failure> {
        self.send_fresh(address, request, timeout, time::Duration::MAX)
            .await
    }

    async fn exchange(
        &self,
        address: net::SocketAddr,
        request: request::Request,
        max_idle: time::Duration,
        sent: &mut departure::Departure<impl FnMut(Stage) -> bool>,
    ) -> error::Result<Reply> {
        let head = exchange::encode(&request, address)?;
        let reused = self.idle.take(address, max_idle);
        let mut is_first = reused.is_none();
        let mut stream = match reused {
            Some(stream) => stream,
            None => self.connect(address, sent).await?,
        };
        let mut written = exchange::write(&stream, &head, &request.body, sent).await;
        while written.is_err() && !sent.is_sent() && !is_first {
            // The server closed the idle connection between the check and the first write.
            is_first = true;
            drop(stream);
            stream = self.connect(address, sent).await?;
            written = exchange::write(&stream, &head, &request.body, sent).await;
        }
        let recycler = idle::Recycler::new(&self.idle, &self.ledger, address);
        match written {
            Ok(()) => {
                let is_head_request = request.method == "HEAD";
                exchange::read(
                    stream,
                    recycler,
                    is_head_request,
                    self.accepts_close_delimited,
                    is_first,
                )
                .await
            }
            // The server may have responded early, for example because the body is too long.
            Err(error) if sent.is_sent() => {
                match exchange::read(stream, recycler, false, false, is_first).await {
                    Ok(reply) => Ok(reply.without_reuse()),
                    Err(_) => Err(error.into()),
                }
            }
            Err(error) => Err(error.into()),
        }
    }

    /// Makes a connection for a request of which nothing has been sent. Closes an idle one if as many are open as may be.
    async fn connect(
        &self,
        address: net::SocketAddr,
        sent: &mut departure::Departure<impl FnMut(Stage) -> bool>,
    ) -> error::Result<idle::Connection> {
        if !sent.may_pass(Stage::Connecting) {
            return Err(error::Error::Withdrawn);
        }
        let mut permit = self.ledger.admit(address);
        while permit.is_none() && self.idle.close_oldest(address, 1) > 0 {
            permit = self.ledger.admit(address);
        }
        let permit = permit.ok_or_else(|| self.ledger.refuse())?;
        let connect = async { Ok(ledger::Socket::connect(address, permit).await?) };
        let expired = async {
            async_io::Timer::after(self.connect_timeout).await;
            Err(error::Error::Timeout)
        };
        let stream = futures_lite::future::or(connect, expired).await?;
        if !sent.may_pass(Stage::Connected) {
            return Err(error::Error::Withdrawn);
        }
        Ok(sync::Arc::new(stream))
    }
}
