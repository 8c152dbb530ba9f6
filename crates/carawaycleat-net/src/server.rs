mod acceptor;
mod active;
mod connection;
mod counts;
mod encoder;
mod entry;
mod handle;
mod incoming;
mod observer;
mod peek;
mod reason;
mod refusal;
mod state;
mod unanswered;

use std::fmt;
use std::io;
use std::net;
use std::sync;

use crate::error;
use crate::limits;
use crate::request;
use crate::response;

pub use counts::Counts;
pub use handle::Handle;
pub use reason::Reason;
pub use unanswered::Unanswered;

/// An HTTP server that is bound to an address.
///
/// # Examples
///
/// ```
/// use std::sync;
///
/// use carawaycleat_net as net;
///
/// let executor = sync::Arc::new(net::Executor::new());
/// let server = net::Server::bind(([127, 0, 0, 1], 0)).expect("a free port");
/// let handle = server.start(executor.clone(), |request: net::Request| async move {
///     net::Response::new(200).body(request.path)
/// });
/// let reply = futures_lite::future::block_on(executor.run(async {
///     let pool = net::Pool::default();
///     let request = net::Request::new("GET", "/models");
///     let reply = pool.send(handle.local_address(), request, std::time::Duration::from_secs(5)).await;
///     reply.expect("a response").bytes(100).await.expect("a body")
/// }));
/// assert_eq!(reply, b"/models");
/// ```
pub struct Server {
    listener: async_io::Async<net::TcpListener>,
    address: net::SocketAddr,
    limits: limits::Limits,
    cancels_on_disconnect: bool,
    observer: Option<observer::Observer>,
    observe_accept_failure: Option<acceptor::Observe>,
}

impl fmt::Debug for Server {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Server")
            .field("address", &self.address)
            .field("limits", &self.limits)
            .field("cancels_on_disconnect", &self.cancels_on_disconnect)
            .field("observer", &self.observer)
            .finish_non_exhaustive()
    }
}

impl Server {
    /// Binds a listener. Port 0 lets the operating system choose a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn bind(address: impl Into<net::SocketAddr>) -> error::Result<Self> {
        let listener = async_io::Async::<net::TcpListener>::bind(address)?;
        let address = listener.get_ref().local_addr()?;
        Ok(Self {
            listener,
            address,
            limits: limits::Limits::default(),
            cancels_on_disconnect: false,
            observer: None,
            observe_accept_failure: None,
        })
    }

    /// Sets the limits.
    #[must_use]
    pub fn limits(mut self, limits: limits::Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Drops the future of a handler whose caller disconnects before the response, and starts no handler for a caller
    /// that has disconnected by the time its request is read. By default, a handler runs to completion.
    #[must_use]
    pub fn cancel_on_disconnect(mut self) -> Self {
        self.cancels_on_disconnect = true;
        self
    }

    /// Calls `observe` with each request that was read, at least in part, and gets no complete response from the handler,
    /// and with each refused connection. `id_header` is the name of the header that identifies a request.
    #[must_use]
    pub fn observe_unanswered(
        mut self,
        id_header: &'static str,
        observe: impl Fn(Unanswered) + Send + Sync + 'static,
    ) -> Self {
        self.observer = Some(observer::Observer::new(id_header, observe));
        self
    }

    /// Calls `observe` with the error when connections cannot be accepted, for example because the process has no free file
    /// descriptor. While the cause lasts, it is called once a second.
    #[must_use]
    pub fn observe_accept_failures(
        mut self,
        observe: impl Fn(&io::Error) + Send + Sync + 'static,
    ) -> Self {
        self.observe_accept_failure = Some(Box::new(observe));
        self
    }

    /// Returns the address that the listener is bound to.
    #[must_use]
    pub fn local_address(&self) -> net::SocketAddr {
        self.address
    }

    /// Accepts connections on `executor` and responds to requests with the result of `handler`.
    ///
    /// The handler runs to completion even if the caller disconnects, unless [`Server::cancel_on_disconnect`] is set. A
    /// caller that closes its sending side during a streamed response counts as disconnected, see
    /// [`crate::Writer::closed`].
    pub fn start<H, F>(self, executor: sync::Arc<crate::Executor>, handler: H) -> Handle
    where
        H: Fn(request::Request) -> F + Send + Sync + 'static,
        F: Future<Output = response::Response> + Send + 'static,
    {
        let (state, signals) =
            state::State::new(self.limits, self.cancels_on_disconnect, self.observer);
        let state = sync::Arc::new(state);
        let acceptor = acceptor::Acceptor::new(
            self.listener,
            executor.clone(),
            state.clone(),
            sync::Arc::new(handler),
            self.observe_accept_failure,
        );
        executor.spawn(acceptor.run(signals)).detach();
        Handle::new(self.address, state)
    }
}
