use std::collections;
use std::sync;
use std::time;

use crate::key;
use crate::name;

/// How often a request of a route may run, and the form of its response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A request that may run more than once.
    Idempotent,
    /// A request that may run once at most.
    NonIdempotent,
    /// A request whose response is a stream of events.
    Streaming,
}

impl Kind {
    /// Returns the value of the metric label.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Streaming => "streaming",
        }
    }
}

/// A service that a route sends requests to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The service.
    pub service: name::Name,
    /// The share of the requests, relative to the other targets of the route.
    pub weight: u32,
}

/// Matches requests by host and path prefix, and says how they are served.
#[derive(Clone, Debug)]
pub struct Route {
    /// The name.
    pub name: name::Name,
    /// The `Host` header of the requests, in lower case.
    pub host: sync::Arc<str>,
    /// The path prefix; it begins and ends with a slash.
    pub prefix: sync::Arc<str>,
    /// The kind of the requests.
    pub kind: Kind,
    /// The time limit of a request, from its arrival to the end of its response.
    pub timeout: time::Duration,
    /// The latency objective: the time within which the response, or the first event of a stream, should arrive.
    pub objective: time::Duration,
    /// The objective for the time between two events of a stream.
    pub gap_objective: time::Duration,
    /// The maximum number of upstreams that may run one request.
    pub max_attempts: u32,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The services that share the requests.
    pub targets: Vec<Target>,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a stream may be resumed at another upstream.
    pub resumable: bool,
}

impl Route {
    /// Returns whether a request may run again after an attempt that may have run.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Streaming => self.resumable,
        }
    }

    /// Returns whether it is for streams whose latency objective is short.
    #[must_use]
    pub fn is_urgent_stream(&self) -> bool {
        self.kind == Kind::Streaming
            && !self.objective.is_zero()
            && self.objective <= URGENT_OBJECTIVE
    }

    /// Returns the service for a request, selected by `seed` according to the weights; none when there are no targets.
    #[must_use]
    pub fn select_service(&self, seed: u64) -> Option<&name::Name> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut remainder = seed.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if remainder < weight {
                return Some(&target.service);
            }
            remainder -= weight;
        }
        None
    }
}

/// A model that the engines of a service can load.
#[derive(Clone, Debug)]
pub struct Model {
    /// The size of the weights in megabytes.
    pub weights_mb: f64,
    /// The time to load the weights from the weight store.
    pub store_load_time: time::Duration,
    /// The time to load the weights from the engine's host memory.
    pub memory_load_time: time::Duration,
    /// The time to load the weights from the engine's disk.
    pub disk_load_time: time::Duration,
    /// The size of an adapter in megabytes.
    pub adapter_mb: f64,
    /// The available adapters.
    pub adapters: Vec<name::Name>,
}

/// The latency objective of a stream up to which it is urgent. Up to this time, waiting behind the prompt of one other request
/// takes a large part of the objective, so that the number of requests in progress does not tell whether it is met.
const URGENT_OBJECTIVE: time::Duration = time::Duration::from_millis(450);

/// What the load of a deployment is measured by when requests, replicas and connections are distributed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Balancing {
    /// The number of requests.
    #[default]
    Requests,
    /// The expected work of the requests. Selected by configurations with urgent streams.
    Work,
}

/// How an upstream is limited for some time after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long it is cold.
    pub duration: time::Duration,
    /// The requests per second of all hosts together that it takes meanwhile.
    pub rate: f64,
}

/// The capacity of the engines of a model service.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// The models that the engines can load.
    pub models: collections::BTreeMap<name::Name, Model>,
    /// The requests that an engine runs at the same time.
    pub slots: u32,
    /// The size of an engine's key-value cache, for running requests and cached prompts, in tokens.
    pub kv_tokens: u64,
    /// An engine's memory for weights and adapters in megabytes.
    pub weight_memory_mb: f64,
    /// The maximum number of adapters that an engine holds.
    pub adapter_slots: usize,
    /// The maximum number of loads from the weight store that start per second, over all engines.
    pub loads_per_second: f64,
    /// What the load of the deployment is measured by.
    pub balancing: Balancing,
}

/// A group of interchangeable upstreams.
#[derive(Clone, Debug)]
pub struct Service {
    /// The maximum number of connections that an upstream accepts from all hosts together.
    pub max_connections: usize,
    /// The capacity of its engines; none for a service without models.
    pub engine: Option<EngineSpec>,
    /// How its upstreams are limited after a start; none if they are not.
    pub cold_start: Option<ColdStart>,
    /// What the load of the deployment is measured by.
    pub balancing: Balancing,
}

/// A workspace and its allowance of tokens.
#[derive(Clone, Debug)]
pub struct Workspace {
    /// The name.
    pub name: name::Name,
    /// The priority of its requests, in place of the route's.
    pub priority: Option<u8>,
    /// The tokens per second over all hosts; 0 means no limit.
    pub rate: u64,
    /// The tokens that may be used at once on top of the rate.
    pub burst: u64,
    /// The cost in tokens of a request without a token count.
    pub default_cost: u64,
    /// The digests of its API keys.
    pub keys: Vec<key::Digest>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The maximum size of a request head in bytes.
    pub max_header_bytes: usize,
    /// The maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// The time limit for a request head to arrive.
    pub header_timeout: time::Duration,
    /// The time after which an idle connection is closed.
    pub idle_timeout: time::Duration,
}

/// A version of the configuration.
#[derive(Clone, Debug)]
pub struct Config {
    version: u64,
    routes: collections::HashMap<sync::Arc<str>, Prefixes>,
    services: collections::BTreeMap<name::Name, sync::Arc<Service>>,
    workspaces: collections::HashMap<name::Name, Workspace>,
    keys: key::Index,
    limits: Option<Limits>,
}

type Prefixes = collections::HashMap<sync::Arc<str>, sync::Arc<Route>>;

impl Config {
    /// Returns a configuration with indexes of the routes and keys. Urgent streams select [`Balancing::Work`] for all services.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: collections::BTreeMap<name::Name, Service>,
        workspaces: Vec<Workspace>,
        limits: Option<Limits>,
    ) -> Self {
        let balancing = if routes.iter().any(Route::is_urgent_stream) {
            Balancing::Work
        } else {
            Balancing::Requests
        };
        let mut hosts = collections::HashMap::<_, Prefixes>::new();
        for route in routes {
            let prefixes = hosts.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), sync::Arc::new(route));
        }
        let grants = workspaces.iter().flat_map(|workspace| {
            let grant = key::Grant {
                key: workspace.name.clone(),
                workspace: workspace.name.clone(),
            };
            workspace
                .keys
                .iter()
                .map(move |digest| (*digest, grant.clone()))
        });
        let keys = grants.collect();
        let config = Self {
            version,
            routes: hosts,
            services: services
                .into_iter()
                .map(|(name, service)| (name, sync::Arc::new(service)))
                .collect(),
            keys,
            workspaces: workspaces
                .into_iter()
                .map(|workspace| (workspace.name.clone(), workspace))
                .collect(),
            limits,
        };
        config.with_balancing(balancing)
    }

    /// Sets what the load is measured by, in place of what the routes select.
    #[must_use]
    pub fn with_balancing(mut self, balancing: Balancing) -> Self {
        for service in self.services.values_mut() {
            let service = sync::Arc::make_mut(service);
            service.balancing = balancing;
            if let Some(engine) = &mut service.engine {
                engine.balancing = balancing;
            }
        }
        self
    }

    /// Returns the version, which grows with each change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns what the load is measured by.
    #[must_use]
    pub fn balancing(&self) -> Balancing {
        let service = self.services.values().next();
        service.map_or_else(Balancing::default, |service| service.balancing)
    }

    /// Returns the limits on requests and connections; none means the defaults of the server.
    #[must_use]
    pub fn limits(&self) -> Option<Limits> {
        self.limits
    }

    /// Returns the route of `host` with the longest matching prefix of `path`. The case and the port of `host` are
    /// ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&sync::Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default();
        let prefixes = match self.routes.get(host) {
            Some(prefixes) => prefixes,
            None => self.routes.get(host.to_ascii_lowercase().as_str())?,
        };
        let slashes = path.char_indices().rev().filter(|(_, c)| *c == '/');
        slashes
            .map(|(index, _)| &path[..=index])
            .find_map(|prefix| prefixes.get(prefix))
    }

    /// Returns the routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        let prefixes = self.routes.values();
        prefixes.flat_map(|prefixes| prefixes.values().map(|route| &**route))
    }

    /// Returns the service `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&sync::Arc<Service>> {
        self.services.get(name)
    }

    /// Returns the services by name.
    pub fn services(&self) -> impl Iterator<Item = (&name::Name, &Service)> {
        self.services
            .iter()
            .map(|(name, service)| (name, &**service))
    }

    /// Returns whether requests need keys on routes that are not public.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Returns the workspace whose key has this digest.
    #[must_use]
    pub fn workspace_of(&self, digest: &key::Digest) -> Option<&Workspace> {
        let grant = self.keys.find(digest)?;
        self.workspaces.get(&grant.workspace)
    }

    /// Returns the workspace `name`.
    #[must_use]
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.get(name)
    }

    /// Returns all workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.workspaces.values()
    }
}
