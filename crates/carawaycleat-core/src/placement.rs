//! Placement of models and adapters on upstreams.
//!
//! The host that holds the lease of a group ([`Election`]) runs a [`Planner`] on the known state of the group
//! ([`Inputs`]) and writes each new [`Plan`] to the store.

mod assignment;
mod baseline;
mod demand;
mod election;
mod inputs;
mod plan;
mod planner;
mod policy;
mod pressure;

pub use baseline::Fixed;
pub use baseline::LeastRecentlyUsed;
pub use demand::Demand;
pub use demand::Subject;
pub use election::Election;
pub use inputs::Inputs;
pub use inputs::Limits;
pub use inputs::Residence;
pub use inputs::State;
pub use inputs::Upstream;
pub use plan::Plan;
pub use planner::Options;
pub use planner::Planner;
pub use policy::Policy;
pub use policy::Strategy;
