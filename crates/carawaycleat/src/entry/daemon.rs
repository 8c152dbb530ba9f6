use std::net as std_net;
use std::sync;
use std::time;

use carawaycleat_core::entry;
use carawaycleat_net as net;

use super::background;
use super::callers;
use super::exchange;
use super::operators;
use super::peers;
use super::placing;
use super::shared;
use super::watcher;
use crate::log;
use crate::settings;

/// The longest body of a message from a peer or an operator, in bytes.
const MAX_INTERNAL_BYTES: usize = 64 << 20;

/// The longest wait for the release of the shards; without the store they stay with this address until their validity
/// ends.
const RELEASE_LIMIT: time::Duration = time::Duration::from_secs(5);

/// An entry host that is running.
#[derive(Debug)]
pub struct Daemon {
    shared: sync::Arc<shared::Shared>,
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

    /// Starts an entry host with other policies than the usual ones.
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
        let internal = limits.clone().max_body_bytes(MAX_INTERNAL_BYTES);
        let callers = bind("callers", settings.listen.callers)?.limits(limits);
        let operators = bind("operators", settings.listen.operators)?.limits(internal.clone());
        let peers = bind("peers", settings.listen.peers)?.limits(internal);
        let advertised = settings.advertise.peers.unwrap_or(peers.local_address());
        let shared = sync::Arc::new(shared::Shared::new(
            settings,
            policy,
            executor.clone(),
            advertised,
        ));

        let of_callers = shared.clone();
        let of_operators = shared.clone();
        let of_peers = shared.clone();
        let daemon = Self {
            callers: callers.start(executor.clone(), move |request| {
                callers::answer(of_callers.clone(), request)
            }),
            operators: operators.start(executor.clone(), move |request| {
                operators::answer(of_operators.clone(), request)
            }),
            peers: peers.start(executor, move |request| {
                peers::answer(of_peers.clone(), request)
            }),
            shared,
        };
        let _ = daemon.shared.callers.set(daemon.callers.clone());
        daemon.start_tasks();
        Ok(daemon)
    }

    fn start_tasks(&self) {
        let shared = &self.shared;
        shared.spawn(watcher::follow(shared.clone()));
        shared.spawn(watcher::check(shared.clone()));
        shared.spawn(exchange::run(shared.clone()));
        shared.spawn(background::tick(shared.clone()));
        shared.spawn(background::join(shared.clone()));
        shared.spawn(background::hosts(shared.clone()));
        shared.spawn(placing::run(shared.clone()));
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
        self.shared.is_ready()
    }

    /// Stops the host without cutting a request, within the bound of the settings. Returns the number of requests that
    /// were cut because the bound was reached.
    ///
    /// Readiness drops first, so that the load balancer stops sending requests, which are answered until then.
    pub async fn stop(&self) -> usize {
        let settings = &self.shared.settings.shutdown;
        let limit = time::Duration::from_millis(settings.drain_limit_ms);
        let expired = async {
            async_io::Timer::after(limit).await;
        };
        self.shared.start_draining();
        log::info("shutting down: not ready for new requests");
        futures_lite::future::or(self.drain(), expired).await;
        self.abort()
    }

    async fn drain(&self) {
        let delay = time::Duration::from_millis(self.shared.settings.shutdown.drain_delay_ms);
        async_io::Timer::after(delay).await;
        // Running requests may take long; meanwhile the other hosts serve their callers with this host's part of the
        // rates.
        self.shared.step(entry::Event::ReleaseShards);
        background::announce(&self.shared).await;
        self.callers.drain().await;
        self.shared.step(entry::Event::Stop);
        let expired = async {
            async_io::Timer::after(RELEASE_LIMIT).await;
        };
        // The channel is closed when all requests have ended and all shards are released.
        let released = async {
            let _ = self.shared.exit.recv().await;
            background::leave(&self.shared).await;
        };
        futures_lite::future::or(released, expired).await;
    }

    /// Ends the host at once, and returns the number of requests that were cut.
    pub fn abort(&self) -> usize {
        let cut = self.callers.active_requests();
        if cut > 0 {
            log::warn(&format!(
                "shutting down: {cut} requests were cut: {}",
                log::format_ids(self.shared.open_requests())
            ));
        }
        self.callers.abort();
        self.operators.abort();
        self.peers.abort();
        self.shared.tasks.cancel_all();
        cut
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
