use crate::name;

/// What callers ask of the hosts of an availability zone.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Load {
    /// The availability zone.
    pub zone: name::Name,
    /// The hosts that take new connections.
    pub hosts: u32,
    /// The requests per second of all hosts, including those that are stopping.
    pub requests_per_second: f64,
}
