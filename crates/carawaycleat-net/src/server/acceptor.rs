use std::net;
use std::sync;
use std::time;

use crate::request;
use crate::response;
use crate::server::connection;
use crate::server::state;

/// The delay after a failed `accept`, for example when the process has no free file descriptor.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Accepts the connections of a server.
pub(super) struct Acceptor<H> {
    listener: async_io::Async<net::TcpListener>,
    executor: sync::Arc<crate::Executor>,
    state: sync::Arc<state::State>,
    handler: sync::Arc<H>,
}

impl<H, F> Acceptor<H>
where
    H: Fn(request::Request) -> F + Send + Sync + 'static,
    F: Future<Output = response::Response> + Send + 'static,
{
    pub(super) fn new(
        listener: async_io::Async<net::TcpListener>,
        executor: sync::Arc<crate::Executor>,
        state: sync::Arc<state::State>,
        handler: sync::Arc<H>,
    ) -> Self {
        Self {
            listener,
            executor,
            state,
            handler,
        }
    }

    /// Accepts connections until the server stops, and closes the listener.
    pub(super) async fn run(self, signals: state::Signals) {
        let accept = async {
            loop {
                match self.listener.accept().await {
                    Ok((stream, peer)) => self.serve(stream, peer),
                    Err(_) => {
                        async_io::Timer::after(ACCEPT_PAUSE).await;
                    }
                }
            }
        };
        futures_lite::future::or(state::signalled(&signals.accepting), accept).await;
        // Closing the listener resets the connections that callers have opened and that are not accepted yet.
        while let Some(Ok((stream, peer))) =
            futures_lite::future::poll_once(self.listener.accept()).await
        {
            self.serve(stream, peer);
        }
    }

    fn serve(&self, stream: async_io::Async<net::TcpStream>, peer: net::SocketAddr) {
        self.state.record_accept(time::Instant::now());
        if let Some(open) = state::ConnectionGuard::new(&self.state) {
            let connection = connection::Connection::new(stream, peer, open);
            let run = connection.run(self.handler.clone());
            self.executor.spawn(run).detach();
        } else if let Some(open) = state::ConnectionGuard::for_refusal(&self.state) {
            let refuse = connection::refuse(stream, open);
            self.executor.spawn(refuse).detach();
        }
    }
}
