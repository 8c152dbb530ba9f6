//! Decisions that one entry host takes for the whole fleet: which engine holds which weights, and which share of each
//! workspace's allowance each host may use.
//!
//! The entry host that holds the coordinator's lease runs a [`Reducer`]. It receives the reports of all hosts and the
//! status of all engines, and sends orders to engines only while [`Term`] guarantees that no other host can send any.

mod backlog;
mod cold;
mod effect;
mod election;
mod engine;
mod evacuation;
mod event;
mod history;
mod holders;
mod limit;
mod options;
mod order;
mod plan;
mod reducer;
mod remaining;
mod reservation;
mod share;
mod term;
mod traffic;

pub use cold::Bound;
pub use effect::Effect;
pub use election::Candidacy;
pub use election::Delays;
pub use election::Election;
pub use election::Leadership;
pub use engine::Engine;
pub use event::Event;
pub use event::Outcome;
pub use event::Status;
pub use history::History;
pub use holders::Holders;
pub use options::Options;
pub use order::Operation;
pub use order::Order;
pub use reducer::Reducer;
pub use term::Term;
