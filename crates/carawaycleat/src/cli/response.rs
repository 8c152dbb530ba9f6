//! Response bodies of the operators' HTTP interface.

use std::net;

use carawaycleat_core::name;
use carawaycleat_core::resource;

/// The response to listing the resources of a kind.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct Listing {
    /// The configuration revision at which the list was read.
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

/// The part of the status of an entry host that names its peers.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub(super) struct Status {
    /// The name of the host.
    pub(super) host: String,
    /// The entry hosts that it knows, including itself.
    #[serde(default)]
    pub(super) peers: Vec<Peer>,
}

/// An entry host known to another one.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub(super) struct Peer {
    /// The host.
    pub(super) host: String,
    /// The address for requests from other processes.
    pub(super) peer_address: net::SocketAddr,
}

/// The response to a write.
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

/// A line of a watch response.
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

/// The body of an error response.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize)]
pub(super) struct Refusal {
    /// The error.
    #[serde(default)]
    pub(super) error: Detail,
    /// The current revision of the resource; only set for a conflict.
    #[serde(default)]
    pub(super) revision: u64,
}

/// The error in an error response.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize)]
pub(super) struct Detail {
    /// The human-readable message.
    #[serde(default)]
    pub(super) message: String,
}
