//! State machine of an entry host.
//!
//! [`Reducer::step`] takes one [`Event`] and the current time, and returns the [`Effect`]s that the daemon performs.
//! The reducer holds all state that the decisions of an entry host depend on, and does no input or output itself.

mod admit;
mod control;
mod dispatch;
mod effect;
mod event;
mod label;
mod options;
mod pending;
mod record;
mod reducer;
mod refusal;
mod request;
mod response;
mod status;
mod waitlist;

pub use effect::Effect;
pub use event::Event;
pub use event::Progress;
pub use label::Decision;
pub use label::Flow;
pub use options::Options;
pub use record::Record;
pub use reducer::Reducer;
pub use refusal::Refusal;
pub use request::Request;
pub use status::Status;

/// Name that stands for the workspace of requests on open routes, which belong to none.
const OPEN_WORKSPACE: &str = ".open";
