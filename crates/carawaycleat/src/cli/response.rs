//! Answers of the operators' interface.

use std::net;

use carawaycleat_core::name;
use carawaycleat_core::resource;

/// The resources of a kind.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct Listing {
    /// The configuration revision of the listing.
    pub(super) revision: u64,
    /// The resources.
    pub(super) items: Vec<Item>,
}

/// A resource with its revision.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct Item {
    /// The name.
    pub(super) name: name::Name,
    /// The revision of the last write.
    pub(super) revision: u64,
    /// The resource.
    pub(super) resource: resource::Resource,
}

/// What the state of an entry host says about others.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub(super) struct Status {
    /// The host.
    pub(super) host: String,
    /// The entry hosts that it knows, itself among them.
    #[serde(default)]
    pub(super) peers: Vec<Peer>,
}

/// An entry host that another one knows.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub(super) struct Peer {
    /// The host.
    pub(super) host: String,
    /// Its address for other processes.
    pub(super) peer_address: net::SocketAddr,
}

/// The result of a write.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct Written {
    /// The name.
    pub(super) name: name::Name,
    /// The revision of the write.
    pub(super) revision: u64,
    /// The number of entry hosts that have applied the write.
    #[serde(default)]
    pub(super) applied: u64,
    /// The number of known entry hosts.
    #[serde(default)]
    pub(super) hosts: u64,
}

/// A change of a resource.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct Change {
    /// The revision of the change.
    pub(super) revision: u64,
    /// The kind.
    pub(super) kind: resource::Kind,
    /// The name.
    pub(super) name: name::Name,
    /// The resource, or none when it was deleted.
    pub(super) resource: Option<resource::Resource>,
}

/// The body of a refusal.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize)]
pub(super) struct Refusal {
    /// The error.
    #[serde(default)]
    pub(super) error: Detail,
    /// The current revision, for a conflict.
    #[serde(default)]
    pub(super) revision: u64,
}

/// The error of a refusal.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize)]
pub(super) struct Detail {
    /// The text for people.
    #[serde(default)]
    pub(super) message: String,
}
