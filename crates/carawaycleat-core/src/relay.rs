//! Relaying of requests to upstreams that answer callers' requests directly.
//!
//! [`Reducer`] holds every request of one entry host: it selects the route, checks the key and the workspace's
//! allowance, chooses the upstream, and decides about retries and resumption. [`Catalog`] is the configuration that it
//! goes by, [`Sighting`] what an upstream says of itself, and [`View`] what the coordinator knows of the fleet.

mod allowance;
mod arrival;
mod catalog;
mod command;
mod effect;
mod event;
mod pending;
mod pick;
mod policy;
mod reducer;
mod refusal;
mod report;
mod rules;
mod sighting;
mod summary;
mod upstream;
mod view;

pub use allowance::Allowance;
pub use arrival::Arrival;
pub use arrival::Credential;
pub use catalog::Catalog;
pub use catalog::Engine;
pub use catalog::Kind;
pub use catalog::Limits;
pub use catalog::Model;
pub use catalog::Route;
pub use catalog::Service;
pub use catalog::Target;
pub use catalog::Workspace;
pub use command::Command;
pub use command::Dispatch;
pub use effect::Effect;
pub use event::Answer;
pub use event::Event;
pub use event::Id;
pub use policy::Policy;
pub use policy::Queue;
pub use policy::Routing;
pub use reducer::Reducer;
pub use refusal::Reason;
pub use refusal::Refusal;
pub use report::Ask;
pub use report::Report;
pub use rules::Rules;
pub use sighting::Sighting;
pub use sighting::State;
pub use summary::Outcome;
pub use summary::Summary;
pub use upstream::Upstream;
pub use view::Placed;
pub use view::Share;
pub use view::View;
