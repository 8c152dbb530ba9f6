use std::net;

use crate::name;

/// The process that holds a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Owner {
    /// The host on which the process runs.
    pub host: name::Name,
    /// The address that the process has bound.
    pub address: net::SocketAddr,
    /// The incarnation of the process, different after each restart; a later process is expected to have a higher one.
    pub incarnation: u64,
}
