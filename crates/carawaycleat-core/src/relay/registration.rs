use std::collections;
use std::net;
use std::time;

use crate::name;

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It takes new work.
    Ready,
    /// It finishes its requests and then stops.
    Draining,
}

impl State {
    /// Returns the value used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
        }
    }
}

/// The entry that an upstream keeps of itself in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// The identifier.
    pub id: name::Name,
    /// The start of its process in milliseconds since the Unix epoch; 0 when not given. A later start under the same
    /// identifier is a new upstream that holds nothing.
    pub started: u64,
    /// The service.
    pub service: name::Name,
    /// The version of its software; none when the entry gives none.
    pub version: Option<name::Name>,
    /// The address that accepts requests.
    pub address: net::SocketAddr,
    /// The availability zone.
    pub zone: name::Name,
    /// The requests that it runs at the same time; 0 means the slots of its service.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// The time left until it stops, where it is known.
    pub remaining: Option<time::Duration>,
    /// The time until it is no longer limited after its start, as of when the entry was written; none when the entry gives none.
    pub cold_remaining: Option<time::Duration>,
    /// The models that it holds, each with the adapters listed in the entry.
    pub models: collections::BTreeMap<name::Name, Vec<name::Name>>,
    /// The models whose weights are in its host memory.
    pub in_memory: Vec<name::Name>,
    /// The models whose weights are on its disk.
    pub on_disk: Vec<name::Name>,
}

impl Registration {
    /// Returns this registration as one that follows `previous`, which is of the same process. A process that has begun
    /// to leave does not take new work again, whatever an entry from an older copy of the store says.
    pub(crate) fn following(mut self, previous: &Self) -> Self {
        if self.started < previous.started {
            // An entry from an older copy of the store is of an earlier process under the same identifier.
            self.version = previous.version.clone();
        }
        if previous.state == State::Ready || self.started > previous.started {
            return self;
        }
        Self {
            state: previous.state,
            remaining: self.remaining.or(previous.remaining),
            ..self
        }
    }
}
