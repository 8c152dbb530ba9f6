use std::net as std_net;
use std::sync;
use std::time;

use carawaycleat_core::side;
use carawaycleat_net as net;

use super::context;
use super::orders;
use super::work;
use crate::log;
use crate::settings;

/// The maximum size of an entry host's message, in bytes, without the body of the caller's request.
const MAX_ENVELOPE_BYTES: usize = 1 << 20;

/// A running sidecar.
#[derive(Debug)]
pub struct Daemon {
    context: sync::Arc<context::Context>,
    server: net::Handle,
}

impl Daemon {
    /// Starts a sidecar on `executor`.
    ///
    /// # Errors
    ///
    /// Returns an error when its address cannot be bound.
    pub fn start(
        executor: sync::Arc<net::Executor>,
        settings: settings::Side,
    ) -> super::Result<Self> {
        let limits = net::Limits::default()
            .max_header_bytes(settings.limits.header_bytes)
            .max_body_bytes(settings.limits.body_bytes + MAX_ENVELOPE_BYTES)
            .max_connections(settings.limits.connections)
            .max_requests(settings.limits.requests)
            .idle_timeout(time::Duration::from_millis(settings.limits.idle_ms));
        let server = net::Server::bind(settings.listen.work)?.limits(limits);
        let context = sync::Arc::new(context::Context::new(settings, executor.clone()));
        let server_context = context.clone();
        let server = server.start(executor, move |request| {
            work::handle(server_context.clone(), request)
        });
        context.spawn(orders::poll(context.clone()));
        context.spawn(orders::tick(context.clone()));
        Ok(Self { context, server })
    }

    /// Returns the address that the sidecar listens on.
    pub fn local_address(&self) -> std_net::SocketAddr {
        self.server.local_address()
    }

    /// Shuts the sidecar down gracefully: running jobs can finish until the drain limit of the settings. Returns the
    /// number of jobs that were interrupted at the limit.
    ///
    /// The server refuses new jobs for at least the drain delay before it closes, so that entry hosts that do not yet
    /// know of the shutdown receive a response.
    pub async fn stop(&self) -> usize {
        let settings = &self.context.settings.shutdown;
        let limit = time::Duration::from_millis(settings.drain_limit_ms);
        let expired = async {
            async_io::Timer::after(limit).await;
        };
        log::info("shutting down: new jobs are refused");
        self.context.mark_stopping();
        self.context.step(side::Event::Shutdown);
        futures_lite::future::or(self.drain(), expired).await;
        self.abort()
    }

    async fn drain(&self) {
        let delay = time::Duration::from_millis(self.context.settings.shutdown.drain_delay_ms);
        async_io::Timer::after(delay).await;
        // The channel is closed when the reducer reports that all jobs have ended.
        let _ = self.context.exit.recv().await;
        self.server.drain().await;
    }

    /// Stops the sidecar immediately and returns the number of jobs that were interrupted.
    pub fn abort(&self) -> usize {
        let interrupted = self.server.active_requests();
        if interrupted > 0 {
            log::warn(&format!(
                "shutting down: {interrupted} jobs were cut: {}",
                log::format_ids(self.context.running_jobs())
            ));
        }
        self.server.abort();
        self.context.tasks.cancel_all();
        interrupted
    }
}
