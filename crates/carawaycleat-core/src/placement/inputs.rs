use crate::memory;
use crate::name;

/// What a plan is made from.
#[derive(Clone, Debug)]
pub struct Inputs<'a> {
    /// The group.
    pub group: name::Name,
    /// The models and adapters configured for the group.
    pub items: Vec<memory::Item>,
    /// The upstreams of the group.
    pub upstreams: Vec<Upstream>,
    /// The demand.
    pub demand: &'a super::Demand,
    /// The group's part of the weight store's limits.
    pub limits: Limits,
    /// The model loads that are running, where more than the reports show.
    pub loads_in_flight: usize,
    /// The plan in force.
    pub previous: Option<&'a super::Plan>,
}

/// An upstream as the decider knows it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The name.
    pub name: name::Name,
    /// The availability zone.
    pub availability_zone: name::Name,
    /// The accelerator memory, in bytes.
    pub memory_bytes: u64,
    /// The tokens a second that the engine can generate.
    pub tokens_per_second: f64,
    /// The state.
    pub state: State,
    /// What the upstream reported resident.
    pub resident: Vec<Residence>,
}

/// Whether an upstream can be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// The upstream takes work.
    Live,
    /// The upstream finishes its work and takes no more.
    Leaving,
    /// The upstream does not report; what it holds is unreachable.
    Lost,
}

/// An item that an upstream reported resident.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Residence {
    /// The item.
    pub item: memory::Item,
    /// Whether it has answered a request.
    pub answered: bool,
}

/// The limits of the weight store.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The model loads a second that the weight store completes.
    pub loads_per_second: f64,
    /// The concurrent model loads that run at full speed.
    pub loads_in_flight: usize,
    /// The concurrent adapter loads that run at full speed.
    pub adapter_loads_in_flight: usize,
    /// The time of an adapter load at full speed, in seconds.
    pub adapter_load_seconds: f64,
}

impl Limits {
    /// Returns the time of a load of `item` at full speed, in seconds.
    pub fn load_seconds(&self, item: &memory::Item) -> f64 {
        if item.id.adapter.is_some() {
            self.adapter_load_seconds
        } else {
            self.loads_in_flight as f64 / self.loads_per_second
        }
    }
}
