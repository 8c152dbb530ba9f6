//! The decisions of a sidecar, which runs beside an engine or service and admits its requests.

mod effect;
mod event;
mod jobs;
mod reducer;
mod report;
mod timestamp;

pub use effect::Change;
pub use effect::Effect;
pub use event::Directive;
pub use event::Event;
pub use event::Job;
pub use reducer::Reducer;
pub use report::Report;
pub use report::Residence;
pub use timestamp::MAX_JOB_AGE;
pub use timestamp::Timestamp;
