//! Relaying of requests to upstreams whose responses are passed on to the callers.
//!
//! [`Reducer`] holds every request of one entry host: it selects the route, checks the key and the workspace's
//! allowance, selects the upstream, and decides about retries and the resumption of streams. Its inputs are the
//! configuration ([`Config`]), the entries of upstreams in the store ([`Registration`]) and the coordinator's state of
//! the fleet ([`View`]).

mod allowance;
mod capacity;
mod cold;
mod command;
mod config;
pub(crate) mod departure;
mod effect;
mod event;
mod failure;
mod history;
pub(crate) mod limit;
mod options;
pub(crate) mod origin;
mod pause;
mod pending;
mod policy;
mod probe;
mod reducer;
mod refusal;
mod registration;
mod report;
mod request;
mod restoration;
mod selection;
mod summary;
pub(crate) mod traffic;
mod upstream;
mod view;

pub use allowance::Allowance;
pub use command::Command;
pub use command::Dispatch;
pub use config::Balancing;
pub use config::ColdStart;
pub use config::Config;
pub use config::EngineSpec;
pub use config::Kind;
pub use config::Limits;
pub use config::Model;
pub use config::Route;
pub use config::Service;
pub use config::Target;
pub use config::Workspace;
pub use effect::Effect;
pub use event::Event;
pub use event::Id;
pub use event::Response;
pub use failure::Failure;
pub use options::Options;
pub use origin::Origin;
pub use origin::Resumption;
pub use origin::StreamRecord;
pub use origin::digest;
pub use policy::Policy;
pub use policy::Queue;
pub use policy::Routing;
pub use probe::Probe;
pub use reducer::Reducer;
pub use refusal::Reason;
pub use refusal::Refusal;
pub use registration::Registration;
pub use registration::State;
pub use report::ColdUpstream;
pub use report::Colds;
pub use report::Demand;
pub use report::Limit;
pub use report::Report;
pub use request::Credential;
pub use request::Request;
pub use summary::Outcome;
pub use summary::Summary;
pub use traffic::Traffic;
pub use upstream::Upstream;
pub use view::Backlog;
pub use view::ColdPermit;
pub use view::ColdPermits;
pub use view::EngineView;
pub use view::Permit;
pub use view::Share;
pub use view::View;
