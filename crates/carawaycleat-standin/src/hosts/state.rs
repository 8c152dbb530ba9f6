use std::collections;
use std::net;
use std::time;

use carawaycleat_core::clock;

/// A host in the list.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Host {
    /// The name.
    pub name: String,
    /// The address.
    pub address: net::SocketAddr,
    /// The availability zone.
    pub availability_zone: String,
    /// Whether the host stays.
    pub state: HostState,
}

/// The state of a [`Host`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is in use.
    Live,
    /// The host will be stopped.
    Leaving,
}

/// The list of hosts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct List {
    /// The hosts.
    pub hosts: Vec<Host>,
}

/// The list of hosts with its recent past.
#[derive(Clone, Debug, Default)]
pub struct State {
    lag: time::Duration,
    lists: collections::VecDeque<(clock::Instant, List)>,
}

impl State {
    /// Returns an empty list that shows changes after `lag`.
    pub fn new(lag: time::Duration) -> Self {
        Self {
            lag,
            lists: collections::VecDeque::new(),
        }
    }

    /// Replaces the list.
    pub fn set(&mut self, now: clock::Instant, list: List) {
        let lag = self.lag;
        let shown = self.lists.partition_point(|(at, _)| *at + lag <= now);
        self.lists.drain(..shown.saturating_sub(1));
        self.lists.push_back((now, list));
    }

    /// Returns the list as it was one lag ago; empty before the first list is shown.
    pub fn get(&self, now: clock::Instant) -> List {
        let shown = self.lists.partition_point(|(at, _)| *at + self.lag <= now);
        shown
            .checked_sub(1)
            .map_or_else(List::default, |index| self.lists[index].1.clone())
    }
}
