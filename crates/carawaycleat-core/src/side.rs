//! Decisions of a sidecar.

mod effect;
mod event;
mod jobs;
mod origin;
mod reducer;
mod report;

pub use effect::Change;
pub use effect::Effect;
pub use event::Directive;
pub use event::Event;
pub use event::Job;
pub use origin::MAX_JOB_AGE;
pub use origin::Origin;
pub use reducer::Reducer;
pub use report::Report;
pub use report::Residence;
