//! Fakes of the systems around the core: engines, a fleet of upstreams, and the store.

pub(crate) mod engine;
pub(crate) mod fleet;
pub(crate) mod store;
