//! Which upstream holds which models and adapters.
//!
//! The lease holder of a group ([`Election`]) runs a [`Planner`] on what it knows ([`Inputs`]) and writes each new
//! [`Plan`] to the store.

mod baseline;
mod demand;
mod election;
mod grid;
mod inputs;
mod plan;
mod planner;
mod policy;
mod strain;

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
