use std::collections;
use std::net;
use std::time;

use crate::name;

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It takes new work.
    Ready,
    /// It is leaving.
    Draining,
}

impl State {
    /// Returns the text used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
        }
    }
}

/// What an upstream has said of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// The identifier.
    pub id: name::Name,
    /// The start of its process in milliseconds of the Unix epoch, where it says so. A later start under the same
    /// identifier is a new upstream that holds nothing.
    pub started: u64,
    /// The service.
    pub service: name::Name,
    /// The address that takes requests.
    pub address: net::SocketAddr,
    /// The availability zone.
    pub zone: name::Name,
    /// The requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// The time that is left until it ends, where it is known.
    pub remaining: Option<time::Duration>,
    /// The models that it holds, with the adapters it has named.
    pub models: collections::BTreeMap<name::Name, Vec<name::Name>>,
    /// The models whose weights are in its host memory.
    pub in_memory: Vec<name::Name>,
    /// The models whose weights are on its disk.
    pub on_disk: Vec<name::Name>,
}
