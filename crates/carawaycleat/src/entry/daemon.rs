use std::net as std_net;
use std::sync;
use std::time;

use carawaycleat_core::entry;
use carawaycleat_net as net;

use super::background;
use super::callers;
use super::context;
use super::exchange;
use super::operators;
use super::peers;
use super::planning;
use super::watcher;
use crate::log;
use crate::settings;

/// The maximum size of the body of a message from a peer or an operator, in bytes.
const MAX_INTERNAL_BYTES: usize = 64 << 20;

/// The time after which shutdown no longer waits for the release of the shards; shards that are not released in the
/// store stay assigned to this address until their validity ends.
const RELEASE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// A running entry host.
#[derive(Debug)]
pub struct Daemon {
    context: sync::Arc<context::Context>,
    callers: net::Handle,
    operators: net::Handle,
    peers: net::Handle,
}

/// The addresses that an entry host listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// For callers.
    pub callers: std_net::SocketAddr,
    /// For operators.
    pub operators: std_net::SocketAddr,
    /// For other entry hosts and sidecars.
    pub peers: std_net::SocketAddr,
}

impl Daemon {
    /// Starts an entry host on `executor`.
    ///
    /// # Errors
    ///
    /// Returns an error when one of the addresses cannot be bound.
    pub fn start(
        executor: sync::Arc<net::Executor>,
        settings: settings::Entry,
    ) -> super::Result<Self> {
        Self::start_with(executor, settings, super::Policy::default())
    }

    /// Starts an entry host with a policy other than the default.
    ///
    /// # Errors
    ///
    /// Returns an error when one of the addresses cannot be bound.
    pub fn start_with(
        executor: sync::Arc<net::Executor>,
        settings: settings::Entry,
        policy: super::Policy,
    ) -> super::Result<Self> {
        let bind = |what, address: std_net::SocketAddr| {
            net::Server::bind(address).map_err(|error| super::Error::Bind(what, error))
        };
        let limits = limits(&settings.limits);
        let internal_limits = limits.clone().max_body_bytes(MAX_INTERNAL_BYTES);
        let callers = bind("callers", settings.listen.callers)?.limits(limits);
        let operators =
            bind("operators", settings.listen.operators)?.limits(internal_limits.clone());
        let peers = bind("peers", settings.listen.peers)?.limits(internal_limits);
        let advertised = settings.advertise.peers.unwrap_or(peers.local_address());
        let context = sync::Arc::new(context::Context::new(
            settings,
            policy,
            executor.clone(),
            advertised,
        ));

        let callers_context = context.clone();
        let operators_context = context.clone();
        let peers_context = context.clone();
        let daemon = Self {
            callers: callers.start(executor.clone(), move |request| {
                callers::handle(callers_context.clone(), request)
            }),
            operators: operators.start(executor.clone(), move |request| {
                operators::handle(operators_context.clone(), request)
            }),
            peers: peers.start(executor, move |request| {
                peers::handle(peers_context.clone(), request)
            }),
            context,
        };
        let _ = daemon.context.callers.set(daemon.callers.clone());
        daemon.start_tasks();
        Ok(daemon)
    }

    fn start_tasks(&self) {
        let context = &self.context;
        context.spawn(watcher::follow(context.clone()));
        context.spawn(watcher::check_revision(context.clone()));
        context.spawn(exchange::run(context.clone()));
        context.spawn(background::tick(context.clone()));
        context.spawn(background::maintain_membership(context.clone()));
        context.spawn(background::poll_hosts(context.clone()));
        context.spawn(planning::run(context.clone()));
    }

    /// Returns the addresses that the host listens on.
    pub fn addresses(&self) -> Addresses {
        Addresses {
            callers: self.callers.local_address(),
            operators: self.operators.local_address(),
            peers: self.peers.local_address(),
        }
    }

    /// Returns whether the host can serve requests.
    pub fn is_ready(&self) -> bool {
        self.context.is_ready()
    }

    /// Shuts the host down gracefully within the drain limit of the settings. Returns the number of requests that were
    /// interrupted because the limit was reached.
    ///
    /// The host first reports that it is not ready, so that the load balancer stops sending requests; requests that
    /// still arrive until then are served.
    pub async fn stop(&self) -> usize {
        let settings = &self.context.settings.shutdown;
        let drain_limit = time::Duration::from_millis(settings.drain_limit_ms);
        let expired = async {
            async_io::Timer::after(drain_limit).await;
        };
        self.context.start_draining();
        log::info("shutting down: not ready for new requests");
        futures_lite::future::or(self.drain(), expired).await;
        self.abort()
    }

    async fn drain(&self) {
        let delay = time::Duration::from_millis(self.context.settings.shutdown.drain_delay_ms);
        async_io::Timer::after(delay).await;
        // Running requests may take long; the shards are released first so that the other hosts can use this host's
        // share of the rates in the meantime.
        self.context.step(entry::Event::ReleaseShards);
        background::announce_leaving(&self.context).await;
        self.callers.drain().await;
        self.context.step(entry::Event::Stop);
        let expired = async {
            async_io::Timer::after(RELEASE_TIMEOUT).await;
        };
        // The channel is closed when all requests have ended and all shards are released.
        let released = async {
            let _ = self.context.exit_receiver.recv().await;
            background::deregister(&self.context).await;
        };
        futures_lite::future::or(released, expired).await;
    }

    /// Stops the host immediately and returns the number of requests that were interrupted.
    pub fn abort(&self) -> usize {
        let interrupted = self.callers.active_requests();
        if interrupted > 0 {
            log::warn(&format!(
                "shutting down: {interrupted} requests were cut: {}",
                log::format_ids(self.context.open_requests())
            ));
        }
        self.callers.abort();
        self.operators.abort();
        self.peers.abort();
        self.context.tasks.cancel_all();
        interrupted
    }
}

fn limits(settings: &settings::Limits) -> net::Limits {
    net::Limits::default()
        .max_header_bytes(settings.header_bytes)
        .max_body_bytes(settings.body_bytes)
        .max_connections(settings.connections)
        .max_requests(settings.requests)
        .idle_timeout(time::Duration::from_millis(settings.idle_ms))
}
