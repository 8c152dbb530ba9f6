//! Contention for upstreams, for services whose load is measured by work.
//!
//! [`Standing`] orders the waiting requests, [`Usage`] tells which workspaces use far more than usual, [`Backlogs`]
//! estimates how long a request waits and when its caller should come back, and [`Reserve`] keeps the last slots of
//! engines free for urgent requests. The relay applies them in `relay::reducer::contention`.

mod backlog;
mod reserve;
mod standing;
mod usage;

pub(crate) use backlog::Backlogs;
pub(crate) use backlog::Capacity;
pub(crate) use backlog::Load;
pub(crate) use backlog::Outlook;
pub(crate) use backlog::Return;
pub(crate) use backlog::Verdict;
pub(crate) use reserve::Reserve;
pub(crate) use standing::Standing;
pub(crate) use usage::Usage;
pub(crate) use usage::delay as overuse_delay;
