//! The reducer of an entry host.
//!
//! [`Reducer::step`] takes one [`Event`] at a time with the present time and returns [`Effect`]s, which the daemon
//! performs. All state of an entry host that decides something is in the reducer.

mod admit;
mod arrival;
mod control;
mod dispatch;
mod effect;
mod event;
mod label;
mod options;
mod record;
mod reducer;
mod refusal;
mod request;
mod response;
mod status;
mod waitlist;

pub use arrival::Arrival;
pub use effect::Effect;
pub use event::Event;
pub use event::Progress;
pub use label::Decision;
pub use label::Flow;
pub use options::Options;
pub use record::Record;
pub use reducer::Reducer;
pub use refusal::Refusal;
pub use status::Status;

/// The queue of requests on routes open to all, beside those of the workspaces.
const OPEN_WORKSPACE: &str = ".open";
