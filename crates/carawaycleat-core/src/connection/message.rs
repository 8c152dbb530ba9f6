use crate::name;

/// What a host holds and wants of the connections to an upstream, as sent to the coordinator.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Use {
    /// The upstream.
    pub upstream: name::Name,
    /// The connections that the host may have open now.
    pub held: u32,
    /// The most requests that it had in progress there at a time since its last report, with those that wait for it.
    pub wanted: u32,
    /// Its requests in progress there.
    pub running: u32,
}

/// What a host may use of an upstream until the next view.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Grant {
    /// The upstream.
    pub upstream: name::Name,
    /// The connections, idle ones included.
    pub connections: u32,
    /// The requests in progress, at an upstream without models; 0 at others.
    pub places: u32,
    /// The requests of the other hosts in progress there.
    pub others: u32,
}
