use std::collections;
use std::net;

use super::number;

/// The machines and weights of a site, for a set-up that starts them.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// The name.
    pub name: String,
    /// The availability zones.
    pub zones: Vec<Zone>,
    /// The one-way latency of the network.
    pub latency: Latency,
    /// The groups of upstreams.
    pub upstreams: Vec<Upstreams>,
    /// The limits of the weight store.
    pub weight_store: Store,
    /// The models.
    pub models: Vec<SiteModel>,
    /// The size of each adapter, in bytes.
    pub adapter_bytes: u64,
    /// The weights of the workspaces under contention; 1 for the others.
    #[serde(default)]
    pub weights: collections::BTreeMap<String, u32>,
}

/// An availability zone.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// The name.
    pub name: String,
    /// The number of entry hosts.
    pub entries: u32,
    /// The addresses that its hosts listen on; chosen by the set-up when absent.
    #[serde(default)]
    pub addresses: Vec<net::IpAddr>,
}

/// One-way latencies in milliseconds.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Latency {
    /// Between two availability zones.
    #[serde(deserialize_with = "number::rate")]
    pub zones_ms: f64,
    /// Between clients and entry hosts.
    #[serde(deserialize_with = "number::rate")]
    pub clients_ms: f64,
}

/// A group of equal upstreams, spread over the zones in turn.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstreams {
    /// The name of the group.
    pub group: String,
    /// Whether they are engines; else plain services.
    #[serde(default)]
    pub engine: bool,
    /// The number of upstreams.
    pub count: u32,
    /// The accelerator memory of each engine, in bytes.
    #[serde(default)]
    pub memory_bytes: u64,
    /// The path prefixes of the routes to plain services.
    #[serde(default)]
    pub prefixes: Vec<String>,
}

/// The limits of the weight store.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// The model loads a second when the store is busy.
    #[serde(deserialize_with = "number::factor")]
    pub loads_per_second: f64,
    /// The model loads in flight that run at full speed.
    pub loads_in_flight: usize,
    /// The adapter loads in flight that run at full speed.
    pub adapters_in_flight: usize,
    /// The shortest time of an adapter load at full speed, in milliseconds.
    pub adapter_min_ms: u64,
    /// The longest time of an adapter load at full speed, in milliseconds.
    pub adapter_max_ms: u64,
}

/// A model of a site.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteModel {
    /// The name.
    pub name: String,
    /// The size in bytes.
    pub bytes: u64,
    /// The group of upstreams that may hold it.
    pub group: String,
    /// The adapters on top of it.
    #[serde(default)]
    pub adapters: Vec<String>,
}
