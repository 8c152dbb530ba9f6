use crate::memory;
use crate::name;

/// The state of a group from which its plan is computed.
#[derive(Clone, Debug)]
pub struct Inputs<'a> {
    /// The group.
    pub group: name::Name,
    /// The models and adapters configured for the group.
    pub items: Vec<memory::Item>,
    /// The upstreams of the group.
    pub upstreams: Vec<Upstream>,
    /// The demand for the models and adapters of the group.
    pub demand: &'a super::Demand,
    /// The group's share of the weight store's limits.
    pub limits: Limits,
    /// A lower bound of the number of running model loads, for loads that the plan and the reports do not show.
    pub loads_in_flight: usize,
    /// The plan in effect, or none before the first.
    pub previous: Option<&'a super::Plan>,
}

/// The known state of an upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The name.
    pub name: name::Name,
    /// The availability zone.
    pub availability_zone: name::Name,
    /// The accelerator memory, in bytes.
    pub memory_bytes: u64,
    /// The capacity of the engine, in tokens a second.
    pub tokens_per_second: f64,
    /// Whether the upstream can be used.
    pub state: State,
    /// The items that the upstream reported as resident.
    pub resident: Vec<Residence>,
}

/// Whether an upstream can be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// The upstream accepts requests.
    Live,
    /// The upstream finishes its requests and accepts no new ones.
    Leaving,
    /// The upstream does not report; its items are unreachable.
    Lost,
}

/// An item that an upstream reported as resident.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Residence {
    /// The item.
    pub item: memory::Item,
    /// Whether the item has served a request on this upstream.
    pub answered: bool,
}

/// The limits of the weight store.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The model loads that the weight store can complete, per second.
    pub loads_per_second: f64,
    /// The largest number of concurrent model loads that run at full speed.
    pub loads_in_flight: usize,
    /// The largest number of concurrent adapter loads that run at full speed.
    pub adapter_loads_in_flight: usize,
    /// The duration of an adapter load at full speed, in seconds.
    pub adapter_load_seconds: f64,
}

impl Limits {
    /// Returns the duration of a load of `item` at full speed, in seconds.
    pub fn load_seconds(&self, item: &memory::Item) -> f64 {
        if item.id.adapter.is_some() {
            self.adapter_load_seconds
        } else {
            self.loads_in_flight as f64 / self.loads_per_second
        }
    }
}
