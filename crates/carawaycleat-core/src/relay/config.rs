use std::collections;
use std::sync;
use std::time;

use crate::key;
use crate::name;

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A request that may run more than once.
    Idempotent,
    /// A request that may run once at most.
    NonIdempotent,
    /// A request that is answered by a stream of events.
    Streaming,
}

impl Kind {
    /// Returns the text used in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Streaming => "streaming",
        }
    }
}

/// A service that a route leads to, with its share of the requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The service.
    pub service: name::Name,
    /// The share, relative to the other targets of the route.
    pub weight: u32,
}

/// A route: which requests it takes and how they are served.
#[derive(Clone, Debug)]
pub struct Route {
    /// The name.
    pub name: name::Name,
    /// The host that requests name, in lower case.
    pub host: sync::Arc<str>,
    /// The prefix of the path; it begins and ends with a slash.
    pub prefix: sync::Arc<str>,
    /// How often a request may run.
    pub kind: Kind,
    /// The longest time that a caller is kept waiting for the end of its answer.
    pub timeout: time::Duration,
    /// The time within which the answer, or the first event of a stream, is wanted.
    pub objective: time::Duration,
    /// The longest pause between the events of a stream that is on time.
    pub gap_objective: time::Duration,
    /// The most upstreams that may run one request.
    pub max_attempts: u32,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// The services.
    pub targets: Vec<Target>,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a stream may be continued at another upstream.
    pub resumable: bool,
}

impl Route {
    /// Returns whether a request may run again after it has run in part.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Streaming => self.resumable,
        }
    }

    /// Returns the service for a request, chosen by `seed` according to the weights.
    #[must_use]
    pub fn select_service(&self, seed: u64) -> Option<&name::Name> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut rest = seed.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if rest < weight {
                return Some(&target.service);
            }
            rest -= weight;
        }
        None
    }
}

/// A model that the engines of a service can hold.
#[derive(Clone, Debug)]
pub struct Model {
    /// The size of the weights in megabytes.
    pub weights_mb: f64,
    /// The time of a load from the weight store.
    pub store_load_time: time::Duration,
    /// The time of a load from the engine's host memory.
    pub memory_load_time: time::Duration,
    /// The time of a load from the engine's disk.
    pub disk_load_time: time::Duration,
    /// The size of an adapter in megabytes.
    pub adapter_mb: f64,
    /// The adapters that there are for it.
    pub adapters: Vec<name::Name>,
}

/// What the engines of a model service have.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// The models.
    pub models: collections::BTreeMap<name::Name, Model>,
    /// The requests that run at the same time.
    pub slots: u32,
    /// The memory for running requests and cached prompts, in tokens.
    pub kv_tokens: u64,
    /// The memory for weights and adapters in megabytes.
    pub weight_memory_mb: f64,
    /// The adapters that an engine holds at most.
    pub adapter_slots: usize,
    /// The loads from the weight store that may begin in a second, over all engines.
    pub loads_per_second: f64,
}

/// A group of upstreams that run the same requests.
#[derive(Clone, Debug)]
pub struct Service {
    /// The connections that an upstream accepts from all hosts together.
    pub max_connections: usize,
    /// What the engines have; none for a service without models.
    pub engine: Option<EngineSpec>,
}

/// A workspace and its allowance of tokens.
#[derive(Clone, Debug)]
pub struct Workspace {
    /// The name.
    pub name: name::Name,
    /// The rank of its requests, in place of the route's.
    pub priority: Option<u8>,
    /// The tokens a second over all hosts; 0 is no limit.
    pub rate: u64,
    /// The tokens that may be used at once beside the rate.
    pub burst: u64,
    /// The tokens that a request without a count costs.
    pub default_cost: u64,
    /// The digests of its keys.
    pub keys: Vec<key::Digest>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The longest head in bytes.
    pub max_header_bytes: usize,
    /// The longest body in bytes.
    pub max_body_bytes: usize,
    /// The longest time for a head to arrive.
    pub header_timeout: time::Duration,
    /// The longest time between requests.
    pub idle_timeout: time::Duration,
}

/// A version of the configuration.
#[derive(Clone, Debug)]
pub struct Config {
    version: u64,
    routes: collections::HashMap<sync::Arc<str>, Prefixes>,
    services: collections::BTreeMap<name::Name, Service>,
    workspaces: collections::HashMap<name::Name, Workspace>,
    keys: key::Index,
    limits: Option<Limits>,
}

type Prefixes = collections::HashMap<sync::Arc<str>, sync::Arc<Route>>;

impl Config {
    /// Returns a version with these parts.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: collections::BTreeMap<name::Name, Service>,
        workspaces: Vec<Workspace>,
        limits: Option<Limits>,
    ) -> Self {
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
        Self {
            version,
            routes: hosts,
            services,
            keys,
            workspaces: workspaces
                .into_iter()
                .map(|workspace| (workspace.name.clone(), workspace))
                .collect(),
            limits,
        }
    }

    /// Returns the version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns what callers may send, where the version says so.
    #[must_use]
    pub fn limits(&self) -> Option<Limits> {
        self.limits
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&sync::Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default();
        let prefixes = match self.routes.get(host) {
            Some(prefixes) => prefixes,
            None => self.routes.get(host.to_ascii_lowercase().as_str())?,
        };
        let slashes = path.char_indices().rev().filter(|(_, c)| *c == '/');
        slashes
            .map(|(at, _)| &path[..=at])
            .find_map(|prefix| prefixes.get(prefix))
    }

    /// Returns the service `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the services by name.
    pub fn services(&self) -> impl Iterator<Item = (&name::Name, &Service)> {
        self.services.iter()
    }

    /// Returns whether requests need keys on routes that are not public.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
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
