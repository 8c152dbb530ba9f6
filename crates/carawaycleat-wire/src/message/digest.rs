use std::net;

use carawaycleat_core::clock;
use carawaycleat_core::name;

/// The state that entry hosts send each other at each exchange.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Digest {
    /// The sender's logical time.
    pub stamp: clock::Stamp,
    /// The sending host.
    pub host: name::Name,
    /// The incarnation of the host's process; a restart increases it.
    pub incarnation: u64,
    /// The revision of the configuration that the host applies.
    pub revision: u64,
    /// The time since the last confirmed contact with the store, direct or through a peer, in milliseconds; none before
    /// the first contact.
    pub store_age_ms: Option<u64>,
    /// Whether the host is stopping.
    pub leaving: bool,
    /// The tokens that the host can lend.
    pub offers: Vec<Offer>,
    /// The demand for some of the models and adapters that callers requested from this host; each digest continues where
    /// the previous one ended.
    #[serde(default)]
    pub demand: Vec<Demand>,
}

/// The demand of a host's callers for a model or an adapter.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Demand {
    /// The model.
    pub model: name::Name,
    /// The adapter, or none for requests to the model itself.
    pub adapter: Option<name::Name>,
    /// The average demand at the time of the last request, in tokens per second.
    pub tokens_per_second: f32,
    /// The time since the last request, in milliseconds.
    pub age_ms: u64,
}

/// The tokens of a workspace that a host can lend.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Offer {
    /// The workspace.
    pub workspace: name::Name,
    /// The tokens in the host's bucket.
    pub tokens: u64,
}

/// An entry host in the roster.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Member {
    /// The name of the host.
    pub host: name::Name,
    /// The address of its peer endpoints.
    pub peer_address: net::SocketAddr,
    /// Its availability zone.
    pub availability_zone: name::Name,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// Whether the host is stopping and no longer holds a share of the rates.
    #[serde(default)]
    pub leaving: bool,
}
