use std::io;
use std::net;
use std::sync;
use std::time;

use crate::request;
use crate::response;
use crate::server::connection;
use crate::server::state;

/// The delay after a failed `accept`, for example when the process has no free file descriptor.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// The time between two reports of a failed `accept`, which fails again after each pause while its cause lasts.
const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// A closure that is told why connections cannot be accepted.
pub(super) type Observe = Box<dyn Fn(&io::Error) + Send + Sync>;

/// Accepts the connections of a server.
pub(super) struct Acceptor<H> {
    listener: async_io::Async<net::TcpListener>,
    executor: sync::Arc<crate::Executor>,
    state: sync::Arc<state::State>,
    handler: sync::Arc<H>,
    observe: Option<Observe>,
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
        observe: Option<Observe>,
    ) -> Self {
        Self {
            listener,
            executor,
            state,
            handler,
            observe,
        }
    }

    /// Accepts connections until the server stops, and closes the listener.
    pub(super) async fn run(self, signals: state::Signals) {
        let accept = async {
            let mut reported_at = None;
            loop {
                match self.listener.accept().await {
                    Ok((stream, peer)) => self.serve(stream, peer),
                    Err(error) => {
                        self.report(time::Instant::now(), &mut reported_at, &error);
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

    /// Reports a failed `accept`, unless one was reported less than [`REPORT_INTERVAL`] before.
    fn report(
        &self,
        now: time::Instant,
        reported_at: &mut Option<time::Instant>,
        error: &io::Error,
    ) {
        let is_recent = reported_at.is_some_and(|at| now.duration_since(at) < REPORT_INTERVAL);
        if let Some(observe) = self.observe.as_ref().filter(|_| !is_recent) {
            *reported_at = Some(now);
            observe(error);
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
