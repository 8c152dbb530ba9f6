use std::net;

use carawaycleat_core::clock;
use carawaycleat_core::name;

/// What entry hosts tell each other at each exchange.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Digest {
    /// The sender's logical time.
    pub stamp: clock::Stamp,
    /// The host that sends it.
    pub host: name::Name,
    /// The incarnation of its process; a restart increases it.
    pub incarnation: u64,
    /// The revision that the host applies.
    pub revision: u64,
    /// The time since the last confirmed contact with the store, own or relayed, in milliseconds; none before the first.
    pub store_age_ms: Option<u64>,
    /// Whether the host is stopping.
    pub leaving: bool,
    /// The tokens that the host can lend.
    pub offers: Vec<Offer>,
    /// A part of the models and adapters that callers asked this host for; each digest carries the next part.
    #[serde(default)]
    pub demand: Vec<Demand>,
}

/// What callers asked a host for.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Demand {
    /// The model.
    pub model: name::Name,
    /// The adapter, or none for requests to the model itself.
    pub adapter: Option<name::Name>,
    /// The average demand when it was last asked for, in tokens a second.
    pub tokens_per_second: f32,
    /// The time since it was last asked for, in milliseconds.
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
    /// Whether the host is stopping and holds no part of the rates any more.
    #[serde(default)]
    pub leaving: bool,
}
