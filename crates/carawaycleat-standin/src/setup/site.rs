use std::net;
use std::sync;
use std::time;

use carawaycleat::entry;
use carawaycleat::settings;
use carawaycleat::side;
use carawaycleat_core::key;
use carawaycleat_core::name;
use carawaycleat_core::resource;
use carawaycleat_net as http;

use super::resources::name;
use crate::engine;
use crate::handle;
use crate::load;
use crate::service;
use crate::store;
use crate::weights;

/// The time allowed for one call to an operators' interface.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// The times that a resource is written again after a failure.
const TRIES: usize = 5;

/// The time between two looks at whether something has come true.
const LOOK: time::Duration = time::Duration::from_millis(20);

/// The longest wait until the addresses of a stopped host can be bound again.
const REBIND: time::Duration = time::Duration::from_secs(3);

/// The longest wait until a site is ready.
const PATIENCE: time::Duration = time::Duration::from_secs(60);

/// The time allowed for an answer, in milliseconds. A run ends that long after its last request at the latest.
const TIMEOUT_MS: u64 = 15_000;

/// The longest wait for the answer to a request of the warm-up.
const WARM_UP: time::Duration = time::Duration::from_secs(6);

/// The time for which a stopping process still answers new requests, in milliseconds.
const DRAIN_DELAY_MS: u64 = 500;

/// Factors on the properties of a site.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// The factor on the speed of the engines.
    pub engine_speed: f64,
    /// The factor on the rate of the weight store.
    pub weight_speed: f64,
}

impl Default for Scale {
    fn default() -> Self {
        Self {
            engine_speed: 1.0,
            weight_speed: 1.0,
        }
    }
}

/// An upstream of a [`Site`] with its sidecar.
#[derive(Debug)]
pub struct Upstream<S> {
    /// The name.
    pub name: name::Name,
    /// The availability zone.
    pub zone: name::Name,
    /// The group.
    pub group: name::Name,
    /// The accelerator memory, in bytes.
    pub memory_bytes: u64,
    /// The engine or service.
    pub stand_in: handle::Handle<S>,
    /// The sidecar.
    pub side: side::Daemon,
}

/// An entry host of a [`Site`].
#[derive(Debug)]
pub struct Host {
    /// The settings, to start a replacement on the same addresses.
    pub settings: settings::Entry,
    /// The running host.
    pub daemon: entry::Daemon,
}

/// The running machines of the `[site]` table of a load file.
#[derive(Debug)]
pub struct Site {
    /// The load, with the addresses of the entry hosts and of the stand-ins to observe.
    pub load: load::Plan,
    /// The policies of the entry hosts.
    pub policy: entry::Policy,
    /// The store.
    pub store: handle::Handle<store::State>,
    /// The weight store.
    pub weights: handle::Handle<weights::State>,
    /// The entry hosts.
    pub hosts: Vec<Host>,
    /// The engines.
    pub engines: Vec<Upstream<engine::State>>,
    /// The plain services.
    pub services: Vec<Upstream<service::State>>,
    executor: sync::Arc<http::Executor>,
    pool: http::Pool,
}

impl Site {
    /// Starts the machines of `load`'s site, writes the resources and waits until the entry hosts are ready.
    ///
    /// # Errors
    ///
    /// Returns an error when the file has no site, an address cannot be bound or a resource is refused.
    pub async fn start(
        executor: &sync::Arc<http::Executor>,
        load: load::Plan,
        scale: Scale,
        policy: entry::Policy,
    ) -> super::Result<Self> {
        let Some(table) = load.site.clone() else {
            return Err(super::Error::Refused("the load file has no site".into()));
        };
        let limits = table.weight_store;
        let rates = weights::Site {
            loads_per_second: limits.loads_per_second * scale.weight_speed,
            loads_in_flight: limits.loads_in_flight,
            adapters_in_flight: limits.adapters_in_flight,
            adapter_bytes: table.adapter_bytes,
            adapter_min: time::Duration::from_millis(limits.adapter_min_ms),
            adapter_max: time::Duration::from_millis(limits.adapter_max_ms),
            ..weights::Site::default()
        };
        let weights = weights::Options {
            site: rates,
            ..weights::Options::default()
        };
        let mut site = Self {
            load,
            policy,
            store: crate::Store::start(executor, store::Options::default())?,
            weights: crate::Weights::start(executor, weights)?,
            hosts: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            executor: executor.clone(),
            pool: http::Pool::default(),
        };
        for zone in &table.zones {
            for _ in 0..zone.entries {
                site.start_host(&zone.name, &rates)?;
            }
        }
        for group in &table.upstreams {
            for number in 0..group.count {
                let zone = &table.zones[number as usize % table.zones.len()].name;
                match group.engine {
                    true => site.start_engine(group, number, zone, scale)?,
                    false => site.start_service(group, number, zone)?,
                }
            }
        }
        site.load.entries = site
            .hosts
            .iter()
            .map(|host| host.daemon.addresses().callers)
            .collect();
        site.load.observe = load::Observe {
            store: Some(site.store.local_address()),
            engines: site
                .engines
                .iter()
                .map(|e| e.stand_in.local_address())
                .collect(),
            services: site
                .services
                .iter()
                .map(|s| s.stand_in.local_address())
                .collect(),
        };
        site.wait("the entry hosts are ready", |site| {
            site.hosts.iter().all(|host| host.daemon.is_ready())
        })
        .await?;
        for stage in site.resources(&table) {
            site.apply(stage).await?;
        }
        Ok(site)
    }

    fn start_host(&mut self, zone: &str, rates: &weights::Site) -> super::Result<()> {
        let loopback: net::SocketAddr = ([127, 0, 0, 1], 0).into();
        let mut settings = settings::Entry::default();
        settings.host = name(&format!("entry-{}", self.hosts.len() + 1));
        settings.availability_zone = name(zone);
        settings.listen = settings::Listen {
            callers: loopback,
            operators: loopback,
            peers: loopback,
        };
        settings.store.endpoints = vec![self.store.local_address()];
        settings.peers = self.peers();
        settings.placement.loads_per_second = rates.loads_per_second;
        settings.placement.loads_in_flight = u32::try_from(rates.loads_in_flight).unwrap_or(1);
        settings.shutdown.drain_delay_ms = DRAIN_DELAY_MS;
        let daemon =
            entry::Daemon::start_with(self.executor.clone(), settings.clone(), self.policy)?;
        let addresses = daemon.addresses();
        settings.listen = settings::Listen {
            callers: addresses.callers,
            operators: addresses.operators,
            peers: addresses.peers,
        };
        self.hosts.push(Host { settings, daemon });
        Ok(())
    }

    fn peers(&self) -> Vec<net::SocketAddr> {
        let hosts = self.hosts.iter();
        hosts.map(|host| host.daemon.addresses().peers).collect()
    }

    fn start_engine(
        &mut self,
        group: &load::Upstreams,
        number: u32,
        zone: &str,
        scale: Scale,
    ) -> super::Result<()> {
        let mut options = engine::Options {
            weights: Some(self.weights.local_address()),
            memory_bytes: group.memory_bytes,
            ..engine::Options::default()
        };
        for span in [
            &mut options.step_base,
            &mut options.step_per_request,
            &mut options.prefill_per_token,
        ] {
            *span = span.div_f64(scale.engine_speed);
        }
        let stand_in = crate::Engine::start(&self.executor, options.clone())?;
        let title = name(&format!("{}-{}", group.group, number + 1));
        let mut settings = self.side_settings(&title, zone, stand_in.local_address());
        settings.engine.memory_bytes = options.memory_bytes;
        settings.engine.fencing = options.fencing;
        let side = side::Daemon::start(self.executor.clone(), settings)?;
        self.engines.push(Upstream {
            name: title,
            zone: name(zone),
            group: name(&group.group),
            memory_bytes: options.memory_bytes,
            stand_in,
            side,
        });
        Ok(())
    }

    fn start_service(
        &mut self,
        group: &load::Upstreams,
        number: u32,
        zone: &str,
    ) -> super::Result<()> {
        let stand_in = crate::Service::start(&self.executor, service::Options::default())?;
        let title = name(&format!("{}-{}", group.group, number + 1));
        let mut settings = self.side_settings(&title, zone, stand_in.local_address());
        settings.engine.kind = settings::Kind::Service;
        settings.engine.memory_bytes = 0;
        let side = side::Daemon::start(self.executor.clone(), settings)?;
        self.services.push(Upstream {
            name: title,
            zone: name(zone),
            group: name(&group.group),
            memory_bytes: 0,
            stand_in,
            side,
        });
        Ok(())
    }

    fn side_settings(
        &self,
        title: &name::Name,
        zone: &str,
        upstream: net::SocketAddr,
    ) -> settings::Side {
        let mut settings = settings::Side::default();
        settings.host = title.clone();
        settings.upstream = title.clone();
        settings.availability_zone = name(zone);
        settings.entries = self.peers();
        settings.listen = settings::SideListen {
            work: ([127, 0, 0, 1], 0).into(),
        };
        settings.engine.address = upstream;
        settings.order_settle_ms = settings.report_ms;
        settings.shutdown.drain_delay_ms = DRAIN_DELAY_MS;
        settings
    }

    /// Returns the resources in stages; each names only those of earlier stages.
    fn resources(&self, table: &load::Site) -> Vec<Vec<(String, resource::Resource)>> {
        let (mut first, mut second, mut last) = (Vec::new(), Vec::new(), Vec::new());
        for workspace in &self.load.workspaces {
            let title = &workspace.name;
            let weight = table.weights.get(title).copied().unwrap_or(1);
            let own = resource::Resource::Workspace(resource::Workspace { weight });
            first.push((title.clone(), own));
            let key = resource::Key {
                workspace: name(title),
                digest: key::Digest::of(&workspace.key).to_hex(),
            };
            second.push((format!("{title}-key"), resource::Resource::Key(key)));
            let rate = resource::Rate {
                workspace: name(title),
                tokens_per_second: whole(workspace.tokens_per_second),
                burst_tokens: whole(workspace.burst_tokens),
            };
            second.push((title.clone(), resource::Resource::Rate(rate)));
        }
        let mut adapters = Vec::new();
        for model in &table.models {
            let version = format!("{}@1", model.name);
            let weights = resource::Version {
                model: name(&model.name),
                bytes: model.bytes,
            };
            first.push((version.clone(), resource::Resource::Version(weights)));
            let resource = resource::Model {
                version: name(&version),
                group: name(&model.group),
            };
            last.push((model.name.clone(), resource::Resource::Model(resource)));
            for adapter in &model.adapters {
                let resource = resource::Adapter {
                    model: name(&model.name),
                    bytes: table.adapter_bytes,
                };
                adapters.push((adapter.clone(), resource::Resource::Adapter(resource)));
            }
        }
        first.extend(self.engines.iter().map(upstream));
        first.extend(self.services.iter().map(upstream));
        first.extend(self.routes(table));
        vec![first, second, last, adapters]
    }

    fn routes(&self, table: &load::Site) -> Vec<(String, resource::Resource)> {
        let mut routes = vec![(
            "models".to_owned(),
            resource::Resource::Route(route("/v1", resource::Target::Models)),
        )];
        for group in &table.upstreams {
            for prefix in &group.prefixes {
                let mut of_service = route(prefix, resource::Target::Service);
                of_service.group = Some(name(&group.group));
                of_service.non_idempotent = vec!["POST".to_owned()];
                let bookings = self.load.workspaces.iter().flat_map(|w| &w.bookings);
                let of_route = bookings.filter(|b| b.path.get_ref().starts_with(prefix.as_str()));
                let cost = of_route.map(|b| whole(b.cost_tokens)).max();
                of_service.cost_tokens = cost.unwrap_or(1);
                let title = prefix.trim_matches('/').replace('/', "-");
                routes.push((title, resource::Resource::Route(of_service)));
            }
        }
        routes
    }

    /// Writes resources at the same time.
    async fn apply(&self, resources: Vec<(String, resource::Resource)>) -> super::Result<()> {
        let address = self.hosts[0].daemon.addresses().operators;
        let mut writes = Vec::new();
        for (title, resource) in resources {
            let path = format!("/v1/resources/{}/{title}", resource.kind());
            let body = serde_json::to_vec(&resource)
                .map_err(|error| super::Error::Refused(error.to_string()))?;
            let request = http::Request::new("PUT", path).body(body);
            let pool = self.pool.clone();
            let write = async move { put(&pool, address, request).await };
            writes.push(self.executor.spawn(write));
        }
        for write in writes {
            write.await?;
        }
        Ok(())
    }

    /// Waits until a condition holds.
    ///
    /// # Errors
    ///
    /// Returns an error that names `what` when it does not hold within a minute.
    pub async fn wait(
        &self,
        what: &'static str,
        mut holds: impl FnMut(&Self) -> bool,
    ) -> super::Result<()> {
        let started = time::Instant::now();
        while !holds(self) {
            if started.elapsed() > PATIENCE {
                return Err(super::Error::Late(what));
            }
            async_io::Timer::after(LOOK).await;
        }
        Ok(())
    }

    /// Sends one short request for each model through each entry host and waits for the answers. Returns how many were
    /// whole.
    pub async fn warm_up(&self) -> usize {
        let mut calls = Vec::new();
        for model in &self.load.models {
            for host in &self.hosts {
                let body = serde_json::json!({
                    "model": model.name,
                    "messages": [{"role": "user", "content": "ready"}],
                    "max_tokens": 1,
                });
                // The requests take turns, so that no workspace's rate is exceeded.
                let workspace = calls.len() % self.load.workspaces.len();
                let key = &self.load.workspaces[workspace].key;
                let request = http::Request::new("POST", "/v1/chat/completions")
                    .header("content-type", "application/json")
                    .header("authorization", format!("Bearer {key}"))
                    .header("carawaycleat-class", "batch")
                    .body(body.to_string().into_bytes());
                let (pool, address) = (self.pool.clone(), host.daemon.addresses().callers);
                let call = async move {
                    let reply = pool.send(address, request, WARM_UP).await;
                    reply.is_ok_and(|reply| reply.status == 200)
                };
                calls.push(self.executor.spawn(call));
            }
        }
        let mut whole = 0;
        for call in calls {
            whole += usize::from(call.await);
        }
        whole
    }

    /// Replaces an entry host by a planned stop and a start on the same addresses. Returns the number of requests that
    /// were cut.
    ///
    /// # Errors
    ///
    /// Returns an error when the addresses cannot be bound again or the new host does not become ready.
    pub async fn replace(&mut self, number: usize) -> super::Result<usize> {
        let cut = self.hosts[number].daemon.stop().await;
        let mut settings = self.hosts[number].settings.clone();
        settings.peers = self.peers();
        let started = time::Instant::now();
        // The listeners of the stopped host are closed by their tasks, which may run a little later.
        self.hosts[number].daemon = loop {
            let executor = self.executor.clone();
            match entry::Daemon::start_with(executor, settings.clone(), self.policy) {
                Err(_) if started.elapsed() < REBIND => async_io::Timer::after(LOOK).await,
                result => break result?,
            };
        };
        self.wait("the new entry host is ready", |site| {
            site.hosts[number].daemon.is_ready()
        })
        .await?;
        Ok(cut)
    }

    /// Ends everything in an availability zone at once.
    pub fn cut_zone(&self, zone: &str) {
        for host in &self.hosts {
            if *host.settings.availability_zone == *zone {
                host.daemon.abort();
            }
        }
        for engine in self.engines.iter().filter(|e| *e.zone == *zone) {
            engine.side.abort();
            engine.stand_in.stop();
        }
        for service in self.services.iter().filter(|s| *s.zone == *zone) {
            service.side.abort();
            service.stand_in.stop();
        }
    }

    /// Ends everything at once.
    pub fn abort(&self) {
        for zone in self.load.site.iter().flat_map(|site| &site.zones) {
            self.cut_zone(&zone.name);
        }
        self.weights.stop();
        self.store.stop();
    }
}

async fn put(
    pool: &http::Pool,
    address: net::SocketAddr,
    request: http::Request,
) -> super::Result<()> {
    let mut last = None;
    for _ in 0..TRIES {
        match pool.send(address, request.clone(), CALL_TIMEOUT).await {
            Ok(reply) if (200..300).contains(&reply.status) => return Ok(()),
            Ok(reply) => {
                let bytes = reply.bytes(1 << 20).await.unwrap_or_default();
                last = Some(super::Error::Refused(
                    String::from_utf8_lossy(&bytes).into_owned(),
                ));
            }
            Err(failure) => last = Some(failure.into()),
        }
    }
    Err(last.unwrap_or(super::Error::Late("a resource is written")))
}

fn upstream<S>(found: &Upstream<S>) -> (String, resource::Resource) {
    let fencing = match found.memory_bytes {
        0 => resource::Fencing::Ignored,
        _ => resource::Fencing::Checked,
    };
    let resource = resource::Upstream {
        group: found.group.clone(),
        address: found.stand_in.local_address(),
        side_address: Some(found.side.local_address()),
        availability_zone: found.zone.clone(),
        memory_bytes: found.memory_bytes,
        fencing,
        leaving: false,
    };
    (
        found.name.to_string(),
        resource::Resource::Upstream(resource),
    )
}

fn route(prefix: &str, target: resource::Target) -> resource::Route {
    resource::Route {
        prefix: prefix.to_owned(),
        target,
        group: None,
        open: false,
        workspaces: Vec::new(),
        non_idempotent: Vec::new(),
        cost_tokens: 1,
        timeout_ms: TIMEOUT_MS,
    }
}

fn whole(tokens: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the numbers of a load file are checked to be from 0 to 1e9"
    )]
    let tokens = tokens.max(1.0) as u64;
    tokens
}
